#include "cell/detail/cell_parts.h"
#include "leadership/owned_commit.h"

#include <algorithm>
#include <ranges>
#include <utility>

/// Commits of job states and contacted workers to the store, and what may happen once they are stored.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto commitPause = 20ms; ///< changes within this time go into one transaction
constexpr auto commitRetryDelay = 150ms; ///< pause after a commit that failed
constexpr std::size_t maxFinishedJobs = 20'000; ///< kept in memory; older ones are read from the store

/// What a progress row holds.
enum class progress_detail
{
    full,
    withoutCheckpoints,
};

job_progress progressOf(const job_state &job, progress_detail detail)
{
    job_progress result;
    result.complete = job.completeOccurrences;
    for (const auto &[number, occurrence] : job.occurrences) {
        if (occurrence.isComplete) {
            continue;
        }
        auto &stored = result.open[number];
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &step = occurrence.steps[index];
            step_progress progress;
            progress.failedGangs = step.failedGangs;
            progress.attemptLimit = step.reservedAttempts;
            for (std::size_t taskIndex = 0; taskIndex < step.tasks.size(); ++taskIndex) {
                const auto &task = step.tasks[taskIndex];
                task_progress own {task.failedAttempts, task.checkpoint, task.mayHaveBegun, task.losses.counts,
                                   task.losses.unsettled};
                if (detail == progress_detail::withoutCheckpoints) {
                    own.checkpoint.clear();
                    own.unsettled.clear();
                }
                if (own != task_progress {}) {
                    progress.tasks[static_cast<std::int32_t>(taskIndex)] = std::move(own);
                }
            }
            if (step.doneCount > 0) {
                std::ranges::transform(step.tasks, std::back_inserter(progress.done), &task_state::isDone);
            }
            if (progress != step_progress {}) {
                stored.steps[static_cast<std::int32_t>(index)] = std::move(progress);
            }
        }
    }
    return result;
}

/// Status with which the job ended. Returns std::nullopt while it goes on.
std::optional<job_status> endStatusOf(const job_state &job)
{
    if (job.isCancelled) {
        return job_status::cancelled;
    }
    if (job.hasFailed) {
        return job_status::failed;
    }
    const auto occurrenceCount = std::max(job.accepted.spec.occurrences, 1);
    if (job.openOccurrences == 0 && job.nextOccurrence >= occurrenceCount) {
        return job_status::complete;
    }
    return std::nullopt;
}

/// Returns the transaction that stores the present state of the job.
store_transaction rowsOf(const cell_state &state, const job_state &job, progress_detail detail)
{
    const auto &id = job.accepted.id;
    const auto end = endStatusOf(job);
    store_transaction rows;
    if (!end) {
        rows.writes = progressRows(id, encodeProgress(progressOf(job, detail)), state.settings.maxRowBytes);
    } else {
        rows.removals.push_back(jobPlace(id));
    }
    for (auto part = static_cast<std::int32_t>(std::ssize(rows.writes)); part < job.progressRows; ++part) {
        rows.removals.push_back(progressPlace(id, part));
    }
    if (!end) {
        return rows;
    }
    rows.removals.push_back(cancelPlace(id)); // a late cancellation may be stored but not known here
    rows.writes.push_back({endedPlace(id), encodeEnded({*end, state.storeTime, job.isOutcomeUnknown})});
    return rows;
}

/// Adds the rows of unsaved jobs, as many as fit. A job whose rows would never fit is left out, so that it doesn't hold
/// up the others.
void writeJobs(limited_transaction &transaction, cell_state &state, cell_actions &actions)
{
    state.committingJobs.clear();
    std::vector<job_id> order(state.unsavedJobs.begin(), state.unsavedJobs.end());
    std::ranges::rotate(order, std::ranges::upper_bound(order, state.lastJobWritten));
    for (const auto &id : order) {
        auto &job = state.jobs.at(id);
        auto rows = rowsOf(state, job, progress_detail::full);
        const bool isTooLarge = !transaction.fitsAlone(rows);
        if (isTooLarge && !job.isTooLarge) {
            actions.emplace_back(report_job_size {id, sizeOf(rows).bytes});
        }
        job.isTooLarge = job.isTooLarge || isTooLarge;
        if (isTooLarge) {
            rows = rowsOf(state, job, progress_detail::withoutCheckpoints);
        }
        if (!transaction.fitsAlone(rows)) {
            continue;
        }
        if (!transaction.add(rows)) {
            return;
        }
        job.hasUnsavedChanges = false;
        job.writtenProgressRows = endStatusOf(job) ? 0 : static_cast<std::int32_t>(std::ssize(rows.writes));
        job.progressRows = std::max(job.progressRows, job.writtenProgressRows);
        state.committingJobs.insert(id);
        state.lastJobWritten = id;
    }
}

/// Sets which ends will be stored once the commit of committingJobs is done: those before each worker's first end that
/// only a later commit stores.
void coverEnds(cell_state &state)
{
    state.committingEnds.clear();
    for (const auto &[id, worker] : state.workers) {
        if (worker.processedEnd > worker.acknowledgedEnd) {
            state.committingEnds[id] = {worker.description.boot, worker.processedEnd};
        }
    }
    for (const auto &id : state.unsavedJobs) {
        if (state.committingJobs.contains(id)) {
            continue;
        }
        for (const auto &[worker, first] : state.jobs.at(id).unsavedEnds) {
            const auto covered = state.committingEnds.find(worker);
            if (covered != state.committingEnds.end() && covered->second.boot == first.boot) {
                covered->second.number = std::min(covered->second.number, first.number - 1);
            }
        }
    }
}

/// Forgets the ends of a job whose rows have been stored. Ends that came after the commit was made stay.
void forgetStoredEnds(const cell_state &state, job_state &job)
{
    if (!job.hasUnsavedChanges) {
        job.unsavedEnds.clear();
        return;
    }
    for (auto &[worker, first] : job.unsavedEnds) {
        const auto covered = state.committingEnds.find(worker);
        if (covered != state.committingEnds.end() && covered->second.boot == first.boot) {
            first.number = std::max(first.number, covered->second.number + 1);
        }
    }
}

/// Allows workers to forget the ends that are stored now. Skips workers that have restarted since the commit
/// was made, because they number their ends from 1 again.
void acknowledgeEnds(cell_state &state)
{
    for (const auto &[id, covered] : state.committingEnds) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end() && worker->second.description.boot == covered.boot) {
            worker->second.acknowledgedEnd = std::max(worker->second.acknowledgedEnd, covered.number);
        }
    }
}

/// Allows the job's at-most-once tasks to start, all its tasks to use the reserved attempt numbers, and those to start
/// again under which workers were lost, since a later owner will find all this in the store.
void markStartsStored(job_state &job)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (auto &step : occurrence.steps) {
            step.attemptLimit = std::max(step.attemptLimit, step.reservedAttempts);
            for (auto &task : step.tasks) {
                task.isStartStored = task.mayHaveBegun;
                task.losses.stored = task.losses.counts;
            }
        }
    }
}

/// Returns whether the worker is draining and has no runs left. It can then leave the row of contacted workers, so
/// that the next owner does not wait for its list before it starts older jobs.
bool isDrained(const worker_state &worker)
{
    return worker.description.isDraining && worker.isReconciled && worker.reservations.empty()
        && worker.unknownRuns.empty();
}

void writeContactedWorkers(limited_transaction &transaction, cell_state &state, std::uint64_t number)
{
    if (state.contactedWorkersCommit != 0 || state.areContactedWorkersUnknown) {
        return;
    }
    auto wanted = state.unreconciledWorkers;
    for (const auto &[id, worker] : state.workers) {
        if (!isDrained(worker)) {
            wanted.insert(id);
        }
    }
    if (wanted == state.contactedWorkers) {
        return;
    }
    if (!transaction.add({{}, {{contactedWorkersPlace(), encodeContactedWorkers(wanted)}}, {}})) {
        return;
    }
    // A worker that leaves the row takes no tasks from now on, because the next owner won't reconcile with it.
    std::erase_if(state.contactedWorkers, [&wanted](const worker_id &id) { return !wanted.contains(id); });
    state.contactedWorkersCommit = number;
    state.contactedWorkersSent = std::move(wanted);
}

} // namespace

void commitChanges(cell_state &state, instant now, cell_actions &actions)
{
    if (state.isCommitPending || now < state.nextCommitAt) {
        return;
    }
    const auto number = state.lastCommit + 1;
    // Each commit requires and rewrites this row, so that one that arrives late cannot undo a newer one.
    const row_condition sequenceCondition {commitSequencePlace(), state.commitSequence};
    const row_write sequenceWrite {commitSequencePlace(), "1"};
    limited_transaction transaction(ownershipSize() + sizeOf({{sequenceCondition}, {sequenceWrite}, {}}));
    writeContactedWorkers(transaction, state, number);
    writeJobs(transaction, state, actions);
    coverEnds(state);
    if (state.committingJobs.empty() && state.contactedWorkersCommit != number) {
        acknowledgeEnds(state);
        state.nextCommitAt = state.unsavedJobs.empty() ? state.nextCommitAt : now + commitRetryDelay;
        return;
    }
    state.lastCommit = number;
    state.isCommitPending = true;
    auto rows = transaction.entries();
    rows.conditions.push_back(sequenceCondition);
    rows.writes.push_back(sequenceWrite);
    actions.emplace_back(commit_rows {number, std::move(rows)});
}

void handleCommitAnswer(cell_state &state, const commit_answered &message, instant now, cell_actions &actions)
{
    if (!state.isCommitPending || message.number != state.lastCommit) {
        return;
    }
    state.isCommitPending = false;
    const bool isStored = message.outcome == store_outcome::done;
    if (isStored || message.outcome == store_outcome::conflict) {
        state.commitSequence = message.commitSequence;
    }
    state.nextCommitAt = now + (isStored ? commitPause : commitRetryDelay);
    if (std::exchange(state.contactedWorkersCommit, 0) != 0 && isStored) {
        state.contactedWorkers = std::exchange(state.contactedWorkersSent, {});
    }
    for (const auto &id : state.committingJobs) {
        auto &job = state.jobs.at(id);
        if (!isStored) {
            job.hasUnsavedChanges = true; // writing the same rows again is harmless if the commit took effect
            continue;
        }
        job.progressRows = job.writtenProgressRows;
        forgetStoredEnds(state, job);
        if (!job.hasUnsavedChanges) {
            state.unsavedJobs.erase(id);
            markStartsStored(job);
        }
        if (const auto end = endStatusOf(job); end && !job.hasUnsavedChanges) {
            actions.emplace_back(report_job_end {
                id, job.accepted.queue.name, *end, job.failure,
                std::chrono::duration_cast<std::chrono::milliseconds>(now - job.arrivedAt), job.objective});
            state.finishedJobs[id] = *end;
            state.finishedJobsOrder.push_back(id);
            job.isEndStored = true;
            state.jobsToRemove.insert(id);
        }
    }
    while (state.finishedJobsOrder.size() > maxFinishedJobs) {
        state.finishedJobs.erase(state.finishedJobsOrder.front());
        state.finishedJobsOrder.pop_front();
    }
    if (isStored) {
        acknowledgeEnds(state);
    }
}

} // namespace primrosecroft::detail
