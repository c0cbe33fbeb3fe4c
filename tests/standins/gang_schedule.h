#pragma once

#include "cell_emulation.h"

#include <cstdint>
#include <functional>
#include <string>

namespace primrosecroft
{

/// Runs the schedule of a seed: gangs over several workers, some of whose starts reach no worker, and owners that hand
/// over while gangs start; there is no other trouble. Returns the violation, empty if there is none: one of the
/// emulation's, a member of a gang that waited for others until its worker ended it, or a job that hasn't ended long
/// after the last one came. @p onTrace may be empty.
std::string runGangSchedule(std::uint64_t seed, const std::function<void(const std::string &line)> &onTrace,
                            disabled_rule mutation = disabled_rule::none);

} // namespace primrosecroft
