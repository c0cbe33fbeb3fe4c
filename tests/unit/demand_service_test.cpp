#include "demands/demand_service.h"
#include "fake_objects.h"
#include "fake_request.h"
#include "fake_store.h"
#include "loopback.h"

#include <catch2/catch.hpp>

/// Tests of the demand service with a store in memory.
using namespace primrosecroft;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace
{

demand_spec makeDemand(std::int32_t tasks)
{
    demand_spec spec;
    spec.team = "yard";
    spec.tasks = tasks;
    spec.size = {1'000, 1'024, 0};
    return spec;
}

planning_sheet makeSheet()
{
    planning_sheet sheet;
    sheet.name = "morning";
    sheet.regions = {{"dyce", "north-east"}};
    sheet.workers["w1"] = {"dyce", "r1", "127.0.0.1", 1, {4'000, 4'096, 0}, false};
    sheet.demands = {{"wash", makeDemand(1)}};
    return sheet;
}

struct demand_process
{
    fake_store target;
    fake_objects objects;
    guarded_store rows {target, objects, 500ms};
    metrics measures;
    planning_sheet sheet = makeSheet();
    bool hasSheet = true;
    demand_service service {rows,
                            measures,
                            {[](const job_id &, const report_handler &done) { done(std::nullopt); },
                             [this] { return hasSheet ? &sheet : nullptr; }, [] { return 1'000ms; }},
                            {"dyce", "pool", 2'000ms}};

    /// Stores a demand under the key of the sheet's demand.
    void storeDemand(const demand_spec &spec)
    {
        const demand_row row {sheetDemandKey(sheet, "wash"), "dyce", spec};
        target.rows.commit(demandAcceptance(row, makeDemandJob(row, "pool", 1'000ms)));
    }

    http_response submit(const std::string &body)
    {
        const auto request =
            std::make_shared<fake_request>("POST", "/v1/demands", http_headers {{"Idempotency-Key", "key"}}, body);
        service.serve(request);
        return request->response.value_or(http_response {});
    }

    std::string text() const
    {
        return measures.text();
    }
};

const std::string refusedSheetDemand = R"(primrosecroft_demands_refused_total{step="accept sheet demand"} 1)";

} // namespace

TEST_CASE("a sheet's demand whose key belongs to another demand doesn't count as accepted")
{
    demand_process process;
    process.storeDemand(makeDemand(2));
    process.service.acceptSheetDemands();
    CHECK_THAT(process.text(), Contains(refusedSheetDemand));
    process.service.acceptSheetDemands();
    CHECK_THAT(process.text(), Contains(refusedSheetDemand)); // reported once
}

TEST_CASE("a sheet's demand that is changed under its key after it was accepted doesn't count as accepted")
{
    demand_process process;
    process.service.acceptSheetDemands();
    CHECK(process.target.rows.rows().contains(demandPlace(sheetDemandKey(process.sheet, "wash"))));
    process.sheet.demands["wash"] = makeDemand(3);
    process.service.acceptSheetDemands();
    CHECK_THAT(process.text(), Contains(refusedSheetDemand));
}

TEST_CASE("a sheet's demand that another process has accepted is not reported and not committed again")
{
    demand_process process;
    process.storeDemand(makeDemand(1));
    process.service.acceptSheetDemands();
    const auto commits = process.target.commits;
    process.service.acceptSheetDemands();
    CHECK(process.target.commits == commits);
    CHECK_THAT(process.text(), !Contains("accept sheet demand"));
}

TEST_CASE("a sheet's demand whose row can't be read after a conflict is committed again until it is known")
{
    demand_process process;
    process.storeDemand(makeDemand(2));
    process.target.refusesReads = true;
    process.service.acceptSheetDemands();
    CHECK_THAT(process.text(), !Contains("accept sheet demand"));
    process.target.refusesReads = false;
    CHECK(loopback::runUntil([&process] {
        process.rows.readRow(demandPlace("none"), [](const row_result &) { }); // shows that the store is back
        process.service.acceptSheetDemands();
        return process.text().find(refusedSheetDemand) != std::string::npos;
    }));
}

TEST_CASE("a sheet's demand whose row is unreadable after a conflict is neither accepted nor refused")
{
    demand_process process;
    process.target.rows.put(demandPlace(sheetDemandKey(process.sheet, "wash")), "{");
    process.service.acceptSheetDemands();
    process.service.acceptSheetDemands();
    CHECK(process.target.commits == 2);
    CHECK_THAT(process.text(), !Contains("accept sheet demand"));
}

TEST_CASE("a demand that fits nowhere is not refused for good while its row can't be read")
{
    demand_process process;
    const std::string body = R"({"kind":"batch","team":"yard","tasks":1,"cores":100,"memory":"1GiB","runTime":"1s"})";
    CHECK(process.submit(body).status == statusUnprocessable);
    process.target.refusesReads = true;
    const auto answer = process.submit(body);
    CHECK(answer.status == statusUnavailable);
    CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
}

TEST_CASE("the demands of a failure domain are not missing for good before the first sheet")
{
    demand_process process;
    process.hasSheet = false;
    const auto request = std::make_shared<fake_request>("GET", "/v1/demands");
    process.service.serve(request);
    REQUIRE(request->response);
    CHECK(request->response->status == statusUnavailable);
    CHECK_FALSE(headerValue(request->response->headers, "Retry-After").empty());
}
