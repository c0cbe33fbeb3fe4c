#pragma once

#include "io/http.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace primrosecroft
{

/**
 * Headers of a message as they arrive, in one text. As a list of strings, fields of a few bytes each would take twenty
 * times as much memory as their sender has sent.
 */
class header_text
{
public:
    /// Appends a piece of a field's name. A piece after a value begins the next field.
    void addName(std::string_view piece);

    /// Appends a piece of the value of the field that was begun last.
    void addValue(std::string_view piece);

    /// Returns the first value of the field @p name, compared case-insensitively; empty if there is none.
    std::string value(std::string_view name) const;

    /// Returns all fields.
    http_headers list() const;

    /// Returns the memory in use, in bytes.
    std::size_t heldBytes() const;

private:
    std::string m_text; ///< a line `name:value` for each field; neither part can hold a line end
    bool m_isInName = false;
};

} // namespace primrosecroft
