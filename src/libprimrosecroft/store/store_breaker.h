#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>

/**
 * Decides when a daemon may call the platform's store: a circuit breaker, jittered probes while the store is
 * unreachable, and a rate limit for a while after its return. The functions do no I/O and are deterministic
 * for a given seed.
 */
namespace primrosecroft
{

/// State of the breaker of one daemon.
struct store_breaker
{
    std::uint64_t seed = 0; ///< for the jitter; random in each process
    double operationsPerSecond = 5.0; ///< rate limit of this daemon until budgetUntil

    bool isReachable = true; ///< false from a failed call until the next answered one
    std::uint32_t failures = 0; ///< consecutive
    instant nextProbeAt; ///< earliest time of the next probe
    instant budgetUntil; ///< end of the recovery period; calls aren't limited afterwards
    double budget = 0.0; ///< operations that may be sent at once; one is taken for each
    instant budgetUpdatedAt;
};

/// Time after the store's return in which each daemon limits its calls, so that they don't overload the store.
inline constexpr std::chrono::seconds recoveryPeriod {10};

/// Bounds of the interval between probes, before jitter.
inline constexpr std::chrono::milliseconds minProbeInterval {500};
inline constexpr std::chrono::milliseconds maxProbeInterval {2'000};

/// Records that a call of the store ended at @p now. @p isAnswered is true if the store itself answered.
void recordStoreResult(store_breaker &breaker, bool isAnswered, instant now);

/// Returns true if a probe may be sent now, and then schedules the earliest time of the next one.
bool takeProbe(store_breaker &breaker, instant now);

/**
 * Returns how long an operation has to wait before it may be sent. Zero means that it may be sent now and that
 * it has been counted against the budget. Call it only while the store is reachable.
 */
std::chrono::milliseconds takeOperation(store_breaker &breaker, instant now);

} // namespace primrosecroft
