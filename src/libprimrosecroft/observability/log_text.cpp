#include "observability/log_text.h"

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxTextBytes = 400;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;
constexpr std::string_view hexDigits = "0123456789abcdef";

} // namespace

std::string logText(std::string_view text)
{
    std::string result;
    for (const auto character : text.substr(0, maxTextBytes)) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '\\') {
            result += "\\\\";
        } else if (byte < firstPrintable || byte >= deleteCharacter) {
            result += "\\x";
            result += hexDigits[byte >> 4U];
            result += hexDigits[byte & 0xfU];
        } else {
            result += character;
        }
    }
    return text.size() > maxTextBytes ? result + "..." : result;
}

} // namespace primrosecroft
