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
constexpr std::uint32_t lossesBeforeBlame = 2; ///< with a failed trial among them
constexpr std::uint32_t maxSoonLosses = 4; ///< whatever else may have been why
/// Other workers that are lost together with one under new runs, at least, and as a share of all workers.
constexpr std::int64_t minWave = 2;
constexpr double minWaveShare = 0.02;
constexpr std::size_t maxRecentLosses = 1'000; ///< the latest ones that are remembered

bool needsLongTrial(const loss_record &losses)
{
    return losses.counts.later >= laterLossesBeforeLongTrial;
}

/// Returns whether the worker has answered long enough after the start of the run there, or has shown it at work.
bool isSurvived(const worker_state &worker, const task_run &run, const loss_record &losses)
{
    const bool isLong = run.isTrial && needsLongTrial(losses);
    const bool isAtWork = !isLong && run.percent >= fullPercent;
    return run.phase == run_phase::running
        && (isAtWork || worker.lastSignAt >= run.runningSince + (isLong ? longTrialTime : trialTime));
}

std::string toString(worker_loss how)
{
    switch (how) {
    case worker_loss::restarted:
        return "restarted";
    case worker_loss::unlisted:
        return "unlisted";
    case worker_loss::silent:
        return "silent";
    }
    return "";
}

/// A task, or a gang as a whole, with runs on a lost worker.
struct lost_unit
{
    task_view view; ///< of the last of its tasks there
    task_ref ref;
    bool isSuspect = false;
    bool isTrial = false;
    bool isCounted = false; ///< one of its runs there was counted ahead
    bool isLong = false; ///< one of them had run for longer than any trial
};

/// The tasks and gangs with runs on the worker, those of ended jobs too, since they may be why it was lost.
std::vector<lost_unit> unitsOn(cell_state &state, const worker_state &worker, instant now)
{
    std::map<task_ref, lost_unit> units;
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        const auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr) {
            continue;
        }
        auto key = id.task;
        key.index = view->spec->isGang ? 0 : key.index;
        auto &unit = units.try_emplace(key, lost_unit {*view, id.task}).first->second;
        if (!isSurvived(worker, *run, lossesOf(*view))) {
            unit.isSuspect = true;
            unit.isTrial = unit.isTrial || (run->isTrial && run->phase == run_phase::running);
        }
        unit.isCounted = unit.isCounted || run->isCounted;
        unit.isLong = unit.isLong || run->runningSince + longTrialTime < now;
    }
    const auto values = std::views::values(units);
    return {values.begin(), values.end()};
}

/// Returns whether workers were lost under runs of the unit before, though they had survived this one.
bool hadLossBefore(const lost_unit &unit)
{
    return !unit.isSuspect && lossesOf(unit.view).counts != lost_workers {};
}

/// Returns whether a run there may be why the worker was lost, because it had just begun or for what is known of it.
bool isExplained(const std::vector<lost_unit> &units)
{
    return std::ranges::any_of(units, [](const lost_unit &unit) { return unit.isSuspect || hadLossBefore(unit); });
}

bool mayCoincide(const loss_time &left, const loss_time &right)
{
    return left.from <= right.until && right.from <= left.until;
}

/// Bounds of the time at which a worker that is lost, or doesn't answer, went down. What began there last did so
/// before.
loss_time lossTimeOf(const worker_state &worker, const std::vector<lost_unit> &units, instant now)
{
    const auto until = worker.refusedSince == instant {} ? now : worker.refusedSince;
    return {std::min(until, std::max(worker.lastSignAt, worker.lastStartAt)), until, isExplained(units)};
}

/// Returns whether other workers may have been lost at the same time: one under runs that it had survived, or several
/// under new ones, but no trials. Then the loss proves little of the runs on this worker.
bool isPartOfWave(cell_state &state, const worker_state &lost, const loss_time &time, instant now)
{
    std::int64_t unexplained = 0;
    std::int64_t explained = 0;
    const auto count = [&](const loss_time &other) {
        if (mayCoincide(time, other)) {
            ++(other.isExplained ? explained : unexplained);
        }
    };
    std::ranges::for_each(state.recentLosses, count);
    for (const auto &other : std::views::values(state.workers)) {
        if (&other != &lost && other.isUnresponsive && other.lastSignAt != instant {} && !isInTrial(other)) {
            count(lossTimeOf(other, unitsOn(state, other, now), now));
        }
    }
    const auto share = static_cast<std::int64_t>(minWaveShare * static_cast<double>(state.workers.size()));
    return unexplained > 0 || explained >= std::max(minWave, share);
}

void rememberLoss(cell_state &state, const loss_time &time)
{
    state.recentLosses.push_back(time);
    if (state.recentLosses.size() > maxRecentLosses) {
        state.recentLosses.pop_front();
    }
}

bool isToBlame(const lost_workers &counts)
{
    return (counts.alone > 0 && counts.soon + counts.later >= lossesBeforeBlame) || counts.soon >= maxSoonLosses;
}

/// Counts the loss of a worker. @p countsLater: also for runs that it had survived; @p isAlone: no other run may be
/// why.
void countLoss(const lost_unit &unit, bool countsLater, bool isAlone)
{
    auto &losses = lossesOf(unit.view);
    auto &counts = losses.counts;
    if (unit.isCounted && losses.isNextCounted) {
        losses.isNextCounted = false;
        --counts.soon;
    }
    if (unit.isSuspect) {
        ++counts.soon;
        counts.alone += isAlone ? 1 : 0;
    } else if (unit.isLong) {
        counts.later = 0;
    } else if (countsLater) {
        ++counts.later;
    }
}

/// Credits a trial that was dropped when its leases expired unseen, once the worker turns out to have restarted.
void recordFailedTrialSince(cell_state &state, const worker_state &worker, instant now, cell_actions &actions)
{
    if (!worker.trial || worker.reservations.contains(*worker.trial)) {
        return;
    }
    const auto view = findTask(state, worker.trial->task);
    if (!view || view->task->isDone) {
        return;
    }
    auto &counts = lossesOf(*view).counts;
    ++counts.alone;
    markUnsaved(state, *view->job);
    actions.emplace_back(report_suspect {worker.trial->task, worker.description.id, counts});
    if (isToBlame(counts)) {
        giveUpTask(state, worker.trial->task, *view, worker.description.id, now, actions);
    }
}

} // namespace

loss_record &lossesOf(const task_view &view)
{
    return view.spec->isGang ? view.step->gangLosses : view.task->losses;
}

bool isSuspect(const cell_state &state, bool isGang, const step_state &step, const task_state &task)
{
    const auto &losses = isGang ? step.gangLosses : task.losses;
    if (losses.counts.soon > (losses.isNextCounted ? 1 : 0) || needsLongTrial(losses)) {
        return true;
    }
    return std::ranges::any_of(task.runs, [&](const task_run &run) {
        const auto worker = state.workers.find(run.worker);
        return worker != state.workers.end() && worker->second.isUnresponsive
            && !isSurvived(worker->second, run, losses);
    });
}

bool ensureLossesStored(cell_state &state, const task_ref &ref, const task_view &view, instant now,
                        cell_actions &actions)
{
    auto &losses = lossesOf(view);
    const bool isSuspected = isSuspect(state, view.spec->isGang, *view.step, *view.task);
    if (!losses.isNextCounted && (isSuspected || losses.counts != lost_workers {})) {
        if (isSuspected && losses.counts.soon >= maxSoonLosses) {
            giveUpTask(state, ref, view, {}, now, actions);
            return false;
        }
        ++losses.counts.soon;
        losses.isNextCounted = true;
        markUnsaved(state, *view.job);
    }
    const auto &[counts, stored, isNextCounted] = losses;
    return counts.soon <= stored.soon && counts.alone <= stored.alone && counts.later <= stored.later;
}

void uncountRun(const task_view &view, task_run &run)
{
    auto &losses = lossesOf(view);
    if (!run.isCounted) {
        return;
    }
    losses.counts.soon -= losses.isNextCounted ? 1 : 0;
    losses.isNextCounted = false;
    run.isCounted = false;
    for (auto &member : view.step->tasks | std::views::filter([&](const task_state &) { return view.spec->isGang; })) {
        std::ranges::for_each(member.runs, [](task_run &other) { other.isCounted = false; });
    }
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
    return worker.trial && worker.reservations.contains(*worker.trial);
}

std::chrono::milliseconds timeToTrialEnd(const worker_state &worker, instant now)
{
    if (!isInTrial(worker)) {
        return 0ms;
    }
    return std::max(0ms, std::chrono::ceil<std::chrono::milliseconds>(worker.lastStartAt + trialTime - now));
}

void adoptTrial(worker_state &worker, const run_id &id, const task_view &view, task_run &run)
{
    auto &losses = lossesOf(view);
    if (losses.counts.soon == 0) {
        return;
    }
    losses.isNextCounted = true;
    run.isCounted = true;
    run.isTrial = true;
    worker.trial = id;
}

void endSurvivedTrial(cell_state &state, worker_state &worker)
{
    if (!isInTrial(worker)) {
        return;
    }
    const auto view = findTask(state, worker.trial->task);
    auto *run = view ? findRun(*view->task, worker.description.id, worker.trial->attempt) : nullptr;
    if (run == nullptr || !isSurvived(worker, *run, lossesOf(*view))) {
        return;
    }
    worker.trial.reset();
    view->step->hasPassedTrial = true;
    if (!view->spec->isGang) { // the workers of its other members may not have survived them yet
        auto &losses = view->task->losses;
        losses.counts = {0, 0, needsLongTrial(losses) ? 0 : losses.counts.later};
        losses.isNextCounted = false;
        run->isCounted = false;
    }
}

void recordWorkerLoss(cell_state &state, worker_state &worker, worker_loss how, instant now, cell_actions &actions)
{
    if (worker.description.isDraining || worker.description.boot <= worker.lostBoot) {
        return; // it was to leave, or its loss is counted and its next boot isn't known yet
    }
    if (how == worker_loss::restarted) { // otherwise it may come back in the same boot, and be lost again
        worker.lostBoot = worker.description.boot;
    }
    const bool isProven = how != worker_loss::silent;
    if (isProven) {
        recordFailedTrialSince(state, worker, now, actions);
    }
    const auto units = unitsOn(state, worker, now);
    const auto time = lossTimeOf(worker, units, now);
    const auto suspects = std::ranges::count_if(units, &lost_unit::isSuspect);
    const bool isTrial =
        suspects == 1 && std::ranges::any_of(units, &lost_unit::isTrial) && !std::ranges::any_of(units, hadLossBefore);
    const bool isWave = isPartOfWave(state, worker, time, now);
    if (isProven && worker.lastSignAt != instant {} && !isTrial) {
        rememberLoss(state, time);
    }
    actions.emplace_back(report_worker_loss {
        worker.description.id, toString(how),
        std::chrono::duration_cast<std::chrono::milliseconds>(now - std::max(time.from, state.takeOver.takenAt)),
        static_cast<std::size_t>(suspects), units.size() - static_cast<std::size_t>(suspects), isTrial, isWave});
    for (const auto &unit : units) {
        if (unit.view.task->isDone || isAborted(*unit.view.job)) {
            continue;
        }
        countLoss(unit, isProven && !isTrial && !isWave, isProven && isTrial && !isWave);
        markUnsaved(state, *unit.view.job);
        const auto &counts = lossesOf(unit.view).counts;
        if (!unit.isSuspect) {
            continue;
        }
        actions.emplace_back(report_suspect {unit.ref, worker.description.id, counts});
        if (isProven && isToBlame(counts)) {
            giveUpTask(state, unit.ref, unit.view, worker.description.id, now, actions);
        }
    }
}

} // namespace primrosecroft::detail
