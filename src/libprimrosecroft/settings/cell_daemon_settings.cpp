#include "settings/cell_daemon_settings.h"

#include "core/error.h"

#include <charconv>

namespace primrosecroft
{

socket_address parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const auto *begin = text.data() + colon + 1;
        const auto [end, fault] = std::from_chars(begin, text.data() + text.size(), port);
        if (fault == std::errc() && end == text.data() + text.size() && port != 0 && colon > 0) {
            return {text.substr(0, colon), port};
        }
    }
    throw error("read address", text, "expected an IP address, a colon and a port");
}

} // namespace primrosecroft
