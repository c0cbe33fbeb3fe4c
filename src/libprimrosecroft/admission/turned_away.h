#pragma once

#include "core/types.h"
#include "jobs/job.h"

#include <chrono>
#include <map>
#include <optional>

/// Memory of the jobs that were turned away, and may come back.
namespace primrosecroft
{

struct turned_away_job
{
    instant firstAt; ///< when the job was first turned away
    instant lastAt; ///< when it was last turned away
    std::chrono::milliseconds firstStoreTime {0}; ///< firstAt on the store's clock
    std::chrono::milliseconds lastStoreTime {0}; ///< lastAt on the store's clock
    std::chrono::milliseconds retryAfter {0}; ///< told to the caller the last time
};

using turned_away_jobs = std::map<job_id, turned_away_job>;

/// Records that the job is turned away, and forgets jobs whose callers have had time to come back.
void noteTurnedAway(turned_away_jobs &jobs, const job_id &id, std::chrono::milliseconds storeTime,
                    std::chrono::milliseconds retryAfter, instant now);

/// Returns whether a request that reached the system at @p receivedAt on the store's clock was sent before the job was
/// last turned away. It has been delayed, and its caller has the answer to a later one, so it must not be accepted.
bool isOvertaken(const turned_away_job &job, std::chrono::milliseconds receivedAt);

} // namespace primrosecroft
