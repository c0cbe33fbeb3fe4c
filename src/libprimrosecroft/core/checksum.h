#pragma once

#include <string>

namespace primrosecroft
{

/// SHA-256 in lower-case hexadecimal digits.
std::string sha256(const std::string &text);

} // namespace primrosecroft
