#pragma once

#include "core/types.h"

#include <algorithm>
#include <chrono>

namespace primrosecroft
{

inline constexpr std::chrono::milliseconds maxPassPause {200}; ///< longest pause after a scheduling pass

/// The earliest start of the scheduling pass that follows one from @p startedAt to @p endedAt. Passes leave half of the
/// time, or maxPassPause after one that took longer, for the process's other work.
inline instant earliestNextPass(instant startedAt, instant endedAt)
{
    return endedAt + std::min<duration>(endedAt - startedAt, maxPassPause);
}

} // namespace primrosecroft
