#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

/// The logarithmic scale on which times are compared.
namespace primrosecroft::detail
{

inline constexpr double maxTimeLog = 40; ///< far beyond any task's time

/// Binary logarithm of a time in milliseconds. Shorter times count as one millisecond.
inline double logOf(std::chrono::milliseconds time)
{
    return std::log2(static_cast<double>(std::max<std::int64_t>(time.count(), 1)));
}

inline std::chrono::milliseconds timeOf(double logarithm)
{
    return std::chrono::milliseconds(std::llround(std::exp2(std::clamp(logarithm, 0.0, maxTimeLog))));
}

} // namespace primrosecroft::detail
