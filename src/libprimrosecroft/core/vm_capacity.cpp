#include "core/vm_capacity.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

constexpr std::int64_t usualMilliCores = 250;
constexpr std::int64_t usualLinkMbps = 1'000;
constexpr std::int64_t milliCoresPerMbps = 10; ///< processor time that an owner needs for the traffic of 1 Mbit/s

constexpr std::int64_t maxValue = 1'000'000'000; ///< a higher one, which another process may send, counts as this

} // namespace

std::int64_t carriedMilliCores(const vm_capacity &capacity)
{
    const auto milliCores = std::clamp<std::int64_t>(capacity.milliCores.value_or(usualMilliCores), 0, maxValue);
    const auto linkMbps = std::clamp<std::int64_t>(capacity.linkMbps.value_or(usualLinkMbps), 0, maxValue);
    return std::min(milliCores, linkMbps * milliCoresPerMbps);
}

bool isMuchWeaker(const vm_capacity &capacity, const vm_capacity &other)
{
    return carriedMilliCores(capacity) * 2 < carriedMilliCores(other);
}

} // namespace primrosecroft
