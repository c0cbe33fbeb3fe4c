#include "callers/waiting_counts.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxCountAge = 2'000ms; ///< older counts aren't shown to callers

} // namespace

std::optional<waiting_count> countOf(const std::optional<waiting_counts> &counts, const queue_name &queue, instant now)
{
    if (!counts || counts->asOf + maxCountAge < now) {
        return std::nullopt;
    }
    const auto found = counts->jobs.find(queue);
    waiting_count result;
    result.jobs = found == counts->jobs.end() ? 0 : found->second;
    result.owner = counts->owner;
    result.token = counts->token;
    result.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - counts->asOf);
    return result;
}

instant countsHoldAsOf(instant confirmedAt, instant scannedAt, std::chrono::milliseconds scanInterval)
{
    return std::min(confirmedAt, scannedAt + scanInterval);
}

void keepLater(std::optional<waiting_counts> &kept, waiting_counts received)
{
    if (!kept || kept->asOf < received.asOf) {
        kept = std::move(received);
    }
}

} // namespace primrosecroft
