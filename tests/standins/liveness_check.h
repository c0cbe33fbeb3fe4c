#pragma once

#include "advice_emulator.h"
#include "executor_emulator.h"
#include "jobs/job_rows.h"
#include "store_emulator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Checks in an emulation that no task waits for long that could run. It reads the store and the workers, and nothing
 * that an owner believes.
 */
namespace primrosecroft
{

struct observed_worker
{
    const executor_emulator *executor = nullptr;
    bool isUp = false; ///< its runs go on
    bool mayTakeTasks = false; ///< it is up and reachable, and isn't about to leave
};

struct observed_cell
{
    instant now;
    instant lastFaultAt; ///< the last moment at which a fault was in force
    const std::map<job_id, accepted_job> &jobs;
    const store_emulator &store;
    const advice_emulator &advice;
    std::vector<observed_worker> workers; ///< always in the same order; new ones come last
};

/// A task that has waited for longer than its bound.
struct late_task
{
    task_ref task;
    instant since;
    worker_id worker; ///< one with room for the task twice over
    bool isService = false;
};

class liveness_check
{
public:
    /// After the last fault, batch steps may wait for @p settlingTime longer.
    explicit liveness_check(std::chrono::milliseconds settlingTime);

    /// Called after each step of the emulation. Returns a task that has waited for longer than its bound, if any.
    std::optional<late_task> observe(const observed_cell &cell);

private:
    struct wait
    {
        instant since; ///< the task has been ready, without a run, and with room for it since then
        instant roomAt; ///< the last moment at which there was room
        worker_id worker; ///< that had room then
    };

    struct stored_progress
    {
        row_version version = 0;
        job_progress progress;
    };

    struct listed_done
    {
        std::size_t worker = 0;
        worker_boot boot = 0;
    };

    struct room
    {
        worker_id worker;
        resources available;
    };

    void readEnds(const observed_cell &cell);

    /// Reads the stored progress. Returns the jobs that are stored, not cancelled and not over.
    std::set<job_id> readLiveJobs(const observed_cell &cell);
    void observeJob(const observed_cell &cell, const accepted_job &job);
    void observeTask(const observed_cell &cell, const task_ref &task, bool isService,
                     const std::optional<worker_id> &worker);

    /// Returns whether the task's end is stored, or in the list of a worker that is up.
    bool isDone(const observed_cell &cell, const task_ref &task) const;
    bool isStepDone(const observed_cell &cell, const accepted_job &job, std::int32_t step) const;

    /// Returns a worker with room for the step's task twice over or, for a gang, one of those that together have it for
    /// all its tasks.
    std::optional<worker_id> findRoom(const observed_cell &cell, const accepted_job &job, std::int32_t step) const;
    std::optional<late_task> findLate(const observed_cell &cell) const;

    std::chrono::milliseconds m_settlingTime;
    std::map<task_ref, wait> m_waits;
    std::map<task_ref, wait> m_earlierWaits; ///< before the present step
    std::map<job_id, stored_progress> m_progress;
    std::vector<std::size_t> m_endsRead; ///< of each worker
    std::map<task_ref, listed_done> m_listedDone;
    std::set<task_ref> m_running;
    std::vector<room> m_rooms;
};

} // namespace primrosecroft
