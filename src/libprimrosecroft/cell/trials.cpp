#include "cell/detail/trials.h"

#include "cell/detail/unsettled_losses.h"
#include "cell/detail/worker_loss.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto trialTime = 150ms; ///< a worker that answers this long after a start has survived it
constexpr std::int32_t fullPercent = 100; ///< progress of a service that is at work, or of work that is done
constexpr auto longTrialTime = 10'000ms; ///< for tasks under which workers were lost later
constexpr std::uint32_t laterLossesBeforeLongTrial = 2;
constexpr std::uint32_t lossesBeforeLongTrial = 3; ///< of any kind

/// A worker has survived the task, so it is no suspect any more. It may still crash one later if the trial was a short
/// one.
void settleBySurvival(task_state &task, task_run &run)
{
    auto &losses = task.losses;
    const auto refusals = refusalsOf(task);
    const auto unexplained = losses.counts.soon - (losses.isNextCounted ? 1 : 0) - refusals.soon;
    const auto later = needsLongTrial(losses) ? refusals.later : losses.counts.later + unexplained;
    if (needsLongTrial(losses)) {
        losses.unsettled.clear();
    } else {
        recountAsLater(losses);
    }
    losses.counts = {refusals.soon, 0, later, std::min(losses.counts.proven, later)};
    losses.byAttempt.clear();
    losses.isNextCounted = false;
    run.isCounted = false;
}

/// Returns whether the worker has answered after @p end, or has shown the run there at work.
bool hasLasted(const worker_state &worker, const task_run &run, instant end)
{
    return run.phase == run_phase::running && (run.percent >= fullPercent || worker.lastSignAt >= end);
}

/// Returns when the run began to work. The members of a gang wait until all of them run; std::nullopt before that.
std::optional<instant> workingSince(const task_view &view, const task_run &run)
{
    if (!view.spec->isGang) {
        return run.runningSince;
    }
    auto latest = run.runningSince;
    for (const auto &member : view.step->tasks) {
        const auto own = std::ranges::find(member.runs, run.attempt, &task_run::attempt);
        if (own == member.runs.end() || own->phase != run_phase::running) {
            return std::nullopt;
        }
        latest = std::max(latest, own->runningSince);
    }
    return latest;
}

bool hasPassedTrial(const worker_state &worker, const task_view &view, const task_run &run)
{
    const auto since = workingSince(view, run);
    if (!since) {
        return false;
    }
    const bool isLong = needsLongTrial(view.task->losses);
    if (isLong && worker.lastSignAt < *since + longTrialTime) {
        return false;
    }
    return hasLasted(worker, run, *since + trialTime);
}

} // namespace

bool needsLongTrial(const loss_record &losses)
{
    const auto &counts = losses.counts;
    const auto soon = counts.soon - (losses.isNextCounted ? 1 : 0);
    return counts.later >= laterLossesBeforeLongTrial || soon + counts.later >= lossesBeforeLongTrial;
}

lost_workers suspectedByGang(lost_workers own, const lost_workers &gang)
{
    if (needsLongTrial({gang, gang})) {
        own.later = std::max(own.later, laterLossesBeforeLongTrial);
        return own;
    }
    own.soon = std::max(own.soon, std::min(gang.soon, 1U));
    own.later = std::max(own.later, std::min(gang.later, 1U));
    return own;
}

bool isSurvived(const worker_state &worker, const task_run &run)
{
    return !run.isTrial && hasLasted(worker, run, run.runningSince + trialTime);
}

bool hasOutlastedTrials(const task_run &run, instant now)
{
    return run.runningSince + longTrialTime < now;
}

bool isAwaitingTrial(const step_state &step)
{
    return !step.hasPassedTrial && std::ranges::any_of(step.tasks, [](const task_state &task) {
        return std::ranges::any_of(task.runs, &task_run::isTrial);
    });
}

bool hasSurvivedAll(const worker_state &worker)
{
    return worker.lastSignAt >= worker.lastStartAt + trialTime;
}

bool isInTrial(const worker_state &worker)
{
    return !worker.trials.empty();
}

std::chrono::milliseconds timeToTrialEnd(const worker_state &worker, instant now)
{
    if (!isInTrial(worker)) {
        return 0ms;
    }
    return std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(worker.lastStartAt + trialTime - now));
}

void adoptTrial(worker_state &worker, const run_id &id, const task_view &view, task_run &run, cell_actions &actions)
{
    auto &losses = view.task->losses;
    if (losses.counts.soon == 0) {
        return;
    }
    losses.isNextCounted = true;
    run.isCounted = true;
    run.isTrial = true;
    worker.trials.insert(id);
    actions.emplace_back(report_trial {id, worker.description.id, trial_event::adopted, losses.counts});
}

void endSurvivedTrials(cell_state &state, worker_state &worker, cell_actions &actions)
{
    for (const auto &id : std::set(worker.trials)) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr || !hasPassedTrial(worker, *view, *run)) {
            continue;
        }
        worker.trials.erase(id);
        run->isTrial = false;
        view->step->hasPassedTrial = true;
        settleBySurvival(*view->task, *run);
        markUnsaved(state, *view->job);
        actions.emplace_back(
            report_trial {id, worker.description.id, trial_event::survived, view->task->losses.counts});
    }
}

} // namespace primrosecroft::detail
