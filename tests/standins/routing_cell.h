#pragma once

#include "routing/routing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * One booking service in virtual time: entry daemons that each run the routing core
 * and don't coordinate, executors with slots, and the latency between them. Seeded,
 * so that every run of a plan gives the same counts.
 */
namespace primrosecroft::standins
{

enum class executor_fault_kind
{
    failing, ///< answers with a fault at once
    slow, ///< takes several times as long
    unreachable, ///< takes no connection; what it ran is lost
    leaving, ///< refuses all and says that it leaves
};

struct executor_fault
{
    std::size_t executor = 0;
    executor_fault_kind kind = executor_fault_kind::failing;
    duration from {0};
    duration until = std::chrono::hours(1);
    double slowdownFactor = 1;
};

struct cell_plan
{
    routing_settings settings; ///< of every daemon, but for its place and seed
    std::uint64_t seed = 1;
    double load = 0.8; ///< of all slots
    double repeatableShare = 0.5;
    std::chrono::seconds arrivalPeriod {20};
    std::chrono::milliseconds deadline {1'000};
    std::chrono::microseconds serviceTime {50'000}; ///< on average
    std::int64_t bytesPerRequest = 4'096; ///< request and answer
    std::vector<executor_fault> faults;
    std::vector<std::size_t> daemonsPerDomain {3, 2, 2}; ///< the last domain is a region of its own
    std::vector<std::size_t> executorsPerDomain {17, 17, 16};
};

struct cell_result
{
    std::int64_t requests = 0;
    std::int64_t answeredInTime = 0; ///< answered whole within the deadline
    std::int64_t refused = 0; ///< by the daemon
    std::int64_t refusedOnArrival = 0;
    std::int64_t unknown = 0;
    std::int64_t faults = 0; ///< the upstream's fault was all that could be delivered
    std::int64_t attempts = 0;
    std::int64_t fullRefusals = 0; ///< by an executor without a free slot
    std::int64_t linkBytes = 0;
    std::int64_t ranTwice = 0; ///< not repeatable, and executed more than once
    std::int64_t refusedAfterRun = 0; ///< told "not run" although an executor began it
    std::int32_t maxInFlight = 0; ///< at any executor, running at once
    double slotsUsed = 0; ///< mean share, over the second half
    std::vector<std::int64_t> executed; ///< by executor
    std::vector<std::vector<std::int64_t>> attemptsBySecond; ///< by executor, then by second
    std::vector<std::int64_t> linkBytesBySecond;
    std::vector<std::int64_t> retryAfterMs;
    std::vector<double> waitMs; ///< from arrival to the start of the service; sorted

    double waitQuantile(double quantile) const;
};

cell_result runCell(const cell_plan &plan);

/// The same arrivals and service times with one queue that knows every slot at no cost.
cell_result runSharedQueue(const cell_plan &plan);

} // namespace primrosecroft::standins
