#pragma once

#include <cstddef>
#include <string>

namespace primrosecroft
{

/// Number of readers of outside input that are tested: of a sheet, of settings, of a demand in JSON and of a frame.
inline constexpr std::size_t fuzzTargetCount = 4;

/// Returns a valid input of a reader.
std::string validInput(std::size_t target);

/// Returns true if the reader accepted @p input, false if it threw error. Any other exception is passed on.
bool acceptsInput(std::size_t target, const std::string &input);

} // namespace primrosecroft
