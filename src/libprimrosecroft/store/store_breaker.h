#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>

/**
 * When a daemon may call the platform's store: circuit breaker, jittered probes while
 * it is out, and a budget for the time after its return. Pure, seeded decisions.
 */
namespace primrosecroft
{

struct store_breaker
{
    std::uint64_t seed = 0;
    double operationsPerSecond = 5.0; ///< of this daemon, for a while after the store's return

    bool reachable = true;
    std::uint32_t failures = 0; ///< in a row
    instant nextProbe;
    instant budgetUntil;
    double budget = 0.0; ///< operations that may be sent at once
    instant budgetUpdatedAt;
};

/// For so long after its return the store is spared.
inline constexpr std::chrono::seconds recoveryPeriod {10};

inline constexpr std::chrono::milliseconds minProbeInterval {500};
inline constexpr std::chrono::milliseconds maxProbeInterval {2'000};

/// A call of the store ended at @p now; @p isAnswered when the store itself answered.
void recordStoreResult(store_breaker &breaker, bool isAnswered, instant now);

/// True when a probe may be sent now; the next one then has to wait.
bool takeProbe(store_breaker &breaker, instant now);

/**
 * How long an operation has to wait before it is sent; zero takes it out of the budget.
 * Only for a store that is reachable.
 */
std::chrono::milliseconds takeOperation(store_breaker &breaker, instant now);

} // namespace primrosecroft
