#include "callers/caller_service.h"
#include "core/clock.h"
#include "fake_request.h"
#include "fake_store.h"
#include "loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Tests of callers' requests with an owner that can't be reached and a store in memory.
using namespace primrosecroft;
using namespace std::chrono_literals;
using loopback::runUntil;

namespace
{

const job_id job = "0123456789abcdef";

queue_table makeQueues()
{
    queue_table table;
    queue_route route;
    route.host = "jobs.example";
    route.prefix = "/q/";
    route.queue.name = "q";
    table.routes = {route};
    return table;
}

struct caller_process
{
    caller_links makeLinks()
    {
        caller_links links;
        links.queues = [this] { return &queues; };
        links.storeTime = [] { return 1'000ms; };
        links.notifyOwner = [](const job_id &, bool) { };
        links.storeThroughOwner = [this](const job_id &, const std::string &, bool, std::chrono::milliseconds timeout,
                                         const stored_handler &done) {
            ownerTimeout = timeout;
            done(ownerResult);
        };
        links.askOwner = [](const job_id &, std::chrono::milliseconds, const std::function<void(owner_answer)> &done) {
            done({});
        };
        links.isOwnerResponsive = [] { return false; };
        links.isIsolated = [] { return false; };
        links.countWaitingJobs = [](const queue_name &) { return std::nullopt; };
        return links;
    }

    std::shared_ptr<fake_request> cancel(const std::string &deadline = {})
    {
        auto request = std::make_shared<fake_request>("DELETE", "/q/" + job,
                                                      http_headers {{"Host", "jobs.example"}, {"Deadline", deadline}});
        service.serve(request);
        return request;
    }

    std::shared_ptr<fake_request> submit(const std::string &deadline = {})
    {
        auto request = std::make_shared<fake_request>("POST", "/q/" + job,
                                                      http_headers {{"Host", "jobs.example"}, {"Deadline", deadline}});
        service.serve(request);
        return request;
    }

    fake_store rows;
    queue_table queues = makeQueues();
    std::chrono::milliseconds ownerTimeout {0};
    submit_result ownerResult = store_outcome::refused;
    decision_log log {0, -1};
    metrics measures;
    caller_service service {rows,
                            {[](const std::string &) { return job_spec {}; },
                             [](job_status status) { return toString(status); },
                             [](std::int64_t count) { return std::to_string(count); }, "Deadline"},
                            makeLinks(),
                            log,
                            measures};
};

} // namespace

TEST_CASE("a cancellation outlasts a store that fails for a moment")
{
    caller_process process;
    accepted_job accepted;
    accepted.id = job;
    process.rows.rows.put(jobPlace(job), encodeJob(accepted));
    process.rows.refusesReads = true;
    const auto begin = bootNow();
    const auto request = process.cancel();
    timer back;
    back.once(200ms, [&process] { process.rows.refusesReads = false; });
    CHECK(runUntil([&request] { return request->response.has_value(); }));
    CHECK(request->response->status == statusOk);
    CHECK(process.rows.rows.rows().contains(cancelPlace(job)));
    CHECK(bootNow() < begin + 3s);
}

TEST_CASE("a deadline header with trailing text is invalid")
{
    caller_process process;
    process.rows.refusesReads = true;
    process.cancel("1500");
    CHECK(process.ownerTimeout <= 1'200ms);
    for (const auto *text : {"1500x", "1500 ms", "1500.5", " 1500", "-1500", ""}) {
        CAPTURE(text);
        process.cancel(text);
        CHECK(process.ownerTimeout > 2'500ms); // the default
    }
}

TEST_CASE("a job that the owner turns away is answered at once with the time to come back")
{
    caller_process process;
    process.ownerResult = submit_result::turnedAway(2'300ms);
    const auto request = process.submit();
    REQUIRE(request->response.has_value());
    CHECK(request->response->status == statusUnavailable);
    CHECK(std::ranges::any_of(request->response->headers, [](const auto &header) {
        const auto &[name, value] = header;
        return name == "Retry-After" && value == "3";
    }));
    CHECK(process.rows.commits == 0);
}

TEST_CASE("a job that can't be stored while the owner turns jobs away isn't taken for accepted")
{
    caller_process process;
    process.rows.rows.put(acceptanceBarPlace(), "1");
    const auto request = process.submit("1900");
    CHECK(runUntil([&request] { return request->response.has_value(); }));
    CHECK(request->response->status == statusGatewayTimeout); // the owner didn't answer, so nobody knows
    CHECK_FALSE(process.rows.rows.rows().contains(jobPlace(job)));
}
