#include "core/base64.h"

#include "io/glib_pointer.h"

#include <glib.h>

namespace primrosecroft
{

std::string toBase64(const std::string &bytes)
{
    const text_pointer text(g_base64_encode(reinterpret_cast<const guchar *>(bytes.data()), bytes.size()));
    return text.get();
}

std::string fromBase64(const std::string &text)
{
    gsize size = 0;
    const text_pointer bytes(reinterpret_cast<char *>(g_base64_decode(text.c_str(), &size)));
    return {bytes.get(), size};
}

} // namespace primrosecroft
