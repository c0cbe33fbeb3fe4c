#pragma once

#include <string>
#include <string_view>

namespace primrosecroft
{

/// Text from outside as it may stand in a log line: control characters escaped, and cut at 400 bytes.
std::string logText(std::string_view text);

} // namespace primrosecroft
