#include "admission/turned_away.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto memoryTime = 2min; ///< a caller that hasn't come back by then begins anew
constexpr std::size_t maxJobs = 20'000;
constexpr auto clockTolerance = 200ms; ///< by which the processes' readings of the store's clock may differ

} // namespace

void noteTurnedAway(turned_away_jobs &jobs, const job_id &id, std::chrono::milliseconds storeTime,
                    std::chrono::milliseconds retryAfter, instant now)
{
    if (jobs.size() >= maxJobs) {
        std::erase_if(jobs, [now](const auto &each) { return each.second.lastAt + memoryTime < now; });
    }
    if (jobs.size() >= maxJobs) {
        jobs.erase(std::ranges::min_element(jobs, {}, [](const auto &each) { return each.second.lastAt; }));
    }
    const auto [found, isNew] = jobs.try_emplace(id);
    auto &job = found->second;
    if (isNew || job.lastAt + memoryTime < now) {
        job.firstAt = now;
        job.firstStoreTime = storeTime;
    }
    job.lastAt = now;
    job.lastStoreTime = storeTime;
    job.retryAfter = retryAfter;
}

bool isOvertaken(const turned_away_job &job, std::chrono::milliseconds receivedAt)
{
    return receivedAt.count() > 0 && receivedAt <= job.lastStoreTime + clockTolerance;
}

} // namespace primrosecroft
