#pragma once

#include <cstdint>
#include <map>

namespace primrosecroft
{

/// A set of numbers that takes as much room as it has gaps.
struct number_ranges
{
    std::map<std::int32_t, std::int32_t> lastByFirst; ///< ranges that neither overlap nor touch

    friend bool operator==(const number_ranges &, const number_ranges &) = default;
};

/// Adds the numbers from @p first to @p last.
void insert(number_ranges &ranges, std::int32_t first, std::int32_t last);

bool contains(const number_ranges &ranges, std::int32_t number);

/// Returns the first number from @p number on that isn't in the set.
std::int32_t firstMissing(const number_ranges &ranges, std::int32_t number);

/// Returns how many numbers are in the set.
std::int64_t countOf(const number_ranges &ranges);

/// Returns the number after the largest one, or 0 if there is none.
std::int32_t endOf(const number_ranges &ranges);

} // namespace primrosecroft
