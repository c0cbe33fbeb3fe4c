#include "io/http.h"

#include <algorithm>
#include <glib.h>

namespace primrosecroft
{

std::string headerValue(const http_headers &headers, std::string_view name)
{
    const std::string wanted(name);
    const auto found = std::ranges::find_if(headers, [&wanted](const http_header &header) {
        return g_ascii_strcasecmp(header.name.c_str(), wanted.c_str()) == 0;
    });
    return found == headers.end() ? std::string() : found->value;
}

} // namespace primrosecroft
