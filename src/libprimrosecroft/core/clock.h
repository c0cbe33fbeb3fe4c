#pragma once

#include "core/types.h"

namespace primrosecroft
{

/**
 * The process's clock for leases and timeouts. It goes on while the machine is suspended
 * (CLOCK_BOOTTIME), so that a process that wakes doesn't take an old confirmation for a new one.
 */
instant bootNow();

/// The time of day in milliseconds since 1970. It may jump; only timed jobs go by it.
std::chrono::milliseconds timeOfDay();

} // namespace primrosecroft
