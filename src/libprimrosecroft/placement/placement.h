#pragma once

#include "core/types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * Chooses workers for tasks. Declared sizes are promises: a worker's free amounts
 * never go below zero, whatever is observed to be used.
 */
namespace primrosecroft
{

/// What a deployment weighs. Weights are relative to each other.
struct placement_policy
{
    double packingWeight = 1.0; ///< fills the fullest worker first
    double balanceWeight = 0.0; ///< keeps free cores and memory of a worker in proportion
    double spreadWeight = 0.0; ///< keeps a demand's tasks on different racks
    double strandingWeight = 10.0; ///< keeps accelerators free for what needs them
    double shortFirst = 0.0; ///< seconds that a demand's place in the queue falls back for each declared second
};

/// Longer declared run times push a demand no further back than this.
inline constexpr std::chrono::milliseconds longestHeadStart {120'000};

/// When a demand that arrived at @p arrival takes its place in the queue.
instant placeInQueue(instant arrival, std::chrono::milliseconds declaredRunTime, const placement_policy &policy);

/// A worker as placement sees it.
struct cell_worker
{
    worker_id id;
    std::string rack;
    resources total;
    resources free;
    resources held; ///< kept for a reservation, whether free yet or not
    bool schedulable = false;
    bool onProbation = false; ///< takes one task that may fail, to see whether the worker mended
};

using cell = std::map<worker_id, cell_worker>;

/// What one task needs, and what its siblings already occupy.
struct placement_request
{
    resources size;
    const std::map<std::string, std::int32_t> *tasksByRack = nullptr; ///< of the same demand
    const std::map<worker_id, std::int32_t> *avoided = nullptr; ///< workers where it failed
    bool usesHeld = false; ///< may take what is kept for a reservation
    bool mayProbe = false; ///< may be tried on a worker that failed tasks before
};

/**
 * The worker for one task by @p policy, or none when nothing schedulable has room.
 * Ties go to the smallest id, so that equal states give equal answers.
 */
std::optional<worker_id> chooseWorker(const cell &workers, const placement_request &request,
                                      const placement_policy &policy);

/// True when some worker could hold the size if it were empty.
bool couldEverFit(const cell &workers, const resources &size);

} // namespace primrosecroft
