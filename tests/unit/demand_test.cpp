#include "core/error.h"
#include "demands/demand_row.h"
#include "settings/checked_node.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;
using Catch::Matchers::Contains;

namespace
{

demand_spec readText(const std::string &text)
{
    return readDemand(checked_node::parseJson(text, "request"));
}

} // namespace

TEST_CASE("a demand is the same after a round trip through its canonical text")
{
    const auto spec = readText(R"({"kind":"gang","team":"yard","tasks":4,"cores":1.5,"memory":"2GiB",
        "accelerators":1,"priority":"urgent","onPartition":"move","runTime":"90s","failureDomain":"dyce"})");
    CHECK(spec.size == resources {1'500, 2'048, 1});
    CHECK(demandFromJson(toJson(spec)) == spec);
}

TEST_CASE("errors about a demand name the key")
{
    CHECK_THROWS_WITH(readText(R"({"kind":"cron","team":"a","tasks":1,"cores":1,"memory":"1GiB"})"),
                      Contains("kind") && Contains("service, batch, gang"));
    CHECK_THROWS_WITH(readText(R"({"kind":"batch","team":"a","tasks":0,"cores":1,"memory":"1GiB"})"),
                      Contains("tasks"));
    CHECK_THROWS_WITH(readText(R"({"kind":"batch","team":"a","tasks":1,"cores":1,"memory":"1GB"})"),
                      Contains("memory"));
    CHECK_THROWS_WITH(
        readText(R"({"kind":"service","team":"a","tasks":1,"cores":1,"memory":"1GiB","repeatable":false})"),
        Contains("repeatable"));
}

TEST_CASE("a demand row is the same after a round trip through its text")
{
    demand_row row;
    row.key = "sheet.wash";
    row.home = "dyce";
    row.spec = readText(R"({"kind":"batch","team":"yard","tasks":3,"cores":1,"memory":"1GiB"})");
    CHECK(rowFromJson(toJson(row)) == row);
    CHECK_THROWS_AS(rowFromJson("{}"), error);
}

TEST_CASE("a demand becomes a job of one step with the same properties")
{
    demand_row row;
    row.key = "sheet.wash";
    row.home = "dyce";
    row.spec = readText(R"({"kind":"gang","team":"yard","tasks":3,"cores":1.5,"memory":"2GiB","runTime":"90s",
        "accelerators":1,"priority":"urgent","repeatable":false})");
    const auto job = makeDemandJob(row, "tasks", std::chrono::milliseconds(7));
    CHECK_NOTHROW(checkJob(job.spec));
    REQUIRE(job.spec.steps.size() == 1);
    const auto &step = job.spec.steps.front();
    CHECK(step.count == 3);
    CHECK(step.size == resources {1'500, 2'048, 1});
    CHECK(step.isGang);
    CHECK_FALSE(step.isService);
    CHECK(step.isAtMostOnce);
    CHECK(step.failureDomain == "dyce");
    CHECK(job.queue.pool == "tasks");
    CHECK(job.queue.priority == 0);
    CHECK(job.queue.maxFailures == 1);
    CHECK(rowFromJson(job.spec.payload) == row);
    CHECK(decodeJob(encodeJob(job)).spec == job.spec);
    row.spec.onPartition = partition_preference::move;
    CHECK(makeDemandJob(row, "tasks", {}).spec.steps.front().failureDomain.empty());
}

TEST_CASE("the id of a demand's job can't equal a job id that a caller chooses")
{
    const auto id = jobOfDemand("wash");
    CHECK(id.size() == 32);
    CHECK(id != jobOfDemand("wash2"));
    CHECK(std::string("0123456789abcdefABCDEF").find(id.front()) == std::string::npos);
}
