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

inline constexpr std::size_t frameHeaderSize = 4;
inline constexpr std::size_t maxFrameBytes = std::size_t {2} * 1024 * 1024;

/// The message with its length in front.
std::string encodeFrame(const wire::Message &message);

/// Length of the body that follows @p head. Throws error when it is over maxFrameBytes.
std::size_t frameBodySize(std::string_view head);

/// Throws error when @p body is not one whole message.
wire::Message decodeFrameBody(std::string_view body);

} // namespace primrosecroft
