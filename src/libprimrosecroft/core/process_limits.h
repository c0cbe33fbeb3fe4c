#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace primrosecroft
{

/// What a VM lets one process use. A value is unset if the settings don't tell it.
struct process_limits
{
    std::optional<std::size_t> memory; ///< bytes
    std::optional<std::size_t> descriptors; ///< open files and sockets

    friend bool operator==(const process_limits &, const process_limits &) = default;
};

} // namespace primrosecroft
