#include "store/store_breaker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t daemons = 14;
constexpr std::size_t operationsPerDaemon = 200; ///< operations that each daemon has ready when the store returns
constexpr std::int64_t maxPerSecond = 100;

} // namespace

TEST_CASE("when the store returns after an hour, daemons don't overload it with calls")
{
    std::vector<store_breaker> cell(daemons);
    const instant start {};
    const auto returnTime = start + 1h;
    std::map<std::int64_t, std::int64_t> perSecond;
    std::map<std::int64_t, std::int64_t> probesPerSecond;
    std::vector<std::size_t> sent(daemons);
    std::vector<instant> next(daemons, start);
    for (std::size_t index = 0; index < daemons; ++index) {
        cell.at(index).seed = index * 7'919;
        cell.at(index).operationsPerSecond = 5.0;
        recordStoreResult(cell.at(index), false, start);
    }
    for (auto now = start; now < returnTime + 60s; now += 10ms) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now - start).count();
        for (std::size_t index = 0; index < daemons; ++index) {
            auto &breaker = cell.at(index);
            if (!breaker.isReachable) {
                if (takeProbe(breaker, now)) {
                    ++probesPerSecond[second];
                    recordStoreResult(breaker, now >= returnTime, now);
                }
                continue;
            }
            while (sent.at(index) < operationsPerDaemon && now >= next.at(index)) {
                const auto wait = takeOperation(breaker, now);
                if (wait == 0ms) {
                    ++sent.at(index);
                    if (now < breaker.budgetUntil) {
                        ++perSecond[second];
                    }
                } else {
                    next.at(index) = now + wait;
                }
            }
        }
    }
    const auto most = [](const auto &counts) {
        return std::ranges::max_element(counts, {}, [](const auto &entry) { return entry.second; })->second;
    };
    WARN("most probes per second during the outage: "
         << most(probesPerSecond) << "; most operations per second after the store's return: " << most(perSecond));
    CHECK(most(probesPerSecond) <= maxPerSecond);
    CHECK(most(perSecond) <= maxPerSecond);
    CHECK(std::ranges::all_of(sent, [](std::size_t count) { return count == operationsPerDaemon; }));
}

TEST_CASE("probes of daemons that failed together spread out and stay within their bounds")
{
    std::vector<instant> times;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        store_breaker breaker;
        breaker.seed = seed * 104'729;
        recordStoreResult(breaker, false, instant {});
        times.push_back(breaker.nextProbeAt);
        for (int attempt = 0; attempt < 50; ++attempt) {
            const auto now = breaker.nextProbeAt;
            REQUIRE(takeProbe(breaker, now));
            recordStoreResult(breaker, false, now);
            REQUIRE(breaker.nextProbeAt - now <= maxProbeInterval * 3 / 2);
            REQUIRE(breaker.nextProbeAt - now >= minProbeInterval / 2);
        }
    }
    std::ranges::sort(times);
    const auto same = std::ranges::unique(times);
    CHECK(std::distance(times.begin(), same.begin()) >= 15);
}

TEST_CASE("operations aren't limited while the store has never failed")
{
    store_breaker breaker;
    for (int attempt = 0; attempt < 1'000; ++attempt) {
        REQUIRE(takeOperation(breaker, instant {} + 1s) == 0ms);
    }
}
