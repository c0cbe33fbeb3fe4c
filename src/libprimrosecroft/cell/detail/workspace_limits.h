#pragma once

#include "cell/detail/cell_parts.h"
#include "cell/detail/waiting_step.h"

/// What workspaces hold, as far as the owner can know, and what may start under their limits.
namespace primrosecroft::detail
{

/// Counts the tasks of an occurrence that may run since an earlier owner, until the workers have told.
void countUnseen(cell_state &state, job_state &job, std::int32_t number);

/// Counts the complete occurrences of a timed job, whose runs may still be ending, and those that an earlier owner may
/// have begun without storing it.
void countUnseenOthers(cell_state &state, const job_state &job);

/// Called when a worker has shown a run of the task that wasn't known here.
void countAsSeen(cell_state &state, const task_view &view);

/// Computes the bounds of what may run unseen, from the workers that haven't told yet what they run.
void updateUnseenBounds(cell_state &state);

/// Returns whether the workspace has a limit of any kind.
bool hasLimit(const cell_state &state, const workspace_name &name);

/// Number of tasks of the step that may start now under the limit of the job's workspace.
std::int64_t startableTasks(const cell_state &state, const job_state &job, const step_spec &spec);

/// Number of tasks of the step that the limit of the job's workspace lets run at the same time.
std::int64_t concurrentTasks(const cell_state &state, const accepted_job &job, const step_spec &spec);

/// Returns whether the job lies beyond the rate of its workspace.
bool isBeyondRate(const cell_state &state, const accepted_job &job);

/// Records a job that is within the rate of its workspace.
void countWithinRate(cell_state &state, const accepted_job &job);

/// Reports that the step waits for the limit of its workspace, not often for the same workspace.
void reportLimit(cell_state &state, const waiting_step &waiting, instant now, cell_actions &actions);

/// Explains to operators that the step waits for the limit of its workspace. Empty if it doesn't.
std::string explainLimit(const cell_state &state, const job_state &job, const step_spec &spec);

} // namespace primrosecroft::detail
