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

/// Where a process listens for its peers.
struct peer_address
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const peer_address &, const peer_address &) = default;
};

std::string toString(const peer_address &peer);

/**
 * Framed Thrift messages between primrosecroft's own processes. Sending never
 * blocks: a peer that can't be reached loses messages, and its asker a reply.
 */
class peer_hub
{
public:
    /// What came in, and the way to answer it.
    using message_handler = std::function<void(const wire::Message &message, std::function<void(wire::Message)> reply)>;
    using reply_handler = std::function<void(std::optional<wire::Message> reply)>;

    peer_hub(const wire::Sender &self, message_handler handler);
    ~peer_hub();
    peer_hub(const peer_hub &) = delete;
    peer_hub &operator=(const peer_hub &) = delete;

    /// Throws error when the address can't be bound.
    void listen(const peer_address &address);

    /// Sends without waiting for a reply.
    void send(const peer_address &peer, const wire::Message &message);

    /// Sends and waits; no reply in time gives none.
    void ask(const peer_address &peer, wire::Message message, std::chrono::milliseconds timeout, reply_handler done);

    /// True when nobody listened there at the last try: the peer's process has ended.
    bool refusedConnection(const peer_address &peer) const;

    std::uint64_t messagesSent() const;
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct parts;
    std::shared_ptr<parts> m_parts;
};

} // namespace primrosecroft
