#include "configuration/sheet.h"
#include "core/error.h"
#include "settings/entry_daemon_settings.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace
{

constexpr auto minimalSettings = "process: a-e1\nfailureDomain: a\nregion: north\n"
                                 "listen: {address: 127.24.1.1, http: 7400, peers: 7401}\n"
                                 "platform: {address: 127.24.0.1, port: 7700}\n";

std::string faultsOf(const std::function<void()> &read)
{
    try {
        read();
    } catch (const error &fault) {
        return fault.what();
    }
    return "";
}

} // namespace

TEST_CASE("all faults of a sheet are reported in the document's order, each with its place")
{
    const auto text = "sheet: morning\n"
                      "policy: {packingWeight: heavy}\n"
                      "failureDomains:\n"
                      "  a: {region: north, rack: r1}\n"
                      "workers:\n"
                      "  w1: {failureDomain: b, rack: r1, address: 127.0.0.1, port: 0, cores: 4, memory: 64}\n"
                      "  w1: {failureDomain: a, rack: r1, address: 127.0.0.1, port: 1, cores: 4, memory: 1GiB}\n"
                      "  w/2: {failureDomain: a, rack: r1, address: 127.0.0.1, port: 1, cores: 4, memory: 1GiB}\n"
                      "demands:\n"
                      "  d1: {kind: batch, team: t, tasks: 0, cores: 1}\n";
    const auto faults = faultsOf([&] { readSheet(text, "sheet.yaml"); });
    const std::vector<std::string> expected {
        "read sheet.yaml: line 2, column 25, policy.packingWeight",
        "read sheet.yaml: line 4, column 22, failureDomains.a.rack: expected one of the keys region",
        "read sheet.yaml: line 6, column 23, workers.w1.failureDomain: expected a failure domain of this sheet",
        "read sheet.yaml: line 6, column 62, workers.w1.port",
        "read sheet.yaml: line 6, column 83, workers.w1.memory",
        "read sheet.yaml: line 7, column 3, workers.w1: expected the key once",
        "read sheet.yaml: line 8, column 3, workers.name: expected a name",
        "read sheet.yaml: line 10, column 7, demands.d1: expected the key 'memory'",
        "read sheet.yaml: line 10, column 37, demands.d1.tasks",
    };
    std::size_t from = 0;
    for (const auto &each : expected) {
        INFO(faults);
        INFO(each);
        const auto at = faults.find(each, from);
        REQUIRE(at != std::string::npos);
        from = at + 1;
    }
    CHECK(std::ranges::count(faults, '\n') + 1 == static_cast<std::ptrdiff_t>(expected.size()));
}

TEST_CASE("the number of reported faults is limited")
{
    std::string text = "sheet: s\nfailureDomains: {a: {region: r}}\nworkers: {}\nunknown0: 1\n";
    for (int turn = 1; turn < 1000; ++turn) {
        text += "unknown" + std::to_string(turn) + ": 1\n";
    }
    const auto faults = faultsOf([&] { readSheet(text, "sheet"); });
    CHECK(std::ranges::count(faults, '\n') == 200);
    CHECK_THAT(faults, Contains("more faults are not shown"));
}

TEST_CASE("all faults of a settings file are reported")
{
    const auto faults = faultsOf([] {
        readEntryDaemonSettings("process: a b\nregion: r\nlisten: {address: host, http: 0, peers: 7401}\n"
                                "platform: {address: 127.0.0.1, port: 1, timeout: 2}\nintervals: {vmList: 1ms}\n",
                                "e.yaml");
    });
    CHECK_THAT(faults,
               Contains("line 1, column 10, process") && Contains("the key 'failureDomain'")
                   && Contains("listen.address: expected an IP address") && Contains("listen.http")
                   && Contains("line 4, column 50, platform.timeout: expected a time with its unit")
                   && Contains("intervals.vmList"));
}

TEST_CASE("printed settings, defaults included, parse to the same settings")
{
    auto settings = readEntryDaemonSettings(minimalSettings, "e.yaml");
    const auto printed = toYaml(settings);
    CHECK_THAT(printed,
               Contains("heartbeat: 2000ms") && Contains("pools: {bookings: bookings, tasks: tasks}")
                   && !Contains("administration"));
    CHECK(toYaml(readEntryDaemonSettings(printed, "printed")) == printed);
    settings.isAdministrationOpen = true;
    CHECK(readEntryDaemonSettings(toYaml(settings), "printed").isAdministrationOpen);
    settings.isAdministrationOpen = false;
    settings.tokenFile = "/run/pri\"mrose token";
    CHECK(readEntryDaemonSettings(toYaml(settings), "printed").tokenFile == settings.tokenFile);
}

TEST_CASE("administration is closed unless the settings open it or name a token file")
{
    CHECK_FALSE(readEntryDaemonSettings(minimalSettings, "e.yaml").isAdministrationOpen);
    const auto with = [](const std::string &text) { return readEntryDaemonSettings(minimalSettings + text, "e.yaml"); };
    CHECK(with("administration: {open: true}\n").isAdministrationOpen);
    CHECK(with("administration: {tokenFile: /run/token}\n").tokenFile == "/run/token");
    CHECK_THROWS_AS(with("administration: {open: false}\n"), error);
    CHECK_THROWS_AS(with("administration: {open: true, tokenFile: /run/token}\n"), error);
}
