#pragma once

#include <chrono>

/// Times of the calls by which an owner reads the store.
namespace primrosecroft
{

inline constexpr std::chrono::milliseconds readTimeout {1'500};
inline constexpr std::chrono::milliseconds readRetryDelay {80}; ///< between a failed read and the next one
inline constexpr std::chrono::milliseconds pollTimeout {
    700}; ///< in addition to the time that a poll waits for a change

} // namespace primrosecroft
