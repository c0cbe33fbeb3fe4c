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

TEST_CASE("a demand survives its canonical text")
{
    const auto spec = readText(R"({"kind":"gang","team":"yard","tasks":4,"cores":1.5,"memory":"2GiB",
        "accelerators":1,"priority":"urgent","onPartition":"move","runTime":"90s","failureDomain":"dyce"})");
    CHECK(spec.size == resources {1'500, 2'048, 1});
    CHECK(demandFromJson(toJson(spec)) == spec);
}

TEST_CASE("faults of a demand name the key")
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

TEST_CASE("merging rows keeps what either writer recorded")
{
    demand_row committed;
    committed.key = "k";
    committed.cancelled = true;
    committed.ended[1] = task_end::done;
    auto wanted = committed;
    wanted.cancelled = false;
    wanted.ended = {{2, task_end::failed}};
    wanted.started = {{2, 77}};
    const auto merged = merge(committed, wanted);
    CHECK(merged.cancelled);
    CHECK(merged.ended.size() == 2);
    CHECK(merged.started.contains(2));
}

TEST_CASE("an outcome once committed stays")
{
    demand_row committed;
    committed.outcome = demand_outcome::done;
    auto wanted = committed;
    wanted.outcome = demand_outcome::failed;
    CHECK(merge(committed, wanted).outcome == demand_outcome::done);
}

TEST_CASE("a row survives its text")
{
    demand_row row;
    row.key = "sheet.wash";
    row.home = "dyce";
    row.started = {{0, 5}, {3, 9}};
    row.ended = {{0, task_end::unknown}};
    row.outcome = demand_outcome::unknown;
    row.reason = "lost";
    CHECK(rowFromJson(toJson(row)) == row);
    CHECK_THROWS_AS(rowFromJson("{}"), error);
}

TEST_CASE("task ids survive their text, also with marks in the key")
{
    CHECK(taskFromString(toString({"a#b", 7})) == task_id {"a#b", 7});
    CHECK_THROWS_AS(taskFromString("a"), error);
    CHECK_THROWS_AS(taskFromString("a#x"), error);
    CHECK_THROWS_AS(taskFromString("a#-1"), error);
}
