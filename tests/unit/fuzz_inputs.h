#pragma once

#include <cstddef>
#include <string>

namespace primrosecroft
{

/// Readers of outside input: sheet, settings, a demand in JSON, and a frame of a peer.
inline constexpr std::size_t fuzzTargetCount = 4;

/// A whole and good input of one reader.
std::string fuzzExample(std::size_t target);

/// True when @p input was good, false when it was refused with error. Anything else escapes.
bool readFuzzed(std::size_t target, const std::string &input);

} // namespace primrosecroft
