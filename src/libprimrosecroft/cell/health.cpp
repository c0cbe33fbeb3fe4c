#include "cell/detail/cell_parts.h"

#include <algorithm>
#include <cmath>
#include <ranges>

/// The health of workers: their failures, successes and quarantines.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto minQuarantine = 4'000ms;
constexpr auto maxQuarantine = 60'000ms;
constexpr std::size_t jobsBeforeQuarantine = 2; ///< different jobs whose tasks failed there without a success between

/// Failed or stalled tasks quarantine a worker only while fewer than this share of all workers, or none, are
/// quarantined.
constexpr double maxQuarantinedShare = 0.25;

constexpr double slownessWeight = 0.2; ///< weight of the newest run in the smoothed value
constexpr auto minMeasuredTime = 200ms; ///< shorter runs do not indicate a worker's speed

std::size_t quarantinedCount(const cell_state &state, instant now)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.workers, [now](const auto &each) { return each.second.health.quarantinedUntil > now; }));
}

/// How much a run tells of its worker: all if its time was known before, the less the wider the forecast is.
double sharpnessOf(const duration_forecast &expected)
{
    const auto early = std::max(1ms, expected.early);
    const auto octaves = std::log2(static_cast<double>(expected.late.count()) / static_cast<double>(early.count()));
    return 1 / (1 + octaves * octaves);
}

void quarantineForFailures(cell_state &state, worker_state &worker, instant now, cell_actions &actions)
{
    const auto pause = std::clamp<std::chrono::milliseconds>(worker.health.pause * 2, minQuarantine, maxQuarantine);
    if (quarantine(state, worker, pause, now)) {
        worker.health.pause = pause;
        actions.emplace_back(report_worker_change {worker.description.id, "quarantined", worker.description.boot});
    }
}

} // namespace

bool quarantine(const cell_state &state, worker_state &worker, std::chrono::milliseconds pause, instant now)
{
    const auto maxCount = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(state.workers.size()) * maxQuarantinedShare));
    if (worker.health.quarantinedUntil > now || quarantinedCount(state, now) >= maxCount) {
        return false;
    }
    worker.health.quarantinedUntil = now + pause;
    worker.health.failedJobs.clear();
    worker.health.stalls = 0;
    return true;
}

void recordFailureOn(cell_state &state, worker_state &worker, const job_id &job, instant now, cell_actions &actions)
{
    worker.health.failedJobs.insert(job);
    if (worker.health.failedJobs.size() >= jobsBeforeQuarantine) {
        quarantineForFailures(state, worker, now, actions);
    }
}

void recordSuccessOn(cell_state &state, worker_state &worker, const task_view &view, const task_run &run, instant now)
{
    worker.health.failedJobs.clear();
    worker.health.stalls = 0;
    worker.health.pause = 0ms;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.runningSince);
    const auto &expected = view.step->forecast;
    if (took >= minMeasuredTime && expected.median >= minMeasuredTime && view.task->checkpoint.empty()) {
        const auto ratio =
            std::clamp(static_cast<double>(took.count()) / static_cast<double>(expected.median.count()), 0.2, 10.0);
        worker.health.slowness += (ratio - worker.health.slowness) * slownessWeight * sharpnessOf(expected);
    }
    learnFrom(state, worker, view, run, run_end::done, now);
}

} // namespace primrosecroft::detail
