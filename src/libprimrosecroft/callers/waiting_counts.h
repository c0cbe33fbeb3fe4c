#pragma once

#include "core/types.h"
#include "queues/queue_table.h"
#include "store/store.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

/// The counts of waiting jobs that callers ask for, with their origin and age.
namespace primrosecroft
{

/// For each queue, the number of its live jobs of which no task has started, as an owner knew them.
struct waiting_counts
{
    std::map<queue_name, std::int64_t> jobs; ///< a queue without such jobs is missing
    process_id owner;
    row_version token = 0; ///< fencing token of that owner
    instant asOf; ///< the counts held at this moment of this process's clock, or later
};

/// One of these counts, as a caller gets it.
struct waiting_count
{
    std::int64_t jobs = 0;
    process_id owner;
    row_version token = 0;
    std::chrono::milliseconds age {0};
};

/// Returns the count of the queue, or std::nullopt if there are no counts or they are too old to be shown to callers.
std::optional<waiting_count> countOf(const std::optional<waiting_counts> &counts, const queue_name &queue, instant now);

/**
 * Returns the moment as of which an owner's counts hold. It owned the shard at @p confirmedAt, and knows all jobs that
 * were stored before @p scannedAt. Jobs stored later by other processes may be unknown until the next scan, which is
 * due after @p scanInterval, so the counts age only while that one is overdue.
 */
instant countsHoldAsOf(instant confirmedAt, instant scannedAt, std::chrono::milliseconds scanInterval);

/// Keeps the counts that hold as of the later moment.
void keepLater(std::optional<waiting_counts> &kept, waiting_counts received);

} // namespace primrosecroft
