#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

/**
 * Vocabulary shared by all slices: identifiers, amounts and time.
 *
 * Nothing here does I/O, so the decision cores can be run by tests and benchmarks
 * in virtual time.
 */
namespace primrosecroft
{

/// Time of a process's own monotonic clock. It never compares with that of another process.
using instant = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

using worker_id = std::string;
using failure_domain_id = std::string;
using process_id = std::string;
using upstream_id = std::string;

/// Key that the caller gave its demand; unique among all demands.
using demand_key = std::string;

/// Amounts of what a worker offers and a task needs.
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

/// True when @p need fits into @p offer in each kind.
inline bool fits(const resources &need, const resources &offer)
{
    return need.milliCores <= offer.milliCores && need.memoryMib <= offer.memoryMib
        && need.accelerators <= offer.accelerators;
}

} // namespace primrosecroft
