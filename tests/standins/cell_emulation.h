#pragma once

#include "advice_emulator.h"
#include "cell/cell.h"
#include "core/vm_capacity.h"
#include "executor_emulator.h"
#include "leadership/leadership.h"
#include "store_emulator.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/**
 * Emulates a cell in virtual time: the store, workers, callers, and processes that run the real cores for leadership
 * and scheduling. Faults are drawn from a seed. After each step, invariants are checked on the runs of the workers and
 * on the ends in the store; the emulation stops at the first violation and keeps it as text.
 */
namespace primrosecroft
{

/// A safety rule that the emulation disables, to show that the checks detect its absence.
enum class disabled_rule
{
    none,
    leaseFromConfirmation, ///< disabled: leases count from the order, not from the last confirmation of ownership
    inDoubtAfterTakeOver, ///< disabled: a new owner assumes that no run of an earlier owner is left on the workers
    fencing, ///< disabled: workers accept orders of any owner
    ownershipCondition, ///< disabled: no transaction depends on the owner's row, so a former owner still writes
    stopBeforeRestart, ///< disabled: a start without an answer counts as refused, so no stop precedes the next one
    commitSequence, ///< disabled: a transaction that is committed late overwrites newer rows
    countsOnlyWhenLoaded, ///< disabled: an owner that loads reports zero waiting jobs, and counts are as old as their
                          ///< arrival
    startConfirmed, ///< disabled: an owner starts jobs that were stored after the last confirmation of its ownership
    waitForFormerStops, ///< disabled: a new owner uses a worker at once on which a former owner's stops go on
    acknowledgeAfterCommit, ///< disabled: ends are acknowledged, and so forgotten by workers, before they are stored
    maxUnavailable, ///< disabled: services have no limit of tasks that may be unavailable
    lossCounts, ///< disabled: owners forget at once under which tasks workers were lost
    unshownRunsMayGoOn, ///< disabled: a worker that has restarted counts as running nothing that was sent to it
    endsOfOneBoot, ///< disabled: workers are told which ends they may forget whatever boot may have begun since
    entriesDoubted, ///< disabled: an entry in the platform's list that tells of another boot always tells of a later
                    ///< one
    shownOccurrencesBegin, ///< disabled: an owner overlooks runs and ends in occurrences that it hasn't begun
    limitChecked, ///< disabled: owners know no limits of workspaces
    limitCountsStops, ///< disabled: runs that are being stopped don't count for their workspace
    limitCountsUnconfirmed, ///< disabled: starts without an answer don't count for their workspace
    incompleteGangsStop, ///< disabled: the members of a gang wait for one that doesn't start
    limitCountsUnseen, ///< disabled: what may run since an earlier owner doesn't count for its workspace
};

struct emulation_settings
{
    std::uint64_t seed = 1;
    std::size_t processes = 3;
    std::size_t workers = 4;
    std::size_t jobs = 12;
    std::size_t services = 0; ///< jobs besides these, each with a service that may miss few of its tasks
    std::size_t drains = 0; ///< times that a worker drains and then restarts
    std::size_t restarts = 0; ///< times that a worker restarts within half a second
    bool clocksGoBack = false; ///< times of day of workers jump, so that later boots may be lower; entries lag
    std::size_t timedJobs = 0; ///< jobs besides these, of many small occurrences that overlap
    double faultScale = 1; ///< scales the number of faults and the share of lost messages; 0 for no faults
    std::chrono::milliseconds faultPeriod {20'000}; ///< from the start; jobs are submitted and faults begin in it
    std::chrono::milliseconds totalTime {60'000}; ///< of run(); jobs must have ended by then
    /// If not 0, run() goes on for this time, in which tasks that run at totalTime may end. None may wait by then.
    std::chrono::milliseconds longestRun {0};
    std::chrono::milliseconds maxLoadTime {0}; ///< a new owner loads for up to this long in the fault period
    std::vector<vm_capacity> capacities; ///< of the processes; if empty, no process hands over
    disabled_rule mutation = disabled_rule::none;
    bool allowsCopies = false; ///< the tasks of the jobs that run() submits may run in several copies
    duration_model durations; ///< that each owner begins with
    /// The platform drops the entry of a worker that hasn't renewed it for a while. A worker that is cut off can't.
    bool entriesExpire = false;
    std::chrono::milliseconds minCrashTime {1'000}; ///< a worker that a task has crashed is down for
    std::chrono::milliseconds maxCrashTime {5'000};
    double startsWithoutConnection = 0; ///< share of the starts that reach no worker and get no answer, at any time
    bool checksGangs = false; ///< gangs run on several workers; also checks that no member waits for others for long
    bool areGangWaitsExcused = false; ///< faults are drawn that may keep members waiting, so that isn't checked
    bool checksLiveness = false; ///< also checks that no task waits for long that could run
};

class cell_emulation
{
public:
    explicit cell_emulation(const emulation_settings &settings);
    ~cell_emulation();
    cell_emulation(const cell_emulation &) = delete;
    cell_emulation &operator=(const cell_emulation &) = delete;

    /// Submits random jobs and runs until the end or the first violation. Returns the violation, empty if there is
    /// none.
    std::string run();

    // The following functions are for tests that submit jobs and cause faults themselves.

    /// Stores a job, and sends it to the owner when there is one that is not frozen.
    void submit(const accepted_job &job);

    /// Stores the cancellation of a job, and sends it to the owner if there is one.
    void cancel(const job_id &id);

    /// Ends the owner's process, which starts again after @p downFor. Does nothing if there is no owner.
    void killOwner(std::chrono::milliseconds downFor);

    /// Pauses the owner's process; answers to it are delivered afterwards. Does nothing if there is no owner.
    void freezeOwner(std::chrono::milliseconds span);

    /// Leaves orders to the worker undelivered and unanswered. The worker itself goes on running.
    void disconnectWorker(std::size_t worker, std::chrono::milliseconds span);

    /// Like disconnectWorker, but connections to the worker are refused instead of unanswered.
    void refuseConnections(std::size_t worker, std::chrono::milliseconds span);

    /// Restarts a worker with another capacity.
    void rebootWorker(std::size_t worker, std::int64_t milliCores);

    /// Crashes a worker, which starts again after @p span. Connections to it are refused meanwhile.
    void crashWorker(std::size_t worker, std::chrono::milliseconds span);

    /// Returns how many workers each task has crashed. Tasks that have crashed none are missing.
    const std::map<task_ref, int> &crashes() const;

    /// Returns the most workers that have crashed, for any reason, while a run of one task of the job was there.
    int mostLosses(const job_id &job) const;

    /// Lets the platform drain a worker, which restarts after @p span.
    void drainWorker(std::size_t worker, std::chrono::milliseconds span);

    /// Starts one more worker. Returns its index.
    std::size_t addWorker();

    /// Lets the platform drain a worker, which ends for good after @p notice. It then answers nothing any more.
    void removeWorker(std::size_t worker, std::chrono::milliseconds notice);

    /// Puts the workspaces of a configuration into force, at each process after a delay of its own.
    void configure(const workspace_policies &workspaces);

    /// Lets the owner request that another process takes over, the next one that runs. Does nothing if there is none.
    void handOver();

    /// Makes the store unreachable for all processes.
    void stopStore(std::chrono::milliseconds span);
    void runFor(std::chrono::milliseconds span);

    /// Returns the stored status of an ended job, or std::nullopt if no end is stored.
    std::optional<job_status> storedEnd(const job_id &id) const;

    /// Returns the first violation of an invariant, empty if there is none.
    std::string violation() const;

    /// Returns the name of the process that is the owner, empty if there is none.
    std::string owner() const;

    /// Describes the owner's state of a job, for the messages of failed checks.
    std::string explain(const job_id &id) const;

    /// Returns the virtual time since the start.
    std::chrono::milliseconds elapsed() const;

    /// Returns how a run behaves. If empty, tasks run for the estimate of their step.
    std::function<task_behaviour(const run_id &run, const step_spec &step)> behaviour;

    /// Called, if not empty, with a line for each start order that reaches a worker, each successful end of a task that
    /// is acknowledged, each call of the advice service and each random fault, to trace a violation.
    std::function<void(const std::string &line)> onTrace;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
