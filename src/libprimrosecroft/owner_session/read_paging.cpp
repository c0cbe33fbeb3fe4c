#include "owner_session/read_paging.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::int32_t minRows = 10;
constexpr std::int32_t maxRows = 500; ///< that the store returns in one page
constexpr auto slowPageTime = 400ms; ///< a quarter of the timeout
constexpr auto fastPageTime = 150ms;
constexpr int scanShare = 4; ///< one part of the time for scans, the others for the rest

} // namespace

void recordPage(read_paging &paging, instant sentAt, bool isRead, instant now)
{
    const auto took = now - sentAt;
    if (!isRead) {
        paging.rows /= 4;
    } else if (took > slowPageTime) {
        paging.rows /= 2;
    } else if (took < fastPageTime) {
        paging.rows *= 2;
    }
    paging.rows = std::clamp(paging.rows, minRows, maxRows);
}

duration pauseAfterScan(duration scanTime, duration interval)
{
    return std::max(interval - scanTime, (scanShare - 1) * scanTime);
}

} // namespace primrosecroft
