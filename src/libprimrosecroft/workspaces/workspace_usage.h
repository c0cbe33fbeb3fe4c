#pragma once

#include "jobs/job.h"

#include <map>
#include <optional>

/**
 * What the tasks of each workspace hold on all workers, and whether one more may start under its limit.
 *
 * An owner counts a run from the moment its start is sent until it is surely over. After a take-over it doesn't know
 * yet what earlier owners have running. Until the workers have told, a workspace is charged with the lower of two
 * bounds: the tasks that may run and that no worker has shown, and the capacity of the workers that haven't told.
 */
namespace primrosecroft
{

/// What the tasks of one workspace hold.
struct workspace_load
{
    resources running; ///< reserved for runs: starting, unconfirmed, running and being stopped
    std::int64_t runs = 0; ///< number of these
    resources unseen; ///< of tasks that may run since an earlier owner, and that no worker has shown yet
    /// Processor time, in thousandths of a core, of the best-effort tasks among these. It is no part of @c unseen,
    /// because none is reserved for it, so the workers' capacity is no bound of it.
    std::int64_t unseenBestEffortCores = 0;

    friend bool operator==(const workspace_load &, const workspace_load &) = default;
};

/// What the tasks of all workspaces hold. Jobs that belong to none are not counted.
struct workspace_usage
{
    std::map<workspace_name, workspace_load> loads; ///< workspaces without tasks may be missing
    /// Capacity of the workers that haven't told yet what they run; std::nullopt if it isn't known.
    std::optional<resources> untoldCapacity = resources {};
    /// Free capacity of workers with runs of which neither size nor workspace is known. Charged to each workspace.
    resources foreignCapacity;
};

/// What one task of the step counts. A best-effort task counts with the processor time that its step declares.
resources countedSize(const step_spec &step);

void addRun(workspace_usage &usage, const workspace_name &name, const resources &size);
void removeRun(workspace_usage &usage, const workspace_name &name, const resources &size);

/// Counts @p runs tasks of the step, or takes them out if the number is negative, that may run since an earlier owner.
void addUnseen(workspace_usage &usage, const workspace_name &name, const step_spec &step, std::int64_t runs);

/// Called when all workers have told what they run, so that nothing is unseen any more.
void forgetUnseen(workspace_usage &usage);

/// The most that the workspace's tasks may hold now, as far as the owner can know.
resources mostInUse(const workspace_usage &usage, const workspace_name &name);

/// Number of tasks of the step, up to its number of tasks, that may start now without passing the limit.
std::int64_t startableTasks(const workspace_usage &usage, const workspace_name &name, const workspace_policy &policy,
                            const step_spec &step);

/// Number of tasks of the step that the limit lets run at the same time, up to its number of tasks. 0 if it lets none
/// run or, for a gang, not all.
std::int64_t concurrentTasks(const workspace_policy &policy, const step_spec &step);

/// Returns whether the limit lets a task of the step run, or its whole gang, while nothing else of the workspace does.
bool canEverRun(const workspace_policy &policy, const step_spec &step);

} // namespace primrosecroft
