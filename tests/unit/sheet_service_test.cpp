#include "configuration/sheet_service.h"
#include "core/checksum.h"
#include "fake_objects.h"
#include "fake_request.h"
#include "fake_store.h"

#include <catch2/catch.hpp>

/// Tests of the sheet service with a store in memory.
using namespace primrosecroft;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace
{

std::string sheetText(const std::string &name)
{
    return "sheet: " + name
        + "\nfailureDomains: {a: {region: r}}\n"
          "workers:\n"
          "  w1: {failureDomain: a, rack: r1, address: 127.0.0.1, port: 1, cores: 4, memory: 1GiB}\n";
}

struct sheet_process
{
    fake_store target;
    fake_objects objects;
    guarded_store rows {target, objects, 500ms};
    configuration_follower follower {rows, [](const planning_sheet &) { }};
    sheet_service service {rows, follower, "daemon"};

    /// Puts a version in force, as another process does.
    void putInForce(std::int64_t version, const std::string &writer)
    {
        const auto text = sheetText("v" + std::to_string(version));
        const configuration_row row {version, sha256(text), writer};
        objects.texts[row.hash] = text;
        target.rows.put(configurationPlace(), toJson(row));
        target.rows.put(historyPlace(version), toJson(row));
        follower.offer({version, row.hash, text});
    }

    http_response ask(const std::string &method, const std::string &path, const http_headers &headers = {},
                      const std::string &body = {})
    {
        const auto request = std::make_shared<fake_request>(method, path, headers, body);
        service.serve(request);
        return request->response.value_or(http_response {});
    }
};

} // namespace

TEST_CASE("the history shows all versions but the one whose row is unreadable")
{
    sheet_process process;
    for (std::int64_t version = 1; version <= 3; ++version) {
        process.putInForce(version, "writer" + std::to_string(version));
    }
    process.target.rows.put(historyPlace(2), "{");
    const auto answer = process.ask("GET", "/v1/sheet/history");
    CHECK(answer.status == statusOk);
    CHECK_THAT(answer.body, Contains("writer1") && Contains("writer3") && !Contains("writer2"));
}

TEST_CASE("a version whose row is unreadable is answered as such, and its neighbours are shown")
{
    sheet_process process;
    process.putInForce(1, "writer");
    process.putInForce(2, "writer");
    process.target.rows.put(historyPlace(2), R"({"version":"two"})");
    const auto answer = process.ask("GET", "/v1/sheet/versions/2");
    CHECK(answer.status == statusUnavailable);
    CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
    CHECK(process.ask("GET", "/v1/sheet/versions/1").body == sheetText("v1"));
}

TEST_CASE("a change that lost against another one is never named as the version in force")
{
    sheet_process process;
    process.putInForce(1, "first");
    process.target.beforeCommit = [&process] {
        process.putInForce(2, "other");
        process.target.refusesReads = true;
    };
    const auto answer = process.ask("PUT", "/v1/sheet", {{"If-Match", "\"1\""}}, sheetText("mine"));
    CHECK_THAT(answer.body, !Contains("daemon/1"));
    CHECK(headerValue(answer.headers, "ETag").empty());
    CHECK(answer.status == statusUnavailable);
    CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
    CHECK_THAT(answer.body, Contains("refused"));
}

TEST_CASE("a change that lost against another one is answered with the version in force")
{
    sheet_process process;
    process.putInForce(1, "first");
    process.target.beforeCommit = [&process] { process.putInForce(2, "other"); };
    const auto answer = process.ask("PUT", "/v1/sheet", {{"If-Match", "\"1\""}}, sheetText("mine"));
    CHECK(answer.status == statusConflict);
    CHECK(headerValue(answer.headers, "ETag") == "\"2\"");
    CHECK_THAT(answer.body, Contains("other"));
}
