#pragma once

#include "cell/cell.h"

/// Functions shared by the source files of the cell's core, which alone include this header.
namespace primrosecroft::detail
{

using cell_actions = std::vector<cell_action>;

inline constexpr double minClockRate = 0.98; ///< a worker's clock may run up to 2 % slow
inline constexpr std::size_t maxEndsPerList = 500; ///< a list with this many ends may be incomplete
inline constexpr int workersPerAdviceCall = 30; ///< assumed when the duration of an advice call is estimated

/// A task with the step, occurrence and job that contain it. The pointers refer to the cell's state; none is null.
struct task_view
{
    job_state *job = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    const step_spec *spec = nullptr;
    task_state *task = nullptr;
};

/// Returns std::nullopt if the job, occurrence, step or task is not known here.
std::optional<task_view> findTask(cell_state &state, const task_ref &ref);

/// Returns nullptr if the task has no such run.
task_run *findRun(task_state &task, const worker_id &worker, std::uint32_t attempt);

// --- jobs.cpp

/// Makes the state of a job that has arrived, without the occurrences of its schedule that are due.
job_state makeJob(const cell_state &state, const job_arrived &message, instant now);

/// Cores that are reserved for one task.
double coresOf(const step_spec &spec);

/// Estimated processor time of one task. 0 for a best-effort task, which takes what others leave.
double coreSecondsOf(const step_spec &spec);

/// Adds a job unless it is known already.
void addJob(cell_state &state, const job_arrived &message, instant now);

/// Takes over the workspaces of a configuration that has come into force. Their limits count in the jobs' objectives.
void updateWorkspaces(cell_state &state, const workspace_policies &workspaces);

/// Cancels a job and stops its runs. Does nothing if the job is unknown or over.
void cancelJob(cell_state &state, const job_id &id, instant now, cell_actions &actions);

/// Forgets the occurrences of a timed job that are complete and have no runs left, but for their numbers.
void forgetCompleteOccurrences(job_state &job);

/// Begins the occurrences that are due, also those whose time passed without an owner.
void beginDueOccurrences(cell_state &state, job_state &job, instant now);

/// Called for a run that a worker lists and that isn't known here. Begins its occurrence if that belongs to a live job:
/// an earlier owner has begun it and could not store that. Returns whether it did.
bool beginShownOccurrence(cell_state &state, const task_ref &ref, instant now);

/// Makes a task pending again after its last run, unless it is done or its job was cancelled or has failed.
void requeueTask(cell_state &state, const task_ref &ref, const task_view &view, instant now);

/// Fails the job of an at-most-once task whose run was lost: the task may have done its work and must not run again.
void failLostTask(cell_state &state, const task_view &view, instant now, cell_actions &actions);

/// Fails the job of a task that crashes the workers that start it, the last of them @p worker.
void giveUpTask(cell_state &state, const task_ref &ref, const task_view &view, const worker_id &worker, instant now,
                cell_actions &actions);

/// Returns whether the job was cancelled or has failed, so that its tasks don't start any more.
bool isAborted(const job_state &job);

/// Returns whether an attempt of the step may have this number. If not, schedules a commit that reserves it, so that a
/// later owner's numbers are higher.
bool ensureAttemptReserved(cell_state &state, job_state &job, step_state &step, std::uint32_t attempt);

/// Records the success of a task and makes the steps ready that waited for it.
void completeTask(cell_state &state, const task_ref &ref, const task_view &view, instant now, cell_actions &actions);

/// Records a failed attempt. Fails the job once the failed attempts of one task or gang reach the queue's limit, and at
/// the first one of an at-most-once task.
void recordTaskFailure(cell_state &state, const run_id &run, const task_view &view, instant now, cell_actions &actions);

/// Schedules the job's rows for the next commit. Does nothing once the job's end is stored.
void markUnsaved(cell_state &state, job_state &job);

/// Removes jobs whose end is stored and whose runs are all over.
void removeEndedJobs(cell_state &state);

// --- workers.cpp

/// Updates a worker from its entry in the platform's list, and adds it if it is new.
void updateWorker(cell_state &state, const worker_description &description, instant now, cell_actions &actions);

/// Marks a worker that the platform no longer lists. It is removed once all leases on it have expired.
void unlistWorker(cell_state &state, const worker_id &id, cell_actions &actions);

/// Handles a restart of the worker: the runs of its previous boot are gone.
void handleBootChange(cell_state &state, worker_state &worker, worker_boot boot, instant now, cell_actions &actions);

/// Called after the answer to a list request of @p sentAt has told the present boot, or that another worker answers at
/// the known address. An entry that was in doubt is taken over if it is of that boot, and is of an earlier one if it
/// came before the request.
void settleDoubtedEntry(cell_state &state, worker_state &worker, instant sentAt, instant now, cell_actions &actions);

/// Returns whether the platform lists the worker, if only in a boot that is in doubt.
bool isInPlatformsList(const worker_state &worker);

/// Returns whether the worker may take new tasks now.
bool mayStartOn(const cell_state &state, const worker_state &worker, instant now);

/// The worker's last label. Returns an empty string if it has no label.
const std::string &rackOf(const worker_description &worker);

// --- leases.cpp

/// The latest deadline that an order to the worker may carry: maxLease after the last confirmation of the ownership,
/// not after the sending of the order. So all leases have expired when a later owner stops waiting for them. Returns
/// std::nullopt while the worker's clock is unknown or the ownership was never confirmed.
std::optional<worker_time> leaseDeadline(const cell_state &state, const worker_state &worker);

/// When the leases have surely expired that the orders so far have extended in a boot other than the one that they
/// were meant for. Their deadlines say nothing there, as its clock is another one, but no lease is longer than
/// maxLease. Returns the zero time if there was no such order.
instant strayLeaseEnd(const cell_state &state, const worker_state &worker);

/// Records the deadline of an order when it is sent, since the order may take effect even without an answer.
void recordDeadline(worker_state &worker, worker_time deadline, instant now);

void handleListAnswer(cell_state &state, const list_answered &message, instant now, cell_actions &actions);

/// Polls the workers whose list is due, and thereby extends their leases.
void requestLists(cell_state &state, instant now, cell_actions &actions);

/// Drops the runs of workers whose leases have all expired, and removes workers that the platform no longer lists. No
/// worker is unreconciled any more once the leases of earlier owners have expired.
void expireLeases(cell_state &state, instant now, cell_actions &actions);

// --- runs.cpp

/// Reserves capacity for a run whose start is about to be sent, or that was found on the worker.
void reserve(cell_state &state, worker_state &worker, const run_id &run, const task_view &view);

resources freeCapacity(const worker_state &worker);

void handleStartAnswer(cell_state &state, const start_answered &message, instant now, cell_actions &actions);
void handleStopAnswer(cell_state &state, const stop_answered &message, instant now);

/// Handles what a list says of runs: those that run, those that have ended and those that it does not name.
void handleListedRuns(cell_state &state, worker_state &worker, const list_answered &message, instant now,
                      cell_actions &actions);

/// Sends a stop if the run is to stop and none is pending or confirmed. A stop that failed is retried after a pause.
void sendStopIfDue(cell_state &state, const task_ref &ref, task_run &run, instant now, cell_actions &actions);

/// Stops every run of the task except the one with attempt number @p except; 0 stops all of them.
void stopRuns(cell_state &state, const task_ref &ref, task_state &task, instant now, cell_actions &actions,
              std::uint32_t except = 0);

/// Records on the worker that a run may have begun there at time @p now.
void noteStart(worker_state &worker, instant now);

inline constexpr worker_boot otherWorkersBoot = 0; ///< another worker answers at the address, until a list tells more

/// Called when a worker has restarted, before the runs of its earlier boots are dropped. Orders name the worker and not
/// its boot, so a run that no list has shown may have begun in this boot, or begin there yet: it is kept until a list
/// of this boot tells. An address at which another worker answers runs nothing of this one.
void markRunsOfNextBoot(cell_state &state, worker_state &worker, worker_boot boot);

/// Returns whether runs were started on the worker that no list has shown yet. A later boot may have taken them.
bool hasUnshownRuns(cell_state &state, const worker_state &worker);

enum class dropped_runs
{
    all,
    ofEarlierBoots, ///< without those that the present boot may run
};

/// Drops runs of a worker that are over, although the worker has not listed their ends.
void dropRuns(cell_state &state, worker_state &worker, dropped_runs which, instant now, cell_actions &actions,
              const char *reason);

// --- health.cpp

/// Keeps new tasks off the worker for the duration of @p pause and forgets its failures and stalls so far. Returns
/// false and changes nothing if it is quarantined already or too many workers are.
bool quarantine(const cell_state &state, worker_state &worker, std::chrono::milliseconds pause, instant now);

/// Records that a task of the job failed on the worker, and quarantines the worker after failures of several jobs.
void recordFailureOn(cell_state &state, worker_state &worker, const job_id &job, instant now, cell_actions &actions);

/// Records that a run of the task succeeded on the worker, and how fast it was there.
void recordSuccessOn(cell_state &state, worker_state &worker, const task_view &view, const task_run &run, instant now);

// --- run_times.cpp

/// Renews the forecast of each step of the job, and with them its critical paths and its objective.
void renewForecasts(const cell_state &state, job_state &job);

/// Times of a job if its tasks are among the longest of their kind.
struct longest_times
{
    std::chrono::milliseconds objective {0};
    std::chrono::milliseconds criticalPath {0};
};

/// Times by which a job may be turned away. Callers judge lateness by how long the tasks really take, so a job with
/// long ones has more time than its objective tells, which is the usual one.
longest_times longestTimes(const cell_state &state, const job_state &job);

/// Renews the forecasts of all jobs of which a step waits, once in a while.
void renewForecastsIfDue(cell_state &state, instant now);

/// Learns from a run that is over how long tasks of its kind take.
void learnFrom(cell_state &state, const worker_state &worker, const task_view &view, const task_run &run, run_end how,
               instant now);

/// Time that a run will still take: by its progress once it has made some, otherwise by the forecast of its step.
std::chrono::milliseconds remainingTime(const step_state &step, const task_run &run, instant now);

/// Time in which a run that works gets from one percent to the next.
std::chrono::milliseconds timePerPercent(const step_state &step, const task_run &run);

// --- placing.cpp

/// Starts pending tasks on workers and requests advice for those whose queue needs it.
void placeTasks(cell_state &state, instant now, cell_actions &actions);

// --- advice_requests.cpp

void handleAdviceAnswer(cell_state &state, const advice_answered &message, instant now);

// --- recording.cpp

/// Commits unsaved changes, one commit at a time.
void commitChanges(cell_state &state, instant now, cell_actions &actions);
void handleCommitAnswer(cell_state &state, const commit_answered &message, instant now, cell_actions &actions);

// --- supervision.cpp

/// Returns whether the service may miss the task for now. Tasks that are away for other reasons count against its
/// limit, and so does any that a new owner has not seen at work yet.
bool mayMiss(const cell_state &state, const task_view &view, instant now);

/// Requests copies of late runs, and stops stalled runs, runs that have to move off draining workers, and gangs that
/// lack members.
void superviseRuns(cell_state &state, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
