#include "figure.h"
#include "routing_cell.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <ranges>

/// Compares the routing policies with one ideal shared queue, and measures routing under faults, in virtual time.
namespace
{

using namespace primrosecroft;
using namespace primrosecroft::bench;
using namespace primrosecroft::standins;
using namespace std::chrono_literals;

struct named_policy
{
    const char *name;
    routing_policy policy;
};

constexpr std::array policies {
    named_policy {"random", routing_policy::random},
    named_policy {"fixed_share", routing_policy::fixedShare},
    named_policy {"two_choices_own", routing_policy::twoChoices},
    named_policy {"two_choices_reported", routing_policy::twoChoicesReported},
    named_policy {"subset", routing_policy::subset},
    named_policy {"owned_first", routing_policy::ownedFirst},
};

cell_plan makePlan(routing_policy policy, double load)
{
    cell_plan plan;
    plan.settings.policy = policy;
    plan.load = load;
    if (policy == routing_policy::fixedShare) {
        plan.settings.slotsPerDaemon = 1; // an executor has eight slots, and there are seven daemons
    }
    return plan;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Returns the ratio of the largest number of requests that one executor ran to the mean.
double measureSpread(const cell_result &result)
{
    std::int64_t sum = 0;
    std::ranges::for_each(result.executed, [&sum](std::int64_t each) { sum += each; });
    return share(std::ranges::max(result.executed) * static_cast<std::int64_t>(result.executed.size()), sum);
}

void comparePolicies(double load)
{
    const auto percent = std::to_string(std::lround(load * 100));
    const auto ideal = runSharedQueue(makePlan(routing_policy::ownedFirst, load));
    const auto idealName = "routing/" + percent + "/shared_queue/";
    printFigure(idealName + "wait_p50", ideal.waitQuantile(0.5), "ms");
    printFigure(idealName + "wait_p99", ideal.waitQuantile(0.99), "ms");
    printFigure(idealName + "wait_p999", ideal.waitQuantile(0.999), "ms");
    printFigure(idealName + "goodput", share(ideal.answeredInTime, ideal.requests), "of_requests");
    for (const auto &[policyName, policy] : policies) {
        const auto result = runCell(makePlan(policy, load));
        const auto name = "routing/" + percent + '/' + policyName + '/';
        const auto isChosen = policy == routing_policy::ownedFirst;
        printFigure(name + "wait_p50", result.waitQuantile(0.5), "ms");
        if (isChosen && percent == "80") {
            printFigure(name + "wait_p99", result.waitQuantile(0.99), "ms", bound_side::atMost,
                        1.3 * ideal.waitQuantile(0.99));
        } else {
            printFigure(name + "wait_p99", result.waitQuantile(0.99), "ms");
        }
        printFigure(name + "wait_p999", result.waitQuantile(0.999), "ms");
        printFigure(name + "goodput", share(result.answeredInTime, result.requests), "of_requests");
        printFigure(name + "slots_used", result.slotsUsed, "of_slots");
        printFigure(name + "refused", share(result.refused, result.requests), "of_requests");
        printFigure(name + "refused_by_full_executor", share(result.fullRefusals, result.requests), "of_requests");
        printFigure(name + "spread", measureSpread(result), "most_over_mean");
        printFigure(name + "link_bytes", static_cast<double>(result.linkBytes) / 20, "bytes_per_s");
        if (isChosen) {
            printFigure(name + "most_in_flight", result.maxInFlight, "requests", bound_side::atMost, 8);
            printFigure(name + "attempts", share(result.attempts, result.requests), "per_request", bound_side::atMost,
                        1.1);
        }
    }
}

void measureOverload()
{
    const auto full = runCell(makePlan(routing_policy::ownedFirst, 1.0));
    const auto over = runCell(makePlan(routing_policy::ownedFirst, 1.3));
    printFigure("routing/overload/goodput_130_over_100", share(over.answeredInTime, full.answeredInTime), "ratio",
                bound_side::atLeast, 0.95);
    printFigure("routing/overload/refused_on_arrival", share(over.refusedOnArrival, over.refused), "of_refusals");
    const auto [shortest, longest] = std::ranges::minmax(over.retryAfterMs);
    printFigure("routing/overload/retry_after_least", static_cast<double>(shortest), "ms");
    printFigure("routing/overload/retry_after_most", static_cast<double>(longest), "ms");
}

void measureRetries()
{
    auto plan = makePlan(routing_policy::ownedFirst, 0.5);
    for (const auto number : std::views::iota(std::size_t {0}, std::size_t {10})) {
        plan.faults.push_back({number * 5, executor_fault_kind::failing, 5s});
    }
    const auto result = runCell(plan);
    printFigure("routing/failing_20/attempts", share(result.attempts, result.requests), "per_request",
                bound_side::atMost, 1.1);
    printFigure("routing/failing_20/good", share(result.answeredInTime, result.requests), "of_requests");
}

void measureFastFailing()
{
    auto plan = makePlan(routing_policy::ownedFirst, 0.8);
    plan.faults.push_back({3, executor_fault_kind::failing, 5s, 12s});
    const auto result = runCell(plan);
    const auto &bySecond = result.attemptsBySecond[3];
    const auto perSecond = result.attempts / plan.arrivalPeriod.count();
    printFigure("routing/fast_failing/share_after_2s", share(bySecond[7], perSecond), "of_traffic", bound_side::atMost,
                0.02);
    printFigure("routing/fast_failing/share_first_2s", share(bySecond[5] + bySecond[6], perSecond * 2), "of_traffic",
                bound_side::atMost, 0.02);
    printFigure("routing/fast_failing/share_when_back", share(bySecond[19] * 50, perSecond), "of_fair_share");
}

void measureSlow()
{
    for (const auto slowdownFactor : {2.0, 4.0}) {
        auto plan = makePlan(routing_policy::ownedFirst, 0.5);
        plan.faults.push_back({3, executor_fault_kind::slow, 0s, 1h, slowdownFactor});
        const auto result = runCell(plan);
        printFigure("routing/slow_" + std::to_string(static_cast<int>(slowdownFactor)) + "x/share",
                    share(result.executed[3] * 50, result.requests), "of_fair_share");
    }
}

void measureRegionLoss()
{
    auto plan = makePlan(routing_policy::ownedFirst, 0.5);
    plan.arrivalPeriod = 30s;
    for (const auto number : std::views::iota(std::size_t {34}, std::size_t {50})) {
        plan.faults.push_back({number, executor_fault_kind::unreachable, 5s, 15s});
    }
    const auto result = runCell(plan);
    const auto budget = plan.settings.linkBytesPerSecond * 2; // two daemons are in the lost region
    const auto during = result.linkBytesBySecond | std::views::drop(7) | std::views::take(8);
    printFigure("routing/region_loss/link_bytes_most", static_cast<double>(std::ranges::max(during)), "bytes_per_s",
                bound_side::atMost, budget * 1.1);
    printFigure("routing/region_loss/link_bytes_before", static_cast<double>(result.linkBytesBySecond[4]),
                "bytes_per_s");
    printFigure("routing/region_loss/link_bytes_after", static_cast<double>(result.linkBytesBySecond[29]),
                "bytes_per_s");
    printFigure("routing/region_loss/good", share(result.answeredInTime, result.requests), "of_requests");
}

/// Measures the time that the routing core takes for a request with today's 50 executors and with 400.
void measureRequestCost()
{
    std::array<double, 2> perRequest {};
    constexpr std::array sizes {50, 400};
    for (std::size_t each = 0; each < sizes.size(); ++each) {
        auto state = makeRouting({});
        upstreams_listed list;
        for (const auto number : std::views::iota(0, sizes.at(each))) {
            list.upstreams.push_back({"executor-" + std::to_string(number), "", "", false});
        }
        auto now = instant {} + 1h;
        step(state, list, now);
        constexpr std::uint64_t rounds = 20'000;
        const auto startedAt = std::chrono::steady_clock::now();
        for (const auto id : std::views::iota(std::uint64_t {1}, rounds)) {
            now += 100us;
            step(state, request_arrived {id, now + 1s, true}, now);
            step(state, attempt_finished {id, attempt_result::answered, false, true, 1, 20ms, 4'096}, now);
        }
        const auto elapsed = std::chrono::steady_clock::now() - startedAt;
        perRequest.at(each) = std::chrono::duration<double, std::micro>(elapsed).count() / rounds;
        printFigure("routing/cost/request_at_" + std::to_string(sizes.at(each)), perRequest.at(each), "us");
    }
    printFigure("routing/cost/request_400_over_50", perRequest.at(1) / perRequest.at(0), "ratio");
}

} // namespace

int main()
{
    std::ranges::for_each(std::array {0.5, 0.8, 0.95, 1.3}, comparePolicies);
    measureOverload();
    measureRetries();
    measureFastFailing();
    measureSlow();
    measureRegionLoss();
    measureRequestCost();
    return figuresOutOfBounds() == 0 ? 0 : 1;
}
