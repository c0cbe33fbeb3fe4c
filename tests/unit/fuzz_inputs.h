#pragma once

#include <cstddef>
#include <string>

namespace primrosecroft
{

/// Number of readers of outside input that are tested: of a sheet, of settings, of a demand in JSON, of a frame, and of
/// the store's rows of a job, its progress, its end, an owner, rules and contacted workers. What is read of a job and
/// its progress is also given to the cell.
inline constexpr std::size_t fuzzTargetCount = 10;

/// Returns a valid input of a reader.
std::string validInput(std::size_t target);

/// Returns true if the reader accepted @p input, false if it threw error. Any other exception is passed on.
bool acceptsInput(std::size_t target, const std::string &input);

} // namespace primrosecroft
