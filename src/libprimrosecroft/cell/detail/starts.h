#pragma once

#include "cell/detail/cell_parts.h"
#include "cell/detail/usable_workers.h"

/// Starts of single tasks and of members of gangs on the workers that a pass has chosen for them.
namespace primrosecroft::detail
{

/// A suspect that has waited this long for a worker on which a trial may begin goes to any other one.
inline constexpr auto maxTrialWait = std::chrono::seconds(2);

/// Likewise for a worker on which nothing else runs.
inline constexpr auto maxIsolationWait = std::chrono::seconds(3);

/// Returns the task of the step with what it belongs to.
task_view viewOf(const waiting_step &waiting, task_state &task);

/// Returns whether the task may start under the rule for at-most-once tasks, which does not concern other tasks. The
/// start has to be stored first, which this function schedules. If an earlier owner has stored it, the task may have
/// run already, so this function fails the job.
bool ensureStartStored(cell_state &state, const waiting_step &waiting, task_state &task, instant now,
                       cell_actions &actions);

/// Sends the start of a task to the worker and reserves its capacity there.
void startTask(cell_state &state, const waiting_step &waiting, std::int32_t index, std::uint32_t attempt,
               worker_state &worker, instant now, cell_actions &actions);

/// Makes the latest run of the task a trial, which keeps other starts away from its worker.
void beginTrial(usable_workers &usable, const waiting_step &waiting, std::int32_t index, cell_actions &actions);

} // namespace primrosecroft::detail
