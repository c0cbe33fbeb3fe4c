#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace primrosecroft
{

/// What becomes of the workers that leave with a notice, one after the other, while new ones start.
enum class worker_replacement
{
    restarts, ///< they start again a second later, with another boot
    goneForGood,
};

/**
 * Runs an emulated cell with services, wide steps, gangs and bursts of urgent narrow jobs, some of them on queues with
 * advice. First workers are replaced one after the other, owners end or hand over and workers lose their connections;
 * then only services lose tasks. Returns the first violation, empty if there is none; a task that waits for long
 * although it could run is one. @p onTrace may be empty.
 */
std::string runLivenessSchedule(std::uint64_t seed, worker_replacement replacement,
                                const std::function<void(const std::string &line)> &onTrace = {});

} // namespace primrosecroft
