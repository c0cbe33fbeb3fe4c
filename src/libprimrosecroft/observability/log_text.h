#pragma once

#include <string>
#include <string_view>

namespace primrosecroft
{

/**
 * Makes external text safe for a log line: bytes that aren't printable ASCII and backslashes are escaped, and only
 * the first 400 bytes are kept, followed by `...`.
 */
std::string logText(std::string_view text);

} // namespace primrosecroft
