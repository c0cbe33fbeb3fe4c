#pragma once

#include "cell/cell.h"

/// Shared by the parts of the cell's core; nobody else includes this.
namespace primrosecroft::detail
{

using cell_actions = std::vector<cell_action>;

inline constexpr double slowestClock = 0.98; ///< a worker's clock may lose 2 %

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

void arrive(cell_state &state, const job_arrived &message, instant now);
void cancel(cell_state &state, const job_id &id, instant now, cell_actions &actions);

/// Begins occurrences whose time has come.
void beginDue(cell_state &state, job_state &job, instant now);

/// A run is over without the task being done: it waits again, unless the job has ended.
void becomeIdle(cell_state &state, const task_ref &ref, const task_view &view, instant now);

/// A task that runs once was lost: it may have done its work, so its job ends.
void loseTask(cell_state &state, const task_view &view, instant now, cell_actions &actions);

void taskDone(cell_state &state, const task_ref &ref, const task_view &view, instant now, cell_actions &actions);
void taskFailed(cell_state &state, const run_id &run, const task_view &view, instant now, cell_actions &actions);
void markChanged(cell_state &state, job_state &job);

/// Forgets jobs whose end is stored once no run of theirs takes room any more.
void forgetRetired(cell_state &state);

// --- workers.cpp

void seeWorker(cell_state &state, const worker_description &description, instant now, cell_actions &actions);
void unlistWorker(cell_state &state, const worker_id &id, cell_actions &actions);
void takeStartAnswer(cell_state &state, const start_answered &message, instant now, cell_actions &actions);
void takeStopAnswer(cell_state &state, const stop_answered &message, instant now);
void takeList(cell_state &state, const list_answered &message, instant now, cell_actions &actions);
void askForLists(cell_state &state, instant now, cell_actions &actions);

/// Sends a stop for a run that is to end, and again until it is answered.
void pursueStop(cell_state &state, const task_ref &ref, task_run &run, instant now, cell_actions &actions);

/// Stops every run of the task but that of @p except.
void stopRuns(cell_state &state, const task_ref &ref, task_state &task, instant now, cell_actions &actions,
              std::uint32_t except = 0);

/// What ran where nothing can run any more is given up.
void expireLeases(cell_state &state, instant now, cell_actions &actions);

/// The latest deadline that an order to the worker may carry; none before its clock is known.
std::optional<worker_time> leaseDeadline(const cell_state &state, const worker_state &worker);

/// Notes that an order with this deadline leaves, answered or not.
void noteDeadline(worker_state &worker, worker_time deadline);

/// Books room for a run that has been ordered, or found.
void occupy(worker_state &worker, const run_id &run, const step_spec &spec);

resources freeRoom(const worker_state &worker);
bool mayStartOn(const cell_state &state, const worker_state &worker, instant now);
const std::string &rackOf(const worker_description &worker);

// --- placing.cpp

void place(cell_state &state, instant now, cell_actions &actions);
void takeAdvice(cell_state &state, const advice_answered &message, instant now);

// --- recording.cpp

void record(cell_state &state, instant now, cell_actions &actions);
void takeCommitAnswer(cell_state &state, const commit_answered &message, instant now, cell_actions &actions);

// --- supervision.cpp

/// Copies of what takes long, stops of what stands still, tasks that leave draining workers.
void supervise(cell_state &state, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
