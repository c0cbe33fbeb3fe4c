#include "leadership/tick_lateness.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr double newestWeight = 0.3; ///< weight of the newest tick in the smoothed lateness

/// A tick that is later than this counts as this late, so that one long pause doesn't make a process late.
constexpr std::chrono::duration<double, std::milli> maxSample {400};

} // namespace

void recordTick(tick_lateness &lateness, std::chrono::milliseconds interval, instant now)
{
    const auto last = std::exchange(lateness.lastTickAt, now);
    if (!last) {
        return;
    }
    const std::chrono::duration<double, std::milli> late = now - *last - interval;
    const auto sample = std::clamp(late, decltype(late)::zero(), maxSample);
    lateness.smoothed += (sample - lateness.smoothed) * newestWeight;
    if (lateness.smoothed <= maxLateness) {
        lateness.lateSince.reset();
    } else {
        lateness.lateSince = lateness.lateSince.value_or(now);
    }
}

} // namespace primrosecroft
