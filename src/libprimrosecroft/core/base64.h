#pragma once

#include <string>

namespace primrosecroft
{

std::string toBase64(const std::string &bytes);

/// Inverse of toBase64. Skips characters that aren't of the encoding.
std::string fromBase64(const std::string &text);

} // namespace primrosecroft
