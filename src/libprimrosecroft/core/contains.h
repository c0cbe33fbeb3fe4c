#pragma once

#include <algorithm>
#include <functional>
#include <ranges>

namespace primrosecroft
{

/// std::ranges::contains of C++23, until the compilers in use have it.
template<std::ranges::input_range range, typename value, typename projection = std::identity>
bool contains(range &&values, const value &wanted, projection project = {})
{
    return std::ranges::find(values, wanted, project) != std::ranges::end(values);
}

} // namespace primrosecroft
