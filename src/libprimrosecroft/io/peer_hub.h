#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace primrosecroft
{

namespace wire
{
class Message;
class Sender;
} // namespace wire

/// Address at which a process listens for its peers.
struct peer_address
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const peer_address &, const peer_address &) = default;
};

std::string toString(const peer_address &peer);

/// Frames of one kind of message, and their bytes with headers.
struct frame_traffic
{
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t receivedBytes = 0;
};

/**
 * Exchanges framed Thrift messages with primrosecroft's other processes. Sending never blocks: messages to a peer
 * that can't be reached are lost, and requests to it end without a reply.
 */
class peer_hub
{
public:
    /// Called for each incoming message that isn't a reply. @p reply sends the reply to it; calling it is optional.
    using message_handler = std::function<void(const wire::Message &message, std::function<void(wire::Message)> reply)>;

    /// Called with the reply to a request, or with std::nullopt if none arrived.
    using reply_handler = std::function<void(std::optional<wire::Message> reply)>;

    peer_hub(const wire::Sender &self, message_handler handler);
    ~peer_hub();
    peer_hub(const peer_hub &) = delete;
    peer_hub &operator=(const peer_hub &) = delete;

    /// Starts to listen. Throws error if the address can't be bound.
    void listen(const peer_address &address);

    /// Sends a message that needs no reply.
    void send(const peer_address &peer, const wire::Message &message);

    /// Sends a request. Calls @p done once, with the reply or, after the timeout or a lost connection, std::nullopt;
    /// doesn't call it if the hub is destroyed first.
    void ask(const peer_address &peer, wire::Message message, std::chrono::milliseconds timeout, reply_handler done);

    /// Returns true if the last connection attempt to the peer was refused, that is, if the peer's process has ended.
    bool refusedConnection(const peer_address &peer) const;

    /// Returns the number of messages sent since construction, including replies.
    std::uint64_t messagesSent() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

    /// Traffic since construction, by kind of message.
    const std::map<std::string, frame_traffic> &traffic() const;

private:
    struct parts;
    std::shared_ptr<parts> m_parts;
};

} // namespace primrosecroft
