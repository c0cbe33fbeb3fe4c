#pragma once

#include "core/types.h"

#include <chrono>
#include <optional>

/**
 * Measures how late the regular ticks of a process come. A process that is late persistently has more work than its VM
 * can do, whatever the settings tell of it.
 */
namespace primrosecroft
{

/// Changed only by recordTick().
struct tick_lateness
{
    std::optional<instant> lastTickAt;
    std::chrono::duration<double, std::milli> smoothed {0}; ///< by how much ticks came too late recently
    std::optional<instant> lateSince; ///< since when `smoothed` has exceeded maxLateness; unset if it doesn't
};

constexpr std::chrono::milliseconds maxLateness {150}; ///< a process whose ticks are later than this is late

/// Records a tick at @p now that was due @p interval after the one before.
void recordTick(tick_lateness &lateness, std::chrono::milliseconds interval, instant now);

} // namespace primrosecroft
