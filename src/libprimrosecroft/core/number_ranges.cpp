#include "core/number_ranges.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>

namespace primrosecroft
{

void insert(number_ranges &ranges, std::int32_t first, std::int32_t last)
{
    auto &known = ranges.lastByFirst;
    auto next = known.upper_bound(first);
    if (next != known.begin() && std::prev(next)->second >= first - 1) {
        --next; // overlaps or touches the range before
        first = next->first;
    }
    while (next != known.end() && next->first <= last + 1) {
        last = std::max(last, next->second);
        next = known.erase(next);
    }
    known.emplace(first, last);
}

bool contains(const number_ranges &ranges, std::int32_t number)
{
    const auto next = ranges.lastByFirst.upper_bound(number);
    return next != ranges.lastByFirst.begin() && std::prev(next)->second >= number;
}

std::int32_t firstMissing(const number_ranges &ranges, std::int32_t number)
{
    const auto next = ranges.lastByFirst.upper_bound(number);
    return contains(ranges, number) ? std::prev(next)->second + 1 : number;
}

std::int64_t countOf(const number_ranges &ranges)
{
    return std::transform_reduce(ranges.lastByFirst.begin(), ranges.lastByFirst.end(), std::int64_t {0}, std::plus<>(),
                                 [](const auto &range) { return std::int64_t {range.second} - range.first + 1; });
}

std::int32_t endOf(const number_ranges &ranges)
{
    return ranges.lastByFirst.empty() ? 0 : ranges.lastByFirst.rbegin()->second + 1;
}

} // namespace primrosecroft
