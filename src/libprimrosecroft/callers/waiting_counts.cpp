#include "callers/waiting_counts.h"

namespace primrosecroft
{

waiting_count countOf(const waiting_counts &counts, const queue_name &queue, instant now)
{
    const auto found = counts.jobs.find(queue);
    waiting_count result;
    result.jobs = found == counts.jobs.end() ? 0 : found->second;
    result.owner = counts.owner;
    result.token = counts.token;
    result.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - counts.asOf);
    return result;
}

} // namespace primrosecroft
