#pragma once

#include "durations/duration_model.h"
#include "store/store.h"

#include <string>

/// The row by which an owner passes on what it has learned of durations to the next one.
namespace primrosecroft
{

inline constexpr std::size_t maxDurationRowBytes = std::size_t {16} * 1024;

row_place durationsPlace();

/// Encodes what was learned last, as much as fits into maxDurationRowBytes. Weights are rounded.
std::string encodeDurations(const duration_model &model);

/// Inverse of encodeDurations. Throws error if @p row is no such row, or one of another version.
duration_model decodeDurations(const std::string &row);

} // namespace primrosecroft
