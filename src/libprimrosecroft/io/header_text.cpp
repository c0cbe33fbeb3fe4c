#include "io/header_text.h"

#include <algorithm>
#include <glib.h>

namespace primrosecroft
{

namespace
{

constexpr char nameEnd = ':';
constexpr char fieldEnd = '\n';

/// Calls @p visit with name and value of each field, until it returns false.
template<typename visitor>
void visitFields(std::string_view text, const visitor &visit)
{
    while (!text.empty()) {
        const auto line = text.substr(0, text.find(fieldEnd));
        const auto colon = line.find(nameEnd);
        const auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (!visit(line.substr(0, colon), value)) {
            return;
        }
        text.remove_prefix(std::min(text.size(), line.size() + 1));
    }
}

} // namespace

void header_text::addName(std::string_view piece)
{
    if (!m_isInName && !m_text.empty()) {
        m_text += fieldEnd;
    }
    m_isInName = true;
    m_text.append(piece);
}

void header_text::addValue(std::string_view piece)
{
    if (m_isInName) {
        m_text += nameEnd;
    }
    m_isInName = false;
    m_text.append(piece);
}

std::string header_text::value(std::string_view name) const
{
    const auto equalsName = [name](std::string_view other) {
        return std::ranges::equal(name, other, {}, g_ascii_tolower, g_ascii_tolower);
    };
    std::string result;
    visitFields(m_text, [&](std::string_view field, std::string_view value) {
        if (!equalsName(field)) {
            return true;
        }
        result = value;
        return false;
    });
    return result;
}

http_headers header_text::list() const
{
    http_headers result;
    visitFields(m_text, [&result](std::string_view field, std::string_view value) {
        result.push_back({std::string(field), std::string(value)});
        return true;
    });
    return result;
}

std::size_t header_text::heldBytes() const
{
    return m_text.capacity();
}

} // namespace primrosecroft
