#include "cell/detail/cell_parts.h"
#include "cell/detail/gangs.h"
#include "core/contains.h"

#include <algorithm>
#include <ranges>

/// Supervision of runs: copies of late runs, stops of stalled ones, and moves off draining workers.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto supervisionInterval = 100ms;
constexpr auto minStallTime = 3'000ms; ///< no run counts as stalled before it is without progress for this long
constexpr auto maxStallTime = 30'000ms; ///< any run does after this time, whatever was expected of it
constexpr int stallPercents = 3; ///< a stalled run is without progress for as long as this many percent usually take
constexpr std::int32_t stallsBeforeQuarantine = 2;
constexpr auto stallQuarantine = 6'000ms;
constexpr auto drainMargin = 1'200ms; ///< runs with checkpoints are stopped this long before their worker is removed
constexpr auto maxListAge = 1'500ms; ///< an older list is no sign that a service is at work; a worker lists twice in it
constexpr std::int32_t fullPercent = 100; ///< progress of a service that is up
constexpr int copyFactor = 2; ///< a run is late at the earliest after this many times its forecast, and copyMargin
constexpr auto copyMargin = 200ms;

/// Returns whether the run is running and is not to stop.
bool isRunningAndWanted(const task_run &run)
{
    return run.phase == run_phase::running && !run.isStopWanted;
}

/// Returns whether the task is surely at work: a recent list of its worker shows it with full progress.
bool isAtWork(const cell_state &state, const task_state &task, instant now)
{
    return std::ranges::any_of(task.runs, [&](const task_run &run) {
        const auto worker = state.workers.find(run.worker);
        return isRunningAndWanted(run) && run.percent >= fullPercent && worker != state.workers.end()
            && !worker->second.isUnresponsive && worker->second.lastListAt + maxListAge > now;
    });
}

/// Stops services on a draining worker as far as they may miss tasks, and runs that save progress shortly before the
/// worker is removed. Other runs and gangs are left to end by themselves.
void stopOnDrainingWorker(cell_state &state, const task_ref &ref, const task_view &view, task_run &run,
                          const worker_state &worker, instant now, cell_actions &actions)
{
    // A stop would end an at-most-once task's job with an unknown outcome, but it may end before its worker leaves.
    if (!worker.description.isDraining || !isRunningAndWanted(run) || view.spec->isAtMostOnce) {
        return;
    }
    const bool isDrainEndNear = worker.drainEndsAt != instant {} && worker.drainEndsAt - drainMargin <= now;
    if ((view.spec->isService && mayMiss(state, view, now))
        || (!view.spec->isService && isDrainEndNear && view.spec->savesProgress && !view.spec->isGang)) {
        run.isStopWanted = true;
        run.isStopForDrain = true;
        sendStopIfDue(state, ref, run, now, actions);
    }
}

/// Progress comes in whole percents, so that a long run shows none for a while.
std::chrono::milliseconds stallTimeOf(const step_state &step, const task_run &run)
{
    return std::clamp<std::chrono::milliseconds>(stallPercents * timePerPercent(step, run), minStallTime, maxStallTime);
}

/// Stops a run that has not progressed for its stall time, and quarantines its worker if this happens repeatedly. A
/// list has to arrive after that time first, since earlier ones may not show the latest progress.
void stopStalledRun(cell_state &state, const task_ref &ref, const task_view &view, task_run &run, worker_state &worker,
                    instant now, cell_actions &actions)
{
    const auto stallTime = stallTimeOf(*view.step, run);
    const bool isServiceUp = view.spec->isService && run.percent >= fullPercent;
    if (!isRunningAndWanted(run) || isServiceUp || view.spec->isGang || view.spec->isAtMostOnce
        || view.spec->isBestEffort || run.lastProgressAt + stallTime > now
        || worker.lastListAt < run.lastProgressAt + stallTime) {
        return;
    }
    run.isStopWanted = true;
    view.task->avoidedWorkers.insert(run.worker);
    sendStopIfDue(state, ref, run, now, actions);
    if (worker.health.quarantinedUntil > now) {
        return; // what stalls there now began before the quarantine
    }
    if (++worker.health.stalls >= stallsBeforeQuarantine && quarantine(state, worker, stallQuarantine, now)) {
        actions.emplace_back(report_worker_change {run.worker, "quarantined: runs stalled", worker.description.boot});
    }
}

/// The time after which a run counts as late. With a wide forecast that is when nine of ten have ended.
std::chrono::milliseconds lateTime(const duration_forecast &forecast)
{
    return std::max(copyFactor * forecast.median, forecast.late) + copyMargin;
}

/// Requests a copy, if the step allows copies, when the only run is late or its worker is unresponsive.
void requestCopy(const task_ref &ref, const task_view &view, const task_run &run, const worker_state &worker,
                 instant now)
{
    auto &task = *view.task;
    if (!view.spec->allowsCopies || view.spec->isGang || view.spec->isService || task.isDone || task.needsCopy
        || task.runs.size() != 1 || run.isStopWanted) {
        return;
    }
    const bool isLate = run.sentAt + lateTime(view.step->forecast) <= now;
    if (!isLate && !worker.isUnresponsive) {
        return;
    }
    task.needsCopy = true;
    if (!contains(view.step->pendingTasks, ref.index)) {
        task.pendingSince = now;
        view.step->pendingTasks.push_back(ref.index);
    }
}

} // namespace

bool mayMiss(const cell_state &state, const task_view &view, instant now)
{
    if (!view.spec->maxUnavailable) {
        return true;
    }
    const auto limit = *view.spec->maxUnavailable;
    if (view.spec->isGang) {
        return std::ssize(view.step->tasks) <= limit; // its members only work together
    }
    const auto away = std::ranges::count_if(
        view.step->tasks, [&](const task_state &task) { return &task != view.task && !isAtWork(state, task, now); });
    return away < limit;
}

void superviseRuns(cell_state &state, instant now, cell_actions &actions)
{
    if (now < state.nextSupervisionAt) {
        return;
    }
    state.nextSupervisionAt = now + supervisionInterval;
    stopIncompleteGangs(state, now, actions);
    for (auto &[id, worker] : state.workers) {
        for (const auto &[runId, held] : worker.reservations) {
            const auto view = findTask(state, runId.task);
            auto *run = view ? findRun(*view->task, id, runId.attempt) : nullptr;
            if (run == nullptr) {
                continue;
            }
            sendStopIfDue(state, runId.task, *run, now, actions);
            stopOnDrainingWorker(state, runId.task, *view, *run, worker, now, actions);
            stopStalledRun(state, runId.task, *view, *run, worker, now, actions);
            requestCopy(runId.task, *view, *run, worker, now);
        }
    }
}

} // namespace primrosecroft::detail
