#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

/**
 * Types that all parts share: identifiers, amounts of resources, and time.
 *
 * Nothing here does I/O, so that tests and benchmarks can run the decision logic in virtual time.
 */
namespace primrosecroft
{

/// Time of a process's own monotonic clock. It can't be compared with a time of another process.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using worker_id = std::string;

/// Identifies one boot of a worker: the time at which it started, in milliseconds since 1970.
using worker_boot = std::int64_t;

using failure_domain_id = std::string;
using process_id = std::string;
using upstream_id = std::string;

/// Key that a caller chose for its demand. It is unique among all demands.
using demand_key = std::string;

/// Amounts of resources, such as the capacity of a worker or the needs of a task.
struct resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMib = 0;
    std::int64_t accelerators = 0;

    friend bool operator==(const resources &, const resources &) = default;

    resources &operator+=(const resources &other)
    {
        milliCores += other.milliCores;
        memoryMib += other.memoryMib;
        accelerators += other.accelerators;
        return *this;
    }

    resources &operator-=(const resources &other)
    {
        milliCores -= other.milliCores;
        memoryMib -= other.memoryMib;
        accelerators -= other.accelerators;
        return *this;
    }
};

/// Returns true if @p offer covers @p need in each kind of resource.
inline bool fits(const resources &need, const resources &offer)
{
    return need.milliCores <= offer.milliCores && need.memoryMib <= offer.memoryMib
        && need.accelerators <= offer.accelerators;
}

} // namespace primrosecroft
