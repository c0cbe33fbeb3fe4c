#include "core/parse_integer.h"

#include <charconv>

namespace primrosecroft
{

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t value = 0;
    const auto [stop, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    return status == std::errc {} && stop == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

} // namespace primrosecroft
