#include "core/checksum.h"
#include "core/error.h"
#include "platform/wire.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

/// Tests the decoding of the platform's texts, and that job rows are decoded as they were encoded.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

std::string errorOf(const std::string &body)
{
    try {
        platform::decodeJobBody(body);
    } catch (const error &fault) {
        return fault.what();
    }
    return {};
}

const std::string settingsText = R"({"nodeName": "n1", "zone": "a", "region": "r", "ip": "10.1.0.1", "unknown": [1],
    "bindAddrs": {"frontend": "10.1.0.1:80", "ready": "10.1.0.1:81"}, "internalPorts": [7720, 7735],
    "platform": {"address": "10.2.0.1:90"}, "advice": null,
    "bounds": {"holdMaxMs": 6000, "configApplyMs": 2500, "graceS": 1.5, "status_s": 120}})";

} // namespace

TEST_CASE("the body of a job is decoded into the product's steps")
{
    const auto job = platform::decodeJobBody(
        R"({"spec":"x","phases":[{"count":4,"cpu":500,"memMb":256,"estimateMs":900,"dataRack":"r1-3"},
            {"count":20,"after":[0],"checkpointing":true,"speculative":true,"antiAffinity":2,"targetMs":40,"mayMiss":1}]})");
    REQUIRE(job.steps.size() == 2);
    CHECK(job.steps[0].size == resources {500, 256, 0});
    CHECK(job.steps[0].estimate == 900ms);
    CHECK(job.steps[0].dataRack == "r1-3");
    CHECK(job.steps[1].after == std::vector<std::int32_t> {0});
    CHECK(job.steps[1].savesProgress);
    CHECK(job.steps[1].allowsCopies);
    CHECK(job.steps[1].maxPerWorker == 2);
    CHECK(job.steps[1].targetLatency == 40ms);
}

TEST_CASE("a step that may miss no task is told apart from one without a limit, also in its row")
{
    accepted_job job;
    job.spec = platform::decodeJobBody(
        R"({"phases":[{"count":4,"longRunning":true},{"count":4,"mayMiss":0},{"count":4,"mayMiss":2}]})");
    const auto stored = decodeJob(encodeJob(job)).spec;
    for (const auto &each : {job.spec, stored}) {
        REQUIRE(each.steps.size() == 3);
        CHECK_FALSE(each.steps[0].maxUnavailable);
        CHECK(each.steps[1].maxUnavailable == 0);
        CHECK(each.steps[2].maxUnavailable == 2);
    }
}

TEST_CASE("the error for an invalid body names what is wrong")
{
    CHECK(errorOf("{").find("not JSON") != std::string::npos);
    CHECK(errorOf("[]").find("an object") != std::string::npos);
    CHECK(errorOf(R"({"spec":"x"})").find("phases") != std::string::npos);
    CHECK(errorOf(R"({"spec":5,"phases":[{"count":1}]})").find("spec") != std::string::npos);
    CHECK(errorOf(R"({"phases":[{"count":1,"cpu":"much"}]})").find("cpu") != std::string::npos);
    CHECK(errorOf(R"({"phases":[{"count":-1}]})").find("count") != std::string::npos);
    CHECK(errorOf(R"({"phases":[{"count":1,"after":[0]}]})").find("earlier") != std::string::npos);
    CHECK(errorOf(R"({"phases":[{"count":1,"after":["a"]}]})").find("after") != std::string::npos);
    CHECK(errorOf(R"({"phases":[{"count":1e400}]})").find("not JSON") != std::string::npos); // out of range of double
    CHECK(errorOf(R"({"phases":[{"count":1e300}]})").find("count") != std::string::npos);
    CHECK(errorOf(R"({"spec":")" + std::string(4'001, 'x') + R"(","phases":[{"count":1}]})").find("bytes")
          != std::string::npos);
}

TEST_CASE("errors in settings name file, key and what was expected; unknown keys are ignored")
{
    const auto settings = platform::decodeSettings(settingsText, "f.json");
    CHECK(settings.peers == peer_address {"10.1.0.1", 7720});
    CHECK(settings.terminationGrace == 1'500ms);
    CHECK(settings.advice.address.empty());
    auto text = settingsText;
    text.replace(text.find("6000"), 4, "\"6\"");
    CHECK_THROWS_WITH(platform::decodeSettings(text, "f.json"),
                      Catch::Contains("f.json") && Catch::Contains("bounds.holdMaxMs") && Catch::Contains("a number"));
}

TEST_CASE("the settings' limits tell the VM's capacity; what is missing or odd is unknown and no error")
{
    const auto capacityOf = [](const std::string &limits) {
        auto text = settingsText;
        text.insert(1, R"("limits": )" + limits + ",");
        return platform::decodeSettings(text, "f.json").capacity;
    };
    CHECK(capacityOf(R"({"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0})")
          == vm_capacity {250, 1'000});
    CHECK(capacityOf(R"({"cpuShare": 0.12, "cores": 2, "linkMbps": 0.4})") == vm_capacity {240, 1});
    CHECK(platform::decodeSettings(settingsText, "f.json").capacity == vm_capacity {});
    for (const auto *limits : {"{}", "null", "[0.25]", "7", R"({"cpuShare": "0.25", "cores": 1, "linkMbps": null})",
                               R"({"cpuShare": 0.25})", R"({"cpuShare": 0, "cores": 1, "linkMbps": -1})",
                               R"({"cpuShare": 1e300, "cores": 1e300, "linkMbps": 1e300})"}) {
        CAPTURE(limits);
        CHECK(capacityOf(limits) == vm_capacity {});
    }
}

TEST_CASE("settings without the bounds that nothing uses are valid")
{
    auto text = settingsText;
    for (const std::string bound : {R"("configApplyMs": 2500, )", R"(, "status_s": 120)"}) {
        text.erase(text.find(bound), bound.size());
    }
    CHECK(platform::decodeSettings(text, "f.json").maxLease == 6'000ms);
}

TEST_CASE("the settings' bounds tell for how long a configuration may be used without confirmation")
{
    auto text = settingsText;
    const std::string bound = R"("configApplyMs": 2500)";
    text.replace(text.find(bound), bound.size(), R"("configApplyMs": 4000, "outerMs": 8000)");
    const auto settings = platform::decodeSettings(text, "f.json");
    CHECK(settings.maxConfigurationDelay == 4'000ms);
    CHECK(settings.maxOutageDelay == 8'000ms);
    text = settingsText;
    text.erase(text.find(bound), bound.size() + 2);
    CHECK(platform::decodeSettings(text, "f.json").maxConfigurationDelay == 2'500ms);
    CHECK(platform::decodeSettings(text, "f.json").maxOutageDelay == 0ms);
}

TEST_CASE("a configuration's keys are kept as digests, and an entry that can't be read is an error that shows none")
{
    const auto tableOf = [](const std::string &workspaces) {
        return platform::decodeQueueTable(R"({"version":1,"routes":[],"tenants":)" + workspaces + "}");
    };
    const auto table = tableOf(R"([{"name":"a","apiKeys":["secret"],"weight":3,"maxCount":{"cpu":500}}])");
    REQUIRE(table.workspaces);
    CHECK(table.workspaces->at(0).keys == std::set<key_digest> {sha256("secret")});
    CHECK(table.workspaces->at(0).policy == workspace_policy {3, {500, 0, 0}});
    CHECK_FALSE(platform::decodeQueueTable(R"({"version":1,"routes":[]})").workspaces);
    CHECK(tableOf("[]").workspaces->empty());
    for (const auto *faulty :
         {R"([{"apiKeys":["secret"]}])", R"([{"name":"a"}])", R"([{"name":"a","apiKeys":"secret"}])",
          R"([{"name":"a","apiKeys":["secret",7]}])", R"(["secret"])"}) {
        CAPTURE(faulty);
        CHECK_THROWS_AS(tableOf(faulty), error);
        CHECK_THROWS_WITH(tableOf(faulty), !Catch::Contains("secret"));
    }
}

TEST_CASE("a malformed or unknown entry of a worker is decoded as no worker")
{
    CHECK_FALSE(platform::decodeWorker("w", "garbage"));
    CHECK_FALSE(platform::decodeWorker("w", R"({"service":"s"})"));
    const std::string entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"STATE","born":7,"labels":["k","r"],
            "capacity":{"cpu":1000,"memMb":10}})";
    auto ready = entry;
    ready.replace(ready.find("STATE"), 5, "ready");
    const auto worker = platform::decodeWorker("w", ready);
    REQUIRE(worker);
    CHECK(worker->boot == 7);
    CHECK(worker->capacity == resources {1'000, 10, 0});
    CHECK_FALSE(platform::decodeWorker("w", entry)); // unknown state
}

TEST_CASE("the text form of a task is decoded to the same task, and other texts are rejected")
{
    const task_ref task {"5c0e7a21d94b36f8", 2, 1, 17};
    CHECK(platform::decodeTask(platform::encodeTask(task)) == task);
    for (const auto *text : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", "a..1.2", "a.1.2.3x"}) {
        CHECK_FALSE(platform::decodeTask(text));
    }
}

TEST_CASE("a job row is decoded as it was encoded, and malformed text is rejected")
{
    accepted_job job;
    job.id = "a";
    job.queue = {"q", "p", 2, 3, 1.5, 500ms, advice_policy {370'000us, 5'300us, 2'500ms}};
    job.spec.payload = "text";
    job.spec.steps.resize(2);
    job.spec.steps[1].after = {0};
    job.spec.steps[1].isService = true;
    const auto decoded = decodeJob(encodeJob(job));
    CHECK(decoded.spec == job.spec);
    CHECK(decoded.queue == job.queue);
    CHECK_THROWS_AS(decodeJob("garbage"), error);
}

TEST_CASE("a job row with a value out of its bounds is rejected")
{
    const auto isReadable = [](const auto &change) {
        accepted_job job;
        job.spec.steps.resize(2);
        change(job);
        try {
            decodeJob(encodeJob(job));
            return true;
        } catch (const error &) {
            return false;
        }
    };
    CHECK(isReadable([](accepted_job &) { }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.steps.clear(); }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.steps[0].count = -1; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.steps[0].count = maxTasksPerStep + 1; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.steps[1].after = {1}; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.steps[1].size.milliCores = -1; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.occurrences = -1; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.spec.payload = "\xff"; }));
    CHECK_FALSE(isReadable([](accepted_job &job) { job.queue.slowdownFactor = std::nan(""); }));
}

TEST_CASE("values in a job row that only older or newer builds know are ignored")
{
    accepted_job job;
    job.id = "a";
    job.spec.steps.resize(1);
    auto row = nlohmann::json::from_cbor(encodeJob(job));
    row["s"][0]["unheard-of"] = "debian";
    row["unheard-of"] = 1;
    std::string encoded;
    nlohmann::json::to_cbor(row, encoded);
    CHECK(decodeJob(encoded).spec == job.spec);
}

TEST_CASE("a job row keeps the workspace and the images, and is readable without them")
{
    accepted_job job;
    job.id = "a";
    job.spec.steps.resize(1);
    CHECK(decodeJob(encodeJob(job)).workspace.empty());
    CHECK(decodeJob(encodeJob(job)).spec.steps[0].image.empty());
    job.workspace = "north";
    job.spec.steps[0].image = "debian";
    CHECK(decodeJob(encodeJob(job)).workspace == "north");
    CHECK(decodeJob(encodeJob(job)).spec == job.spec);
}

TEST_CASE("the settings' limits tell the memory and descriptors of the process; what is missing or odd is unknown")
{
    const auto limitsOf = [](const std::string &limits) {
        auto text = settingsText;
        text.insert(1, R"("limits": )" + limits + ",");
        return platform::decodeSettings(text, "f.json").limits;
    };
    CHECK(limitsOf(R"({"memoryMb": 260, "maxFds": 4100})") == process_limits {260 * 1024 * 1024, 4'100});
    CHECK(platform::decodeSettings(settingsText, "f.json").limits == process_limits {});
    for (const auto *limits : {"{}", "null", "7", R"({"memoryMb": "260", "maxFds": null})",
                               R"({"memoryMb": 0, "maxFds": -1})", R"({"memoryMb": 1e300, "maxFds": 1e300})"}) {
        CAPTURE(limits);
        CHECK(limitsOf(limits) == process_limits {});
    }
}

TEST_CASE("a limit of the heads of requests leaves room for the request line; an odd one counts as missing")
{
    const auto limitOf = [](const std::string &limits) {
        return platform::decodeQueueTable(R"({"version":1,"routes":[],"limits":)" + limits + "}").maxHeadBytes;
    };
    CHECK(limitOf(R"({"maxHeaderBytes":1000})") == 1'000 + 8'192);
    CHECK(limitOf(R"({"maxHeaderBytes":9223372036854775807})") == 65'536 + 8'192);
    for (const auto *limits : {"{}", R"({"maxHeaderBytes":0})", R"({"maxHeaderBytes":-1})"}) {
        CHECK(limitOf(limits) == queue_table {}.maxHeadBytes);
    }
}

TEST_CASE("a limit of request bodies that isn't positive counts as missing")
{
    const auto limitOf = [](const std::string &limits) {
        return platform::decodeQueueTable(R"({"version":1,"routes":[],"limits":)" + limits + "}").maxRequestBytes;
    };
    CHECK(limitOf(R"({"maxBodyBytes":1000})") == 1'000);
    for (const auto *limits : {"{}", R"({"maxBodyBytes":0})", R"({"maxBodyBytes":-1})"}) {
        CHECK(limitOf(limits) == queue_table {}.maxRequestBytes);
    }
}
