#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace primrosecroft
{

/**
 * One non-blocking TCP connection on the main loop. Bytes that the peer doesn't take yet wait
 * here; bytes that the owner doesn't want yet wait in the kernel.
 */
class tcp_socket
{
public:
    struct handlers
    {
        std::function<void(std::string_view bytes)> arrived;
        std::function<void()> ended; ///< the peer sends no more
        std::function<void(int fault)> failed; ///< with the system's error number
        std::function<void()> drained; ///< all bytes are with the kernel
    };

    /// Takes over @p descriptor; a negative one makes a socket that failed already.
    explicit tcp_socket(int descriptor);
    ~tcp_socket();
    tcp_socket(const tcp_socket &) = delete;
    tcp_socket &operator=(const tcp_socket &) = delete;

    void start(handlers callbacks);

    /// Never blocks. A failure is told by `failed`, from the main loop.
    void write(std::string_view bytes);

    void setReading(bool wanted);
    bool isDrained() const;
    bool isClosed() const;

    std::size_t queuedBytes() const;

    /// True once the kernel took a byte, so that the peer may have it.
    bool hasSent() const;

    /// No callback comes after this. What waits to be written is dropped.
    void close();

    /// Like close(), but the peer sees a reset, so that a cut answer can't look whole (RFC 9293, 3.10.5).
    void reset();

private:
    static int onReady(int descriptor, unsigned condition, void *self);
    void onReadable();
    void flush();
    void watch();
    void unwatch();
    void fail(int fault);

    int m_descriptor;
    unsigned m_source = 0;
    unsigned m_watched = 0;
    bool m_isReading = true;
    bool m_ended = false;
    bool m_hasSent = false;
    std::size_t m_written = 0; ///< bytes of m_queued that are with the kernel
    std::string m_queued;
    handlers m_handlers;
};

/// Begins to connect to @p address, an IP number. Throws error when it isn't one.
int beginConnect(const std::string &address, std::uint16_t port);

/// Listens; port 0 takes a free one. Throws error when the address can't be bound.
int beginListen(const std::string &address, std::uint16_t port);

std::uint16_t boundPort(int descriptor);

/// The next connection that waits, or -1.
int acceptConnection(int listener);

} // namespace primrosecroft
