#include "callers/caller_service.h"
#include "core/checksum.h"
#include "core/clock.h"
#include "fake_request.h"
#include "fake_store.h"
#include "loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <vector>

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
    queue_route open = route;
    open.prefix = "/open/";
    open.queue.name = "open";
    open.isPublic = true;
    table.routes = {route, open};
    return table;
}

struct caller_process
{
    caller_links makeLinks()
    {
        caller_links links;
        links.queues = [this] { return &queues; };
        links.keys = [this] { return keys ? &*keys : nullptr; };
        links.isConfigurationCurrent = [this] { return isCurrent; };
        links.storeTime = [] { return 1'000ms; };
        links.notifyOwner = [](const job_id &, bool) { };
        links.storeThroughOwner = [this](const job_id &, const std::string &row, bool,
                                         std::chrono::milliseconds timeout, const stored_handler &done) {
            ownerTimeout = timeout;
            storedRows.push_back(row);
            if (isOwnerSilent) {
                unanswered.push_back(done);
                return;
            }
            done(ownerOutcome);
        };
        links.askOwner = [](const job_id &, std::chrono::milliseconds, const std::function<void(owner_answer)> &done) {
            done({});
        };
        links.isOwnerResponsive = [] { return false; };
        links.isIsolated = [this] { return isIsolated; };
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

    /// The answer to a call with the header of the key, or without it if @p key is unset.
    unsigned statusOf(const std::string &method, const std::string &path, const std::optional<std::string> &key)
    {
        http_headers headers {{"Host", "jobs.example"}};
        if (key) {
            headers.push_back({"Key", *key});
        }
        last = std::make_shared<fake_request>(method, path, headers, "body");
        service.serve(last);
        return last->response ? last->response->status : 0;
    }

    /// Puts a configuration with these keys of workspaces a and b in force.
    void setKeys(const std::vector<std::string> &keysOfA, const std::vector<std::string> &keysOfB)
    {
        const auto digests = [](const std::vector<std::string> &texts) {
            std::set<key_digest> result;
            std::ranges::transform(texts, std::inserter(result, result.end()), sha256);
            return result;
        };
        queues.workspaces = {{"a", {}, digests(keysOfA)}, {"b", {}, digests(keysOfB)}};
        keys.emplace(*queues.workspaces);
    }

    fake_store rows;
    std::optional<key_index> keys;
    bool isCurrent = true;
    bool isIsolated = false;
    int decodedBodies = 0;
    submit_result ownerOutcome = store_outcome::refused;
    bool isOwnerSilent = false; ///< keeps submissions and cancellations without an outcome
    std::vector<stored_handler> unanswered;
    std::vector<std::string> storedRows; ///< sent to the owner; empty for cancellations
    std::shared_ptr<fake_request> last;
    queue_table queues = makeQueues();
    std::chrono::milliseconds ownerTimeout {0};
    decision_log log {0, -1};
    metrics measures;
    caller_service service {rows,
                            {[this](const std::string &) {
                                 ++decodedBodies;
                                 job_spec spec;
                                 spec.steps.emplace_back();
                                 return spec;
                             },
                             [](job_status status) { return toString(status); },
                             [](std::int64_t count) { return std::to_string(count); }, "Deadline", "Key"},
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

TEST_CASE("a call needs a key of a workspace, unless its route is public")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.setKeys({"first"}, {"second"});
    for (const auto *method : {"POST", "GET", "DELETE"}) {
        for (const auto &path : {"/q/" + job, std::string("/q/")}) {
            for (const auto &key : {std::optional<std::string>(), std::optional<std::string>("third"),
                                    std::optional<std::string>(""), std::optional(sha256("first"))}) {
                CAPTURE(method, path, key.value_or("none"));
                CHECK(process.statusOf(method, path, key) == statusUnauthorized);
            }
        }
    }
    CHECK(process.decodedBodies == 0);
    CHECK(process.storedRows.empty());
    CHECK(process.statusOf("POST", "/q/" + job, "first") == statusOk);
    CHECK(process.statusOf("DELETE", "/q/" + job, "second") == statusOk);
    CHECK(process.statusOf("POST", "/open/" + job, {}) == statusOk);
    CHECK(process.statusOf("POST", "/open/" + job, "third") == statusOk);
    CHECK(process.statusOf("POST", "/none/" + job, {}) == statusNotFound);
    CHECK(process.statusOf("POST", "/none/" + job, "first") == statusNotFound);
}

TEST_CASE("a job carries the workspace of its caller's key")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.setKeys({"first"}, {"second"});
    process.statusOf("POST", "/q/" + job, "second");
    process.statusOf("POST", "/open/" + job, "second");
    CHECK(decodeJob(process.storedRows.at(0)).workspace == "b");
    CHECK(decodeJob(process.storedRows.at(1)).workspace.empty());
}

TEST_CASE("a key that is taken away or added counts from the next call on")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.setKeys({"first"}, {});
    CHECK(process.statusOf("POST", "/q/" + job, "first") == statusOk);
    process.setKeys({"other"}, {});
    CHECK(process.statusOf("POST", "/q/" + job, "first") == statusUnauthorized);
    CHECK(process.statusOf("DELETE", "/q/" + job, "other") == statusOk);
}

TEST_CASE("a configuration that may be out of date decides no call")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.setKeys({"first"}, {});
    process.isCurrent = false;
    for (const auto *method : {"POST", "GET", "DELETE"}) {
        for (const auto *path : {"/q/0123456789abcdef", "/q/", "/none/0123456789abcdef"}) {
            for (const auto *key : {"first", "third"}) {
                CAPTURE(method, path, key);
                CHECK(process.statusOf(method, path, key) == statusUnavailable);
                CHECK_FALSE(headerValue(process.last->response->headers, "Retry-After").empty());
            }
        }
    }
    CHECK(process.decodedBodies == 0);
    CHECK(process.storedRows.empty());
    CHECK(process.statusOf("POST", "/open/" + job, {}) == statusOk); // a public route needs no key
    process.isIsolated = true;
    CHECK(process.statusOf("POST", "/q/" + job, "third") == statusGatewayTimeout); // another process may know
    process.isIsolated = false;
    process.isCurrent = true;
    CHECK(process.statusOf("POST", "/q/" + job, "first") == statusOk);
}

TEST_CASE("without workspaces neither a key nor a recent confirmation is needed")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.isCurrent = false;
    CHECK(process.statusOf("POST", "/q/" + job, {}) == statusOk);
    CHECK(process.statusOf("POST", "/none/" + job, {}) == statusNotFound);
    CHECK(decodeJob(process.storedRows.at(0)).workspace.empty());
}

TEST_CASE("calls are counted for their workspaces, with a bounded number of names")
{
    caller_process process;
    process.ownerOutcome = store_outcome::done;
    process.setKeys({"first"}, {"second"});
    process.statusOf("POST", "/q/" + job, "first");
    process.statusOf("DELETE", "/q/" + job, "first");
    process.statusOf("POST", "/q/" + job, "third");
    CHECK(process.measures.text().find(R"(primrosecroft_workspace_requests{workspace="a"} 2)") != std::string::npos);
    CHECK(process.measures.text().find(R"(workspace="b")") == std::string::npos);
    std::vector<workspace> many;
    many.reserve(200);
    for (int number = 0; number < 200; ++number) {
        many.push_back({"w" + std::to_string(number), {}, {sha256("k" + std::to_string(number))}});
    }
    process.keys.emplace(many);
    for (int number = 0; number < 200; ++number) {
        CHECK(process.statusOf("POST", "/q/" + job, "k" + std::to_string(number)) == statusOk);
    }
    const auto text = process.measures.text();
    CHECK(text.find(R"(primrosecroft_workspace_requests{workspace="other"})") != std::string::npos);
    CHECK(text.find(R"(workspace="w199")") == std::string::npos);
}

TEST_CASE("a job that the owner turns away is answered at once with the time to come back")
{
    caller_process process;
    process.ownerOutcome = submit_result::turnedAway(2'300ms);
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

// Guards against LOST: while the store was out, callers at the owner's own process got no answer within their deadline.
TEST_CASE("a caller is answered by its deadline, however long the owner takes for an outcome")
{
    caller_process process;
    process.isOwnerSilent = true;
    const auto begin = bootNow();
    const auto submitted = process.submit("700");
    const auto cancelled = process.cancel("700");
    REQUIRE(runUntil([&] { return (submitted->response && cancelled->response) || bootNow() > begin + 2s; }));
    REQUIRE(submitted->response);
    CHECK(submitted->response->status == 504);
    CHECK(!headerValue(submitted->response->headers, "Retry-After").empty());
    REQUIRE(cancelled->response);
    CHECK(cancelled->response->status == 504);
    CHECK(bootNow() < begin + 700ms);
    CHECK(process.service.inFlight() == 0);
    process.unanswered.front()(store_outcome::done); // too late for the caller, who has been told that it is unknown
    CHECK(submitted->response->status == 504);
}
