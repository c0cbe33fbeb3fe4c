#pragma once

#include <cstdint>
#include <optional>

namespace primrosecroft
{

/// What a process's VM lets it use. A value is unset if the settings don't tell it.
struct vm_capacity
{
    std::optional<std::int64_t> milliCores; ///< processor, in thousandths of a core
    std::optional<std::int64_t> linkMbps; ///< network link, in Mbit/s

    friend bool operator==(const vm_capacity &, const vm_capacity &) = default;
};

/**
 * Returns how much of a cell a process on such a VM can carry, in thousandths of a core: the processor, or the part of
 * it that the link can keep busy if that is less. An unknown value counts as that of a usual VM.
 */
std::int64_t carriedMilliCores(const vm_capacity &capacity);

/**
 * True if @p capacity carries less than half of what @p other carries. Less difference isn't worth a hand-over: the
 * cell's load varies by more than that.
 */
bool isMuchWeaker(const vm_capacity &capacity, const vm_capacity &other);

} // namespace primrosecroft
