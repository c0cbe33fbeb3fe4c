#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace primrosecroft
{

/// Returns std::nullopt unless the whole text is a decimal integer, with nothing before or after it, that fits.
std::optional<std::int64_t> parseInteger(std::string_view text);

} // namespace primrosecroft
