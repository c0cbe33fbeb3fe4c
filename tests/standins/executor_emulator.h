#pragma once

#include "cell/cell_messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace primrosecroft
{

/// How a task behaves when it runs.
struct task_behaviour
{
    std::chrono::milliseconds work {500}; ///< after which it ends, unless it is a service
    bool fails = false;
    bool isService = false;
    std::uint32_t gang = 0; ///< members that must be present before it starts to work; 0 if the task is in no gang
    std::chrono::milliseconds startUp {0}; ///< of a service, until it lists 100 percent
    std::optional<std::chrono::milliseconds> crashesAfter; ///< work after which it crashes its worker; unset for never
};

/// What holds for all workers of a deployment.
struct executor_bounds
{
    std::chrono::milliseconds maxLease {6'000};
    std::chrono::milliseconds stopDuration {200}; ///< for which a run keeps its resources after an order to stop
    std::chrono::milliseconds gangTimeout {3'000}; ///< after which a member that waits for its gang ends

    /// An end whose number isn't above the highest acknowledged one of the boot is forgotten as soon as it arises.
    /// Otherwise only the ends that a worker has when it gets a list request are.
    bool forgetsUpToHighest = false;
};

/**
 * Emulates one worker of the platform: fencing tokens, leases on its own clock, stops that also refuse later starts of
 * the same attempt, and lists of runs and ends. It does no I/O and reads no clock; its user advances the time.
 */
class executor_emulator
{
public:
    executor_emulator(worker_description description, double clockRate, const executor_bounds &bounds = {});

    const worker_description &description() const;
    worker_description &description();

    /// Advances time by @p elapsed, which the worker's own clock counts at its rate, and ends the runs that are due.
    /// Returns the run that crashes the worker, if one does. The user then keeps it down and reboots it.
    std::optional<run_id> advance(std::chrono::milliseconds elapsed);

    /// Restarts the worker: it loses its runs, listed ends, lease and fencing token, and its clock starts at 0.
    void reboot(worker_boot boot);

    /// Starts a run, or confirms that it runs already, and extends the lease of the worker. Like all orders, it names
    /// the worker and not its boot, so the present boot carries out what was meant for an earlier one.
    order_result start(const send_start &order, row_version token, const task_behaviour &behaviour);

    /// Stops a run if it is active, and refuses later starts of this attempt and earlier ones of its task.
    order_result stop(const run_id &run, row_version token);

    /// Lists the runs, except those that are being stopped, and the ends that aren't forgotten. Forgets the ends up to
    /// @p acknowledgedEnd; see executor_bounds for those that come later. Extends the lease of the worker, unless
    /// @p deadline is std::nullopt.
    list_answered list(const std::optional<worker_time> &deadline, std::int64_t acknowledgedEnd, row_version token);

    /// Ends a run that is active, for instance because another member of its gang has ended.
    void end(const run_id &run, run_end how);

    worker_time clock() const;

    /// Returns the runs that have started and not ended, including those that wait for their gang or are being stopped.
    std::set<run_id> running() const;

    /// Returns the services that list 100 percent and are not being stopped.
    std::set<run_id> atWork() const;

    /// Returns the sum of the sizes of these runs. A run whose task is not in @c sizes counts nothing.
    resources used() const;

    /// An end of a run, for checks.
    struct run_end_record
    {
        listed_end end;
        worker_boot boot = 0; ///< in which it ended; the numbers of ends start from 1 in each boot
        bool isAcknowledged = false; ///< whether an owner has acknowledged it, so that the worker no longer lists it
        int lapses = 0; ///< how often the lease had expired when the run ended
        bool hasLapsedSince = false; ///< the lease expired between the end and its acknowledgement
    };

    /// Returns all ends, of all boots.
    const std::vector<run_end_record> &ends() const;

    /// Size of each task, set by the user of the emulator because orders don't carry it.
    std::map<task_ref, resources> sizes;

    /// Tells whether all members of a run's gang are present. If it is empty, only those on this worker are counted, so
    /// a gang has to run on one worker and waits without a limit.
    std::function<bool(const run_id &run)> isGangPresent;

private:
    struct active_run
    {
        task_behaviour behaviour;
        std::chrono::milliseconds worked {0};
        std::chrono::milliseconds waited {0}; ///< for its gang
        std::string checkpoint;
        /// Time until it has stopped; std::nullopt unless it is being stopped.
        std::optional<std::chrono::milliseconds> stopRemaining;
    };

    void acknowledge(std::int64_t number);
    static std::int32_t percentOf(const active_run &run);

    /// Returns false if a newer owner has sent an order before. Otherwise stores the token.
    bool acceptToken(row_version token);
    void extendLease(const std::optional<worker_time> &deadline);
    bool isGangComplete(const run_id &run, const active_run &state) const;

    worker_description m_description;
    double m_clockRate;
    executor_bounds m_bounds;
    std::chrono::duration<double, std::milli> m_clock {0};
    worker_time m_leaseEnd {0};
    bool m_isLeased = false;
    int m_lapses = 0;
    row_version m_token = 0;
    std::map<run_id, active_run> m_runs;
    /// For each task, the highest attempt that has ended here or was ordered to stop. Starts up to it are refused.
    std::map<task_ref, std::uint32_t> m_endedAttempts;
    std::vector<listed_end> m_listedEnds;
    std::vector<run_end_record> m_ends;
    std::int64_t m_lastEnd = 0;
    std::int64_t m_highestAcknowledged = 0; ///< of this boot
};

} // namespace primrosecroft
