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
constexpr std::size_t wantedEach = 200; ///< operations that a daemon would send at once at the return
constexpr std::int64_t mostPerSecond = 100;

} // namespace

TEST_CASE("the store's return after an hour brings no stampede")
{
    std::vector<store_breaker> cell(daemons);
    const instant start {};
    const auto back = start + 1h;
    std::map<std::int64_t, std::int64_t> perSecond;
    std::map<std::int64_t, std::int64_t> probesPerSecond;
    std::vector<std::size_t> sent(daemons);
    std::vector<instant> next(daemons, start);
    for (std::size_t index = 0; index < daemons; ++index) {
        cell.at(index).seed = index * 7'919;
        cell.at(index).operationsPerSecond = 5.0;
        recordStoreResult(cell.at(index), false, start);
    }
    for (auto now = start; now < back + 60s; now += 10ms) {
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(now - start).count();
        for (std::size_t index = 0; index < daemons; ++index) {
            auto &breaker = cell.at(index);
            if (!breaker.reachable) {
                if (takeProbe(breaker, now)) {
                    ++probesPerSecond[second];
                    recordStoreResult(breaker, now >= back, now);
                }
                continue;
            }
            while (sent.at(index) < wantedEach && now >= next.at(index)) {
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
    WARN("probes a second in the outage, at most " << most(probesPerSecond) << "; operations a second at the return, "
                                                   << most(perSecond));
    CHECK(most(probesPerSecond) <= mostPerSecond);
    CHECK(most(perSecond) <= mostPerSecond);
    CHECK(std::ranges::all_of(sent, [](std::size_t count) { return count == wantedEach; }));
}

TEST_CASE("probes of daemons that failed together drift apart, and stay within their bounds")
{
    std::vector<instant> times;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        store_breaker breaker;
        breaker.seed = seed * 104'729;
        recordStoreResult(breaker, false, instant {});
        times.push_back(breaker.nextProbe);
        for (int turn = 0; turn < 50; ++turn) {
            const auto now = breaker.nextProbe;
            REQUIRE(takeProbe(breaker, now));
            recordStoreResult(breaker, false, now);
            REQUIRE(breaker.nextProbe - now <= maxProbeInterval * 3 / 2);
            REQUIRE(breaker.nextProbe - now >= minProbeInterval / 2);
        }
    }
    std::ranges::sort(times);
    const auto same = std::ranges::unique(times);
    CHECK(std::distance(times.begin(), same.begin()) >= 15);
}

TEST_CASE("a store that never failed is not held back")
{
    store_breaker breaker;
    for (int turn = 0; turn < 1'000; ++turn) {
        REQUIRE(takeOperation(breaker, instant {} + 1s) == 0ms);
    }
}
