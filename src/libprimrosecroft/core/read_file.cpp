#include "core/read_file.h"

#include "core/error.h"

#include <fstream>
#include <iterator>

namespace primrosecroft
{

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw error("read file", "", "can't open " + path);
    }
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

} // namespace primrosecroft
