#pragma once

#include "core/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace primrosecroft
{

/**
 * One non-blocking TCP connection on the main loop. Bytes that the kernel can't take yet are queued here; while
 * reading is disabled, received bytes stay in the kernel.
 */
class tcp_socket
{
public:
    struct handlers
    {
        std::function<void(std::string_view bytes)> bytesReceived;
        std::function<void()> ended; ///< the peer has closed its side and sends no more
        std::function<void(int fault)> failed; ///< called with the system's error number
        std::function<void()> drained; ///< the kernel has taken all queued bytes
    };

    /// Takes ownership of @p descriptor. If it is negative, the socket is closed from the start.
    explicit tcp_socket(int descriptor);
    ~tcp_socket();
    tcp_socket(const tcp_socket &) = delete;
    tcp_socket &operator=(const tcp_socket &) = delete;

    /// Starts to read and to call the handlers.
    void start(handlers callbacks);

    /// Queues bytes and never blocks. A failure is reported by `failed`, from the main loop.
    void write(std::string_view bytes);

    /// Bytes that are queued now or later are discarded if the kernel has taken none of them by @p limit.
    void setSendLimit(instant limit);

    /// Enables or disables reading. While it is disabled, flow control slows the peer down.
    void setReading(bool wanted);

    /// Limits the bytes that `bytesReceived` gets at once.
    void setReadSize(std::size_t size);

    /// Returns true if the kernel has taken all bytes written so far.
    bool isDrained() const;
    bool isClosed() const;

    /// Returns the number of bytes that the kernel hasn't taken yet.
    std::size_t queuedBytes() const;

    /// Returns true once the connection has come up, also before the main loop has noticed that.
    bool isConnected() const;

    /// Returns true once the kernel has taken a byte, so that the peer may have received it.
    bool hasSent() const;

    /// Closes the connection and discards queued bytes. No handler is called afterwards.
    void close();

    /// Like close(), but sends a reset, so that the peer can't take a truncated response for a complete one
    /// (RFC 9293, 3.10.5).
    void reset();

private:
    static int onReady(int descriptor, unsigned condition, void *self);
    void onReadable();
    void flush();
    void updateWatch();
    void removeWatch();
    void fail(int fault);

    int m_descriptor;
    unsigned m_source = 0; ///< id of the GLib source that watches the descriptor; 0 for none
    unsigned m_watched = 0; ///< conditions that it watches, as GIOCondition flags
    std::size_t m_readSize; ///< bytes that are read at most at once
    bool m_isReading = true;
    bool m_hasEnded = false;
    bool m_hasSent = false;
    std::optional<instant> m_sendLimit;
    int m_sendFault = 0; ///< error number of a send that failed; 0 for none
    std::size_t m_written = 0; ///< bytes of m_queued that the kernel has taken
    std::string m_queued;
    handlers m_handlers;
};

/// Starts a connection to an IPv4 address and returns its descriptor. Throws error if the address is invalid or the
/// connection fails at once.
int beginConnect(const std::string &address, std::uint16_t port);

/// Listens at an IPv4 address and returns the descriptor. Port 0 selects a free port. Throws error if the address is
/// invalid or can't be bound.
int beginListen(const std::string &address, std::uint16_t port);

/// Returns the local port of a socket.
std::uint16_t boundPort(int descriptor);

/// Accepts the next pending connection and returns its descriptor, or -1 if there is none.
int acceptConnection(int listener);

} // namespace primrosecroft
