#pragma once

#include "cell_emulation.h"

#include <cstdint>
#include <functional>
#include <string>

/**
 * Seeded schedules in which workspaces send more than their limits let run, limits are lowered and raised, jobs are
 * cancelled, orders are lost or late, and owners change while workers don't answer.
 */
namespace primrosecroft
{

/// Runs the schedule of a seed. Returns the violation of the emulation, or a text if a job hasn't ended long after the
/// last fault; empty if there is none. @p onTrace may be empty.
std::string runLimitSchedule(std::uint64_t seed, const std::function<void(const std::string &line)> &onTrace,
                             disabled_rule mutation = disabled_rule::none);

} // namespace primrosecroft
