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
    instant asOf; ///< on this process's clock
};

/// One of these counts, as a caller gets it.
struct waiting_count
{
    std::int64_t jobs = 0;
    process_id owner;
    row_version token = 0;
    std::chrono::milliseconds age {0};
};

/// Returns the count of the queue.
waiting_count countOf(const waiting_counts &counts, const queue_name &queue, instant now);

} // namespace primrosecroft
