#pragma once

#include "core/error.h"

#include <cmath>
#include <concepts>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace primrosecroft
{

/// Returns a value of a decoded row. Throws error if it has another type, a whole number is out of the type's range, a
/// number isn't finite or a text isn't valid UTF-8. A list becomes a container of such values.
template<typename value>
value rowValue(const nlohmann::json &source)
{
    const auto refuseUnless = [](bool isValid, const char *expected) {
        if (!isValid) {
            throw error("decode row", "", std::string("a value is not ") + expected);
        }
    };
    if constexpr (std::same_as<value, bool>) {
        refuseUnless(source.is_boolean(), "true or false");
        return source.get<bool>();
    } else if constexpr (std::integral<value>) {
        const bool isInRange = source.is_number_unsigned() ? std::in_range<value>(source.get<std::uint64_t>())
                                                           : std::in_range<value>(source.get<std::int64_t>());
        refuseUnless(source.is_number_integer() && isInRange, "a whole number in its range");
        return source.get<value>();
    } else if constexpr (std::floating_point<value>) {
        refuseUnless(source.is_number() && std::isfinite(source.get<value>()), "a finite number");
        return source.get<value>();
    } else if constexpr (std::same_as<value, std::string>) {
        refuseUnless(source.is_string(), "a text");
        const auto &text = source.get_ref<const std::string &>();
        const auto isValid = g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) != FALSE;
        refuseUnless(isValid, "valid UTF-8"); // it could not be sent on
        return text;
    } else if constexpr (std::same_as<value, nlohmann::json>) {
        return source;
    } else {
        refuseUnless(source.is_array(), "a list");
        value result;
        for (const auto &each : source) {
            result.insert(result.end(), rowValue<typename value::value_type>(each));
        }
        return result;
    }
}

/// Returns a whole number of a decoded row. Throws error if it isn't within @p min and @p max.
template<std::integral value>
value rowNumber(const nlohmann::json &source, value min, value max)
{
    const auto number = rowValue<value>(source);
    if (number < min || number > max) {
        throw error("decode row", "", "a number is not " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

} // namespace primrosecroft
