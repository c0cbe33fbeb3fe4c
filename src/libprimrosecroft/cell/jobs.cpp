#include "cell/detail/cell_parts.h"
#include "cell/detail/trials.h"
#include "cell/detail/unsettled_losses.h"
#include "cell/detail/workspace_limits.h"

#include <algorithm>
#include <ranges>

/// The state of jobs from their arrival to their end: which tasks are pending, which have ended, and what follows.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t attemptsPerTerm = 1'000; ///< numbers that an owner may use without storing that it does
constexpr std::uint32_t maxTermAttempt = 1U
    << 31U; ///< later terms have none of these; the other half is for stored ones
constexpr std::size_t maxOpenOccurrences = 64; ///< occurrences of one job that are open at the same time

/// The highest attempt number that owners of earlier terms may use without storing it.
std::uint32_t attemptsBefore(std::int64_t term)
{
    return static_cast<std::uint32_t>(std::min<std::int64_t>(term, maxTermAttempt / attemptsPerTerm)) * attemptsPerTerm;
}

void markReady(step_state &step, instant now)
{
    step.isReady = true;
    step.readyAt = now;
    for (auto &task : step.tasks) {
        task.pendingSince = now;
        task.awaySince = now;
    }
}

bool isDone(const step_state &step)
{
    return step.doneCount == static_cast<std::int32_t>(step.tasks.size());
}

void markReadySteps(const job_spec &spec, occurrence_state &occurrence, instant now)
{
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto &step = occurrence.steps[index];
        if (!step.isReady && std::ranges::all_of(spec.steps[index].after, [&](std::int32_t predecessor) {
                return isDone(occurrence.steps[static_cast<std::size_t>(predecessor)]);
            })) {
            markReady(step, now);
        }
    }
}

/// Sets what is stored of a task of the step.
void restoreTask(task_state &task, std::int32_t index, const step_progress &stored)
{
    task.isDone = static_cast<std::size_t>(index) < stored.done.size() && stored.done[static_cast<std::size_t>(index)];
    const auto found = stored.tasks.find(index);
    const auto own = found == stored.tasks.end() ? task_progress {} : found->second;
    task.failedAttempts = own.failedAttempts;
    task.checkpoint = own.checkpoint;
    task.mayHaveBegun = own.mayHaveBegun;
    task.wasBegunBefore = own.mayHaveBegun;
    task.losses = restoredLosses(suspectedByGang(own.lost, stored.gangLost), own.unsettled);
}

/// Makes an occurrence from its stored progress. @p progress is nullptr if none is stored.
occurrence_state makeOccurrence(const cell_state &state, const accepted_job &job, const occurrence_progress *progress,
                                instant now)
{
    const auto &spec = job.spec;
    occurrence_state occurrence;
    const auto term = state.takeOver.term;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto &step = occurrence.steps.emplace_back();
        step.tasks.resize(static_cast<std::size_t>(spec.steps[index].count));
        const step_progress *stored = nullptr;
        if (progress != nullptr) {
            const auto found = progress->steps.find(static_cast<std::int32_t>(index));
            stored = found == progress->steps.end() ? nullptr : &found->second;
        }
        if (stored != nullptr) {
            step.failedGangs = stored->failedGangs;
            step.reservedAttempts = stored->attemptLimit;
        }
        const auto base = std::max(attemptsBefore(term), step.reservedAttempts);
        step.attemptLimit = std::max(attemptsBefore(term + 1), base);
        step.gangAttempt = base;
        for (std::size_t number = 0; number < step.tasks.size(); ++number) {
            auto &task = step.tasks[number];
            task.lastAttempt = base;
            if (stored != nullptr) {
                restoreTask(task, static_cast<std::int32_t>(number), *stored);
            }
            if (task.isDone) {
                ++step.doneCount;
            } else {
                step.pendingTasks.push_back(static_cast<std::int32_t>(number));
            }
        }
    }
    markReadySteps(spec, occurrence, now);
    return occurrence;
}

/// Counts the time that tasks are away from the job's acceptance. For a job of an earlier owner: a task that no worker
/// turns out to run may have lost its last run at any time since then, and must not wait anew under each owner.
void countAwayFromAcceptance(job_state &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            for (auto &task : step.tasks) {
                task.awaySince = std::min(task.awaySince, job.arrivedAt);
            }
        }
    }
}

/// Returns whether the stored progress shows that a task has started. Counts of lost workers don't, since a suspect's
/// start is counted before it is sent.
bool tellsOfStart(const job_progress &progress)
{
    const auto isOfStart = [](const task_progress &task) {
        return !task.failedAttempts.empty() || !task.checkpoint.empty() || task.mayHaveBegun;
    };
    const auto hasStart = [&](const step_progress &step) {
        return !step.done.empty() || !step.failedGangs.empty() || step.attemptLimit != 0
            || std::ranges::any_of(std::views::values(step.tasks), isOfStart);
    };
    return !progress.complete.lastByFirst.empty()
        || std::ranges::any_of(std::views::values(progress.open), [&](const occurrence_progress &occurrence) {
               return std::ranges::any_of(std::views::values(occurrence.steps), hasStart);
           });
}

bool isBegun(const job_state &job, std::int32_t number)
{
    return job.occurrences.contains(number) || contains(job.completeOccurrences, number);
}

/// Occurrences may have begun out of order, since an earlier owner may have begun more than it could store.
void skipBegunOccurrences(job_state &job)
{
    const auto count = std::max(job.accepted.spec.occurrences, 1);
    while (job.nextOccurrence < count && isBegun(job, job.nextOccurrence)) {
        job.nextOccurrence = job.occurrences.contains(job.nextOccurrence)
            ? job.nextOccurrence + 1
            : firstMissing(job.completeOccurrences, job.nextOccurrence);
    }
}

void openOccurrence(cell_state &state, job_state &job, std::int32_t number, instant now)
{
    job.occurrences[number] = makeOccurrence(state, job.accepted, nullptr, now);
    countUnseen(state, job, number);
    ++job.openOccurrences;
}

bool hasRuns(const occurrence_state &occurrence)
{
    return std::ranges::any_of(occurrence.steps, [](const step_state &step) {
        return std::ranges::any_of(step.tasks, [](const task_state &task) { return !task.runs.empty(); });
    });
}

bool hasCompleted(const job_state &job)
{
    const auto occurrenceCount = std::max(job.accepted.spec.occurrences, 1);
    return job.openOccurrences == 0 && job.nextOccurrence >= occurrenceCount;
}

void stopAllRuns(cell_state &state, job_state &job, instant now, cell_actions &actions)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                stopRuns(state,
                         {job.accepted.id, number, static_cast<std::int32_t>(step), static_cast<std::int32_t>(index)},
                         tasks[index], now, actions);
            }
        }
    }
}

/// Records the work that the job brings, for the rate at which work of its priority arrives.
void recordAcceptedJob(cell_state &state, const job_state &job, instant now)
{
    double coreSeconds = 0;
    for (const auto &spec : job.accepted.spec.steps) {
        coreSeconds += spec.isService ? 0 : coreSecondsOf(spec) * static_cast<double>(spec.count);
    }
    if (job.accepted.spec.occurrences == 0) {
        recordAcceptedWork(state.rates[job.accepted.queue.pool], job.accepted.queue.priority, coreSeconds, now);
    }
}

void failJob(cell_state &state, job_state &job, job_failure failure, instant now, cell_actions &actions)
{
    job.hasFailed = true;
    job.failure = failure;
    markUnsaved(state, job);
    stopAllRuns(state, job, now, actions);
}

} // namespace

double coresOf(const step_spec &spec)
{
    constexpr double milliCoresPerCore = 1'000;
    return spec.isBestEffort ? 0 : static_cast<double>(spec.size.milliCores) / milliCoresPerCore;
}

double coreSecondsOf(const step_spec &spec)
{
    return coresOf(spec) * std::chrono::duration<double>(spec.estimate).count();
}

bool isAborted(const job_state &job)
{
    return job.isCancelled || job.hasFailed;
}

void markUnsaved(cell_state &state, job_state &job)
{
    if (job.isEndStored) {
        return; // the job's rows are final
    }
    job.hasUnsavedChanges = true;
    state.unsavedJobs.insert(job.accepted.id);
}

void forgetCompleteOccurrences(job_state &job)
{
    std::erase_if(job.occurrences, [](const auto &each) { return each.second.isComplete && !hasRuns(each.second); });
}

void removeEndedJobs(cell_state &state)
{
    std::erase_if(state.jobsToRemove, [&](const job_id &id) {
        const auto found = state.jobs.find(id);
        if (found != state.jobs.end() && std::ranges::any_of(std::views::values(found->second.occurrences), hasRuns)) {
            return false;
        }
        if (found != state.jobs.end()) {
            state.jobs.erase(found);
        }
        return true;
    });
}

void addJob(cell_state &state, const job_arrived &message, instant now)
{
    const auto &id = message.job.id;
    if (state.finishedJobs.contains(id)) {
        return;
    }
    if (const auto known = state.jobs.find(id); known != state.jobs.end()) {
        return;
    }
    auto &job = state.jobs[id] = makeJob(state, message, now);
    if (!job.isBeyondRate) {
        countWithinRate(state, job.accepted);
    }
    for (const auto &number : std::views::keys(job.occurrences)) {
        countUnseen(state, job, number);
    }
    awaitUnsettledLosses(state, job, now);
    if (job.accepted.spec.occurrences > 0) {
        countUnseenOthers(state, job);
        beginDueOccurrences(state, job, now);
    }
    if (job.isCancelled) {
        markUnsaved(state, job);
    }
    const bool isOfEarlierOwner = job.version != 0 && job.version < state.takeOver.token;
    if (isOfEarlierOwner && job.accepted.spec.occurrences == 0) {
        countAwayFromAcceptance(job);
    }
    if (!isOfEarlierOwner) {
        recordAcceptedJob(state, job, now);
    }
}

job_state makeJob(const cell_state &state, const job_arrived &message, instant now)
{
    job_state job;
    job.accepted = message.job;
    job.version = message.version;
    const auto age = state.storeTime.count() > 0 && message.job.acceptedAt.count() > 0
        ? std::max(0ms, state.storeTime - message.job.acceptedAt)
        : 0ms;
    job.arrivedAt = now - age;
    job.isBeyondRate = isBeyondRate(state, message.job);
    job.isCancelled = message.isCancelled;
    job.progressRows = std::max(message.progressRows, isEmpty(message.progress) ? 0 : 1);
    job.hasStarted = tellsOfStart(message.progress);
    job.completeOccurrences = message.progress.complete;
    for (const auto &[number, progress] : message.progress.open) {
        job.occurrences[number] = makeOccurrence(state, job.accepted, &progress, now);
        ++job.openOccurrences;
    }
    if (job.accepted.spec.occurrences == 0 && job.occurrences.empty()) {
        job.occurrences[0] = makeOccurrence(state, job.accepted, nullptr, now);
        job.openOccurrences = 1;
    }
    skipBegunOccurrences(job);
    renewForecasts(state, job);
    return job;
}

void beginDueOccurrences(cell_state &state, job_state &job, instant now)
{
    const auto &spec = job.accepted.spec;
    bool hasBegun = false;
    skipBegunOccurrences(job);
    while (!isAborted(job) && job.nextOccurrence < spec.occurrences
           && static_cast<std::size_t>(job.openOccurrences) < maxOpenOccurrences
           && state.timeOfDay >= spec.firstDue + job.nextOccurrence * spec.interval) {
        openOccurrence(state, job, job.nextOccurrence, now);
        skipBegunOccurrences(job);
        hasBegun = true;
    }
    if (hasBegun) {
        renewForecasts(state, job);
    }
}

bool beginShownOccurrence(cell_state &state, const task_ref &ref, instant now)
{
    const auto found = state.jobs.find(ref.job);
    if (found == state.jobs.end() || isAborted(found->second) || found->second.isEndStored) {
        return false;
    }
    auto &job = found->second;
    if (ref.occurrence < 0 || ref.occurrence >= job.accepted.spec.occurrences || isBegun(job, ref.occurrence)) {
        return false;
    }
    openOccurrence(state, job, ref.occurrence, now);
    skipBegunOccurrences(job);
    renewForecasts(state, job);
    markUnsaved(state, job);
    return true;
}

void updateWorkspaces(cell_state &state, const workspace_policies &workspaces)
{
    state.areWorkspacesKnown = true;
    if (workspaces == state.workspaces) {
        return;
    }
    state.workspaces = workspaces;
    for (auto &job : std::views::values(state.jobs)) {
        if (job.accepted.workspace.empty()) {
            continue;
        }
        renewForecasts(state, job);
    }
}

void cancelJob(cell_state &state, const job_id &id, instant now, cell_actions &actions)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || isAborted(found->second) || hasCompleted(found->second)) {
        return;
    }
    found->second.isCancelled = true;
    markUnsaved(state, found->second);
    stopAllRuns(state, found->second, now, actions);
}

void requeueTask(cell_state & /*state*/, const task_ref &ref, const task_view &view, instant now)
{
    if (!view.task->isDone && view.task->runs.empty() && !isAborted(*view.job)
        && std::ranges::find(view.step->pendingTasks, ref.index) == view.step->pendingTasks.end()) {
        view.task->pendingSince = now;
        view.task->awaySince = now;
        view.step->pendingTasks.push_back(ref.index);
    }
}

void failLostTask(cell_state &state, const task_view &view, instant now, cell_actions &actions)
{
    if (!view.task->isDone && !isAborted(*view.job)) {
        view.job->isOutcomeUnknown = true;
        failJob(state, *view.job, job_failure::lostRun, now, actions);
    }
}

void giveUpTask(cell_state &state, const task_ref &ref, const task_view &view, const worker_id &worker, instant now,
                cell_actions &actions)
{
    if (view.task->isDone || isAborted(*view.job)) {
        return;
    }
    actions.emplace_back(report_given_up {ref, view.job->accepted.queue.name, worker, view.task->losses.counts});
    failJob(state, *view.job, job_failure::crashes, now, actions);
}

bool ensureAttemptReserved(cell_state &state, job_state &job, step_state &step, std::uint32_t attempt)
{
    if (attempt <= step.attemptLimit) {
        return true;
    }
    if (step.reservedAttempts < attempt) {
        step.reservedAttempts = attempt + attemptsPerTerm;
        markUnsaved(state, job);
    }
    return false;
}

void completeTask(cell_state &state, const task_ref &ref, const task_view &view, instant now, cell_actions &actions)
{
    if (view.task->isDone || isAborted(*view.job)) {
        return;
    }
    const auto markDone = [&](task_state &task, std::int32_t index) {
        if (!task.isDone) {
            task.isDone = true;
            task.checkpoint.clear();
            ++view.step->doneCount;
            recordEndedWork(state.rates[view.job->accepted.queue.pool], view.job->accepted.queue.priority,
                            coresOf(*view.spec), coreSecondsOf(*view.spec), now);
            std::erase(view.step->pendingTasks, index);
        }
    };
    if (view.spec->isGang) {
        // The end of one member counts for the whole gang; the workers of the others list theirs later.
        for (std::size_t index = 0; index < view.step->tasks.size(); ++index) {
            markDone(view.step->tasks[index], static_cast<std::int32_t>(index));
        }
    } else {
        markDone(*view.task, ref.index);
        stopRuns(state, ref, *view.task, now, actions);
    }
    markUnsaved(state, *view.job);
    if (!isDone(*view.step)) {
        return;
    }
    view.step->advice = {};
    if (std::ranges::all_of(view.occurrence->steps, isDone)) {
        view.occurrence->isComplete = true;
        insert(view.job->completeOccurrences, ref.occurrence, ref.occurrence);
        --view.job->openOccurrences;
        if (!hasCompleted(*view.job)) {
            beginDueOccurrences(state, *view.job, now);
        }
        return;
    }
    markReadySteps(view.job->accepted.spec, *view.occurrence, now);
}

void recordTaskFailure(cell_state &state, const run_id &run, const task_view &view, instant now, cell_actions &actions)
{
    auto &failed = view.spec->isGang ? view.step->failedGangs : view.task->failedAttempts;
    if (view.task->isDone || isAborted(*view.job) || !failed.insert(run.attempt).second) {
        return;
    }
    markUnsaved(state, *view.job);
    const auto maxFailures = view.spec->isAtMostOnce ? 1 : view.job->accepted.queue.maxFailures;
    if (static_cast<std::int32_t>(failed.size()) >= maxFailures) {
        failJob(state, *view.job, job_failure::attempts, now, actions);
    }
}

} // namespace primrosecroft::detail
