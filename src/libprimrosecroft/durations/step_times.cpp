#include "durations/step_times.h"

#include "durations/detail/time_scale.h"

#include <algorithm>
#include <cmath>

namespace primrosecroft
{

namespace
{

/// Standard deviation of the times of a step's tasks in octaves, until they show another one.
constexpr double usualDeviation = 0.4;

/// Ended tasks that the usual deviation counts as. Those that end first lie closer together than all do.
constexpr double usualWeight = 4;

constexpr double decile = 1.28; ///< standard deviations from the mean to the last tenth
constexpr double minDeviation = 0.05; ///< of what was known before

} // namespace

void add(step_times &times, std::chrono::milliseconds time)
{
    const auto value = detail::logOf(time);
    const auto difference = value - times.mean;
    times.count += 1;
    times.mean += difference / times.count;
    times.squares += difference * (value - times.mean);
}

duration_forecast refineBy(const step_times &times, const duration_forecast &before)
{
    if (times.count <= 0) {
        return before;
    }
    const auto median = detail::logOf(before.median);
    const auto below = median - detail::logOf(before.early);
    const auto above = detail::logOf(before.late) - median;
    const auto known = std::max(minDeviation, (below + above) / 2 / decile);
    const auto variance =
        (times.squares + usualWeight * usualDeviation * usualDeviation) / (times.count + usualWeight - 1);
    // Both are weighed by their precisions. What remains unknown of the mean adds to the spread of the tasks.
    const auto share = known * known / (known * known + variance / times.count);
    const auto spread = decile * std::sqrt(variance);
    const auto blend = [&](double distance) { return distance * (1 - share) + std::min(distance, spread) * share; };
    const auto refined = median + (times.mean - median) * share;
    return {detail::timeOf(refined - blend(below)), detail::timeOf(refined), detail::timeOf(refined + blend(above)),
            1 - (1 - before.certainty) * (1 - share)};
}

} // namespace primrosecroft
