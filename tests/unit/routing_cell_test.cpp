#include "routing_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <ranges>
#include <set>

/// Runs whole cells in virtual time and checks their counts. The runs are seeded, so that each gives the same result.
using namespace primrosecroft;
using namespace primrosecroft::standins;
using namespace std::chrono_literals;

namespace
{

cell_plan makePlan(double load)
{
    cell_plan plan;
    plan.load = load;
    plan.arrivalPeriod = 10s;
    return plan;
}

double share(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

std::vector<executor_fault> faultsOfEveryFifth(executor_fault_kind kind, duration from, duration until)
{
    std::vector<executor_fault> result;
    for (const auto number : std::views::iota(std::size_t {0}, std::size_t {10})) {
        result.push_back({number * 5, kind, from, until});
    }
    return result;
}

} // namespace

TEST_CASE("the 99th percentile of waits at 80 % load stays near that of one shared queue")
{
    const auto plan = makePlan(0.8);
    const auto result = runCell(plan);
    const auto ideal = runSharedQueue(plan);
    CHECK(result.waitQuantile(0.99) <= 1.3 * ideal.waitQuantile(0.99));
    CHECK(result.maxInFlight <= 8);
    CHECK(share(result.attempts, result.requests) <= 1.1);
    CHECK(share(result.answeredInTime, result.requests) >= 0.99);
    CHECK(result.linkBytes == 0);
}

TEST_CASE("goodput holds when callers send more requests than the executors can serve")
{
    const auto full = runCell(makePlan(1.0));
    const auto over = runCell(makePlan(1.3));
    CHECK(share(over.answeredInTime, full.answeredInTime) >= 0.95);
    CHECK(share(over.attempts, over.requests) <= 1.1);
    CHECK(over.maxInFlight <= 8);
}

TEST_CASE("the pauses in refusals are spread over several whole seconds")
{
    const auto over = runCell(makePlan(1.3));
    std::map<std::int64_t, std::int64_t> bySecond;
    for (const auto pause : over.retryAfterMs) {
        ++bySecond[(pause + 999) / 1000];
    }
    REQUIRE(bySecond.size() >= 4);
    const auto most = std::ranges::max(bySecond | std::views::values);
    CHECK(share(most, over.refused) <= 0.5);
}

TEST_CASE("retries stay within their budget when a fifth of the executors fails")
{
    auto plan = makePlan(0.5);
    plan.faults = faultsOfEveryFifth(executor_fault_kind::failing, 2s, 1h);
    const auto result = runCell(plan);
    CHECK(share(result.attempts, result.requests) <= 1.1);
    CHECK(share(result.answeredInTime, result.requests) >= 0.98);
}

TEST_CASE("an executor that fails fast gets almost no requests until it works again")
{
    for (const auto kind : {executor_fault_kind::failing, executor_fault_kind::unreachable}) {
        auto plan = makePlan(0.8);
        plan.arrivalPeriod = 20s;
        plan.faults.push_back({3, kind, 5s, 9s});
        const auto result = runCell(plan);
        const auto perSecond = result.attempts / plan.arrivalPeriod.count();
        const auto &attempts = result.attemptsBySecond[3];
        CHECK(share(attempts[5] + attempts[6], 2 * perSecond) <= 0.02);
        CHECK(share(attempts[7] + attempts[8], 2 * perSecond) <= 0.002);
        // The cell has 50 executors, so this one gets at least half of a mean executor's requests again.
        CHECK(share(attempts[19] * 50, perSecond) >= 0.5);
    }
}

TEST_CASE("an ejected executor is used again, even if no request may be repeated")
{
    auto plan = makePlan(0.8);
    plan.arrivalPeriod = 20s;
    plan.repeatableShare = 0;
    plan.faults.push_back({3, executor_fault_kind::failing, 5s, 9s});
    const auto result = runCell(plan);
    const auto perSecond = result.attempts / plan.arrivalPeriod.count();
    CHECK(share(result.attemptsBySecond[3][7] + result.attemptsBySecond[3][8], 2 * perSecond) <= 0.002);
    CHECK(share(result.attemptsBySecond[3][19] * 50, perSecond) >= 0.5); // one of 50 executors
}

TEST_CASE("a slow executor gets a smaller share of the requests")
{
    auto plan = makePlan(0.5);
    plan.faults.push_back({3, executor_fault_kind::slow, 0s, 1h, 4.0});
    const auto result = runCell(plan);
    const auto mean = std::accumulate(result.executed.begin(), result.executed.end(), std::int64_t {0}) / 50;
    CHECK(share(result.executed[3], mean) <= 0.5);
    CHECK(share(result.answeredInTime, result.requests) >= 0.98);
}

TEST_CASE("requests of a region without executors cross the link within the budget, until the executors are back")
{
    auto plan = makePlan(0.5);
    plan.arrivalPeriod = 30s;
    for (const auto number : std::views::iota(std::size_t {34}, std::size_t {50})) { // the second region's executors
        plan.faults.push_back({number, executor_fault_kind::unreachable, 5s, 12s});
    }
    const auto result = runCell(plan);
    const auto budget = 2 * plan.settings.linkBytesPerSecond; // the region has two daemons
    CHECK(result.linkBytesBySecond[4] == 0);
    CHECK(result.linkBytesBySecond[10] > 0);
    CHECK(std::ranges::max(result.linkBytesBySecond | std::views::drop(7)) <= 1.1 * budget);
    CHECK(result.linkBytesBySecond[29] == 0);
}

TEST_CASE("a refused request has not run, and one that must not be repeated runs at most once",
          "[promise-4][promise-5]")
{
    for (const auto kind : {executor_fault_kind::failing, executor_fault_kind::unreachable}) {
        for (const std::uint64_t seed : {1, 2, 3}) {
            auto plan = makePlan(0.95);
            plan.seed = seed;
            plan.arrivalPeriod = 6s;
            plan.faults = faultsOfEveryFifth(kind, 2s, 4s);
            const auto result = runCell(plan);
            CHECK(result.refused > 0);
            CHECK(result.refusedAfterRun == 0);
            CHECK(result.ranTwice == 0);
        }
    }
}

TEST_CASE("a leaving executor gets no requests from 3 s after it announced its leaving", "[promise-6]")
{
    auto plan = makePlan(0.8);
    plan.faults.push_back({3, executor_fault_kind::leaving, 2s});
    const auto result = runCell(plan);
    const auto &attempts = result.attemptsBySecond[3];
    CHECK(attempts[1] > 0);
    CHECK(std::accumulate(attempts.begin() + 5, attempts.end(), std::int64_t {0}) == 0);
}
