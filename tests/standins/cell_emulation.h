#pragma once

#include "cell/cell.h"
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
 * A deployment in virtual time: the store, workers, callers, and processes that run the real
 * cores for ownership and scheduling. Faults are drawn from a seed. What callers and workers
 * see is checked all the time; the first breach is kept as text.
 */
namespace primrosecroft
{

/// A safety rule that is taken out, to show that the checks find it missing.
enum class disabled_rule
{
    none,
    leaseFromConfirmation, ///< leases count from the order instead
    inDoubtAfterTakeOver, ///< what an earlier owner started is taken for gone
    fencing, ///< workers obey anybody
    ownershipCondition, ///< an owner's writes name no row, so a deposed one goes on writing
    stopBeforeRestart, ///< a lost start counts as never sent
    commitSequence, ///< records that come late undo newer ones
    acknowledgeAfterCommit, ///< ends are forgotten before they are stored
};

struct emulation_settings
{
    std::uint64_t seed = 1;
    std::size_t processes = 3;
    std::size_t workers = 4;
    std::size_t jobs = 12;
    double faultScale = 1; ///< 0 for a calm day
    std::chrono::milliseconds faultPeriod {20'000}; ///< faults begin in this time
    std::chrono::milliseconds totalTime {60'000};
    disabled_rule mutation = disabled_rule::none;
};

class cell_emulation
{
public:
    explicit cell_emulation(const emulation_settings &settings);
    ~cell_emulation();
    cell_emulation(const cell_emulation &) = delete;
    cell_emulation &operator=(const cell_emulation &) = delete;

    /// Plays to the end, or to the first breach. Returns the breach, empty when there is none.
    std::string run();

    /// For tests that set their own scene.
    void submit(const accepted_job &job);
    void cancel(const job_id &id);
    void killOwner(std::chrono::milliseconds downFor);
    void freezeOwner(std::chrono::milliseconds span);
    void disconnectWorker(std::size_t worker, std::chrono::milliseconds span);

    /// As a cut, but connections to it are refused instead of left without an answer.
    void refuseConnections(std::size_t worker, std::chrono::milliseconds span);
    void rebootWorker(std::size_t worker, std::int64_t milliCores);
    void stopStore(std::chrono::milliseconds span);
    void runFor(std::chrono::milliseconds span);
    std::optional<job_status> storedEnd(const job_id &id) const;
    std::string violation() const;
    std::string owner() const;

    /// What the owner knows of a job, for messages of failed checks.
    std::string explain(const job_id &id) const;
    std::chrono::milliseconds elapsed() const;

    /// How the tasks of a job behave; by default they work for their step's estimate.
    std::function<task_behaviour(const run_id &run, const step_spec &step)> behaviour;

    /// Gets a line for each start, noted end and fault, to trace a breach.
    std::function<void(const std::string &line)> onTrace;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
