#pragma once

#include "core/types.h"

#include <cstdint>

/**
 * Sizes the pages in which an owner reads many rows, so that each page comes within the timeout of its read. On a
 * narrow or busy link a page that is too large never arrives: its read times out, is repeated, and keeps the link full.
 */
namespace primrosecroft
{

struct read_paging
{
    std::int32_t rows = 125; ///< limit of the next page
};

/// Adapts the size after a read that began at @p sentAt. @p isRead is false if it got no answer.
void recordPage(read_paging &paging, instant sentAt, bool isRead, instant now);

/// The pause after a scan that took @p scanTime, if scans should begin each @p interval: scans use at most a quarter of
/// the time.
duration pauseAfterScan(duration scanTime, duration interval);

} // namespace primrosecroft
