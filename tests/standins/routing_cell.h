#pragma once

#include "routing/routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Simulates one booking service in virtual time: entry daemons, each of which runs the routing core without
 * coordination with the others, executors with a number of slots, and the latency between them. A plan has a seed, so
 * that each of its runs gives the same counts.
 */
namespace primrosecroft::standins
{

enum class executor_fault_kind
{
    failing, ///< answers with an error at once
    slow, ///< takes slowdownFactor times as long
    unreachable, ///< accepts no connection; the answers to the requests that it runs are lost
    leaving, ///< refuses every request and announces that it leaves
};

struct executor_fault
{
    std::size_t executor = 0;
    executor_fault_kind kind = executor_fault_kind::failing;
    duration from {0}; ///< since the start of the run
    duration until = std::chrono::hours(1);
    double slowdownFactor = 1;
};

struct cell_plan
{
    routing_settings settings; ///< of every daemon, except for its address, location and seed
    std::uint64_t seed = 1;
    double load = 0.8; ///< offered load as a share of all slots
    double repeatableShare = 0.5;
    std::chrono::seconds arrivalPeriod {20}; ///< time in which requests arrive, from the start of the run
    std::chrono::milliseconds deadline {1'000}; ///< of a request, from its arrival
    std::chrono::microseconds serviceTime {50'000}; ///< on average
    std::int64_t bytesPerRequest = 4'096; ///< request and answer together
    std::vector<executor_fault> faults;
    std::vector<std::size_t> daemonsPerDomain {3, 2, 2}; ///< the last domain is in a region of its own
    std::vector<std::size_t> executorsPerDomain {17, 17, 16};
};

struct cell_result
{
    std::int64_t requests = 0;
    std::int64_t answeredInTime = 0; ///< answered completely within the deadline
    std::int64_t refused = 0; ///< by the daemon
    std::int64_t refusedOnArrival = 0; ///< of the refused ones, those refused without waiting
    std::int64_t unknown = 0; ///< answered with an unknown outcome
    std::int64_t faults = 0; ///< answered with the error of an upstream, as a retry wasn't possible
    std::int64_t attempts = 0;
    std::int64_t fullRefusals = 0; ///< by an executor without a free slot
    std::int64_t linkBytes = 0; ///< sent between the regions
    std::int64_t ranTwice = 0; ///< not repeatable, but executed more than once
    std::int64_t refusedAfterRun = 0; ///< refused as not run although an executor had started it
    std::int32_t maxInFlight = 0; ///< largest number of requests that one executor ran at the same time
    double slotsUsed = 0; ///< mean share of the slots in use, over the second half of the arrival period
    std::vector<std::int64_t> executed; ///< by executor
    std::vector<std::vector<std::int64_t>> attemptsBySecond; ///< by executor, then by second
    std::vector<std::int64_t> linkBytesBySecond;
    std::vector<std::int64_t> retryAfterMs; ///< of each refusal
    std::vector<double> waitMs; ///< from arrival to the start of the service; sorted

    /// Returns a quantile of waitMs, or 0 if no request was served.
    double waitQuantile(double quantile) const;
};

/// Runs a plan with the entry daemons.
cell_result runCell(const cell_plan &plan);

/// Runs the arrivals and service times of a plan with one ideal queue, in which the state of every slot is
/// available without delay.
cell_result runSharedQueue(const cell_plan &plan);

} // namespace primrosecroft::standins
