#include "store/store_breaker.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using seconds_number = std::chrono::duration<double>;

constexpr std::uint32_t maxDoublings = 4;
constexpr auto budgetMargin = 1ms; ///< added to a wait, so that the budget suffices once the wait is over

/**
 * The interval doubles with each consecutive failure, up to maxProbeInterval. It is multiplied by a random factor
 * from 0.5 to 1.5, so that daemons that failed together don't probe at the same times.
 */
std::chrono::milliseconds probeInterval(const store_breaker &breaker)
{
    const auto doublings = std::min(breaker.failures == 0 ? 0U : breaker.failures - 1, maxDoublings);
    const auto interval = std::min(minProbeInterval * (1U << doublings), maxProbeInterval);
    std::minstd_rand random(static_cast<std::uint32_t>(breaker.seed + breaker.failures));
    random.discard(3);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return std::chrono::duration_cast<std::chrono::milliseconds>(interval * spread(random));
}

} // namespace

void recordStoreResult(store_breaker &breaker, bool isAnswered, instant now)
{
    if (!isAnswered) {
        breaker.isReachable = false;
        ++breaker.failures;
        breaker.nextProbeAt = now + probeInterval(breaker);
        return;
    }
    breaker.failures = 0;
    if (!breaker.isReachable) {
        breaker.isReachable = true;
        breaker.budgetUntil = now + recoveryPeriod;
        breaker.budget = 1.0;
        breaker.budgetUpdatedAt = now;
    }
}

bool takeProbe(store_breaker &breaker, instant now)
{
    if (now < breaker.nextProbeAt) {
        return false;
    }
    breaker.nextProbeAt = now + probeInterval(breaker);
    return true;
}

std::chrono::milliseconds takeOperation(store_breaker &breaker, instant now)
{
    if (now >= breaker.budgetUntil) {
        return 0ms;
    }
    const auto passed = std::chrono::duration_cast<seconds_number>(now - breaker.budgetUpdatedAt).count();
    breaker.budget = std::min(1.0, breaker.budget + passed * breaker.operationsPerSecond);
    breaker.budgetUpdatedAt = now;
    if (breaker.budget >= 1.0) {
        breaker.budget -= 1.0;
        return 0ms;
    }
    const seconds_number wait((1.0 - breaker.budget) / breaker.operationsPerSecond);
    return std::chrono::ceil<std::chrono::milliseconds>(wait) + budgetMargin;
}

} // namespace primrosecroft
