#pragma once

#include "cell/cell.h"

/// Shared by the parts of the cell's core; nobody else includes this.
namespace primrosecroft::detail
{

using cell_actions = std::vector<cell_action>;

inline constexpr double minClockRate = 0.98; ///< a worker's clock may lose 2 %

/// A task with all that it belongs to. Pointers are into the state and none is null.
struct task_view
{
    job_state *job = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    const step_spec *spec = nullptr;
    task_state *task = nullptr;
};

std::optional<task_view> findTask(cell_state &state, const task_ref &ref);
task_run *findRun(task_state &task, const worker_id &worker, std::uint32_t attempt);

// --- jobs.cpp

void addJob(cell_state &state, const job_arrived &message, instant now);
void cancelJob(cell_state &state, const job_id &id, instant now, cell_actions &actions);

/// Begins occurrences whose time has come.
void beginDueOccurrences(cell_state &state, job_state &job, instant now);

/// A run is over without the task being done: it waits again, unless the job has ended.
void requeueTask(cell_state &state, const task_ref &ref, const task_view &view, instant now);

/// A task that runs once was lost: it may have done its work, so its job ends.
void failLostTask(cell_state &state, const task_view &view, instant now, cell_actions &actions);

void completeTask(cell_state &state, const task_ref &ref, const task_view &view, instant now, cell_actions &actions);
void recordTaskFailure(cell_state &state, const run_id &run, const task_view &view, instant now, cell_actions &actions);
void markUnsaved(cell_state &state, job_state &job);

/// Forgets jobs whose end is stored once no run of theirs takes room any more.
void removeEndedJobs(cell_state &state);

// --- workers.cpp

void updateWorker(cell_state &state, const worker_description &description, instant now, cell_actions &actions);
void unlistWorker(cell_state &state, const worker_id &id, cell_actions &actions);
void handleStartAnswer(cell_state &state, const start_answered &message, instant now, cell_actions &actions);
void handleStopAnswer(cell_state &state, const stop_answered &message, instant now);
void handleListAnswer(cell_state &state, const list_answered &message, instant now, cell_actions &actions);
void requestLists(cell_state &state, instant now, cell_actions &actions);

/// Sends a stop for a run that is to end, and again until it is answered.
void sendStopIfDue(cell_state &state, const task_ref &ref, task_run &run, instant now, cell_actions &actions);

/// Stops every run of the task but that of @p except.
void stopRuns(cell_state &state, const task_ref &ref, task_state &task, instant now, cell_actions &actions,
              std::uint32_t except = 0);

/// What ran where nothing can run any more is given up.
void expireLeases(cell_state &state, instant now, cell_actions &actions);

/// The latest deadline that an order to the worker may carry; none before its clock is known.
std::optional<worker_time> leaseDeadline(const cell_state &state, const worker_state &worker);

/// Notes that an order with this deadline leaves, answered or not.
void recordDeadline(worker_state &worker, worker_time deadline);

/// Books room for a run that has been ordered, or found.
void reserve(worker_state &worker, const run_id &run, const step_spec &spec);

resources freeCapacity(const worker_state &worker);
bool mayStartOn(const cell_state &state, const worker_state &worker, instant now);
const std::string &rackOf(const worker_description &worker);

// --- placing.cpp

void placeTasks(cell_state &state, instant now, cell_actions &actions);
void handleAdviceAnswer(cell_state &state, const advice_answered &message, instant now);

// --- recording.cpp

void commitChanges(cell_state &state, instant now, cell_actions &actions);
void handleCommitAnswer(cell_state &state, const commit_answered &message, instant now, cell_actions &actions);

// --- supervision.cpp

/// Copies of what takes long, stops of what stands still, tasks that leave draining workers.
void superviseRuns(cell_state &state, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
