#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace primrosecroft
{

namespace wire
{
class Message;
}

inline constexpr std::size_t frameHeaderSize = 4; ///< bytes; holds the length of the body, big endian
inline constexpr std::size_t maxFrameBytes = std::size_t {2} * 1024 * 1024; ///< of a frame's body

/// Encodes a message as a frame: header, then body. Throws error if the body exceeds maxFrameBytes.
std::string encodeFrame(const wire::Message &message);

/// Name of the field that is set in the message, for metrics. "other" if this build knows none.
const char *kindOf(const wire::Message &message);

/// Returns the length of the body that follows @p header. Throws error if it is 0 or exceeds maxFrameBytes.
std::size_t frameBodySize(std::string_view header);

/// Decodes the body of a frame. Throws error if @p body isn't exactly one message.
wire::Message decodeFrameBody(std::string_view body);

} // namespace primrosecroft
