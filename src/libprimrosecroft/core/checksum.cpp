#include "core/checksum.h"

#include "io/glib_pointer.h"

namespace primrosecroft
{

std::string sha256(const std::string &text)
{
    const text_pointer hash(
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.data(), static_cast<gssize>(text.size())));
    return hash.get();
}

} // namespace primrosecroft
