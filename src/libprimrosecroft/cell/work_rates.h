#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

/// Measured rates of the work that a cell takes in and ends. Work is counted in core-seconds, by the tasks' estimates,
/// so that a rate also tells how fast a backlog of such estimates shrinks.
namespace primrosecroft
{

/// A sum whose parts lose weight as they grow older.
struct decaying_sum
{
    double value = 0; ///< at time @p at
    instant at;
};

void add(decaying_sum &sum, double amount, std::chrono::milliseconds memory, instant now);
double valueAt(const decaying_sum &sum, std::chrono::milliseconds memory, instant now);

/// Rates of one pool of workers.
struct pool_rates
{
    decaying_sum endedWork; ///< while the pool was saturated
    instant since; ///< start of the measurements; zero before
    std::map<std::int32_t, decaying_sum> freedCores; ///< by tasks that ended, by the priority of the queue
    decaying_sum saturatedSeconds; ///< the time that this took
    bool isSaturated = false; ///< more work waited after the last pass than the pool does in saturationTime
    instant checkedAt; ///< time of the last pass
    std::map<std::int32_t, decaying_sum> acceptedWork; ///< by the priority of the queue
};

using work_rates = std::map<std::string, pool_rates>;

void recordAcceptedWork(pool_rates &rates, std::int32_t priority, double coreSeconds, instant now);
void recordEndedWork(pool_rates &rates, std::int32_t priority, double cores, double coreSeconds, instant now);

/// Cores of a pool, without those that services hold.
struct pool_capacity
{
    double offered = 0; ///< of its workers that don't leave and aren't kept off new tasks
    double usable = 0; ///< of those of them that may take tasks now
    double free = 0; ///< of these, the cores that no run holds
};

/// Records after a pass how much work waits.
void recordWaitingWork(pool_rates &rates, double coreSeconds, const pool_capacity &capacity, instant now);

/// Core-seconds a second that a pool with this capacity does of work of this priority or a later one: what it ended
/// lately while it was saturated, or its capacity if it wasn't, less what arrives of earlier priorities.
double rateFor(const pool_rates &rates, std::int32_t priority, double capacity, instant now);

/// Cores a second that tasks of this priority or a later one free by their ends; those of earlier ones go to tasks of
/// theirs. 0 if it isn't known yet.
double freedCoresFor(const pool_rates &rates, std::int32_t priority, instant now);

} // namespace primrosecroft
