#pragma once

#include <algorithm>
#include <functional>
#include <ranges>

namespace primrosecroft
{

/// Replacement for C++23's std::ranges::contains, until the compilers in use provide it.
template<std::ranges::input_range range, typename value, typename projection = std::identity>
bool contains(range &&values, const value &wanted, projection project = {})
{
    return std::ranges::find(values, wanted, project) != std::ranges::end(values);
}

} // namespace primrosecroft
