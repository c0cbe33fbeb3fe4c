#pragma once

#include <string>

namespace primrosecroft
{

/// Returns the content of a file. Throws error if it can't be read.
std::string readFile(const std::string &path);

} // namespace primrosecroft
