#pragma once

#include "core/types.h"

namespace primrosecroft
{

/**
 * Returns the current time of the clock for leases and timeouts. This clock (CLOCK_BOOTTIME) also advances while
 * the machine is suspended; otherwise a process that resumes would take an old confirmation for a recent one.
 */
instant bootNow();

/// Returns the wall-clock time in milliseconds since 1970 (UTC). It may jump, so only timed jobs depend on it.
std::chrono::milliseconds timeOfDay();

} // namespace primrosecroft
