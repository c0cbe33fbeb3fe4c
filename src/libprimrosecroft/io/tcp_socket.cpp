#include "io/tcp_socket.h"

#include "core/clock.h"
#include "core/error.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t readBufferSize = std::size_t {64} * 1024;
constexpr int listenBacklog = 512; ///< pending connections; with a full queue a caller's connect takes seconds longer
constexpr int unacknowledgedTimeoutMs = 4'000; ///< ends a connection whose path drops packets

sockaddr_in toSocketAddress(const std::string &step, const std::string &address, std::uint16_t port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &result.sin_addr) != 1) {
        throw error(step, address, "not an IPv4 address");
    }
    return result;
}

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

int openSocket(const std::string &step, const std::string &peer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw error(step, peer, strerror(errno));
    }
    return descriptor;
}

} // namespace

tcp_socket::tcp_socket(int descriptor)
    : m_descriptor(descriptor)
    , m_readSize(readBufferSize)
{
    if (descriptor >= 0) {
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    }
}

tcp_socket::~tcp_socket()
{
    close();
}

void tcp_socket::start(handlers callbacks)
{
    m_handlers = std::move(callbacks);
    updateWatch();
}

bool tcp_socket::isDrained() const
{
    return m_written == m_queued.size();
}

bool tcp_socket::isClosed() const
{
    return m_descriptor < 0;
}

std::size_t tcp_socket::queuedBytes() const
{
    return m_queued.size() - m_written;
}

bool tcp_socket::isConnected() const
{
    sockaddr_in peer {};
    socklen_t size = sizeof peer;
    return !isClosed() && getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
}

bool tcp_socket::hasSent() const
{
    return m_hasSent;
}

void tcp_socket::write(std::string_view bytes)
{
    if (isClosed()) {
        return;
    }
    m_queued.append(bytes);
    flush();
    updateWatch();
}

void tcp_socket::setSendLimit(instant limit)
{
    m_sendLimit = limit;
}

void tcp_socket::flush()
{
    if (m_sendLimit && m_written == 0 && bootNow() >= *m_sendLimit) {
        m_queued = {};
        return;
    }
    while (!isDrained()) {
        const auto count = send(m_descriptor, m_queued.data() + m_written, m_queued.size() - m_written, MSG_NOSIGNAL);
        if (count < 0) {
            // Handled when the socket becomes ready next. The system reports an error only once.
            m_sendFault = errno == EAGAIN || errno == EINTR ? m_sendFault : errno;
            return;
        }
        m_written += static_cast<std::size_t>(count);
        m_hasSent = true;
    }
    m_queued = {}; // keeps no memory for the next bytes
    m_written = 0;
}

void tcp_socket::setReading(bool wanted)
{
    m_isReading = wanted;
    updateWatch();
}

void tcp_socket::setReadSize(std::size_t size)
{
    m_readSize = std::min(size, readBufferSize);
}

void tcp_socket::updateWatch()
{
    if (isClosed()) {
        return;
    }
    constexpr unsigned readable = G_IO_IN;
    constexpr unsigned writable = G_IO_OUT;
    const unsigned wanted = (m_isReading && !m_hasEnded ? readable : 0U) | (isDrained() ? 0U : writable);
    if (wanted == m_watched && m_source != 0) {
        return;
    }
    removeWatch();
    m_watched = wanted;
    if (wanted != 0 || !m_hasEnded) {
        m_source = g_unix_fd_add(
            m_descriptor, static_cast<GIOCondition>(wanted | G_IO_ERR | G_IO_HUP),
            [](int descriptor, GIOCondition condition, gpointer self) { return onReady(descriptor, condition, self); },
            this);
    }
}

void tcp_socket::removeWatch()
{
    if (m_source != 0) {
        g_source_remove(std::exchange(m_source, 0));
    }
}

/// A handler may close or destroy the socket, so at most one is called for each event, as the last action.
int tcp_socket::onReady(int /*descriptor*/, unsigned condition, void *self)
{
    auto &owner = *static_cast<tcp_socket *>(self);
    if ((condition & (G_IO_IN | G_IO_ERR | G_IO_HUP)) != 0 && (owner.m_isReading || (condition & G_IO_IN) == 0)) {
        owner.onReadable();
        return G_SOURCE_CONTINUE;
    }
    owner.flush();
    const auto drained = owner.isDrained() ? owner.m_handlers.drained : nullptr;
    owner.updateWatch(); // may replace the source that is being dispatched
    if (drained) {
        drained();
    }
    return G_SOURCE_CONTINUE;
}

void tcp_socket::onReadable()
{
    int fault = 0;
    socklen_t size = sizeof fault;
    getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &fault, &size);
    if (fault != 0 || m_sendFault != 0) {
        fail(fault != 0 ? fault : m_sendFault);
        return;
    }
    std::array<char, readBufferSize> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): read into
    const auto count = recv(m_descriptor, buffer.data(), m_readSize, 0);
    if (count > 0) {
        const auto bytesReceived = m_handlers.bytesReceived; // a copy, since the call may destroy the socket
        bytesReceived(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        return;
    }
    if (count == 0) {
        m_hasEnded = true;
        updateWatch();
        const auto ended = m_handlers.ended;
        ended();
        return;
    }
    if (errno != EAGAIN && errno != EINTR) {
        fail(errno);
    }
}

void tcp_socket::fail(int fault)
{
    const auto failed = m_handlers.failed;
    close();
    if (failed) {
        failed(fault);
    }
}

void tcp_socket::close()
{
    removeWatch();
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
    m_handlers = {};
}

void tcp_socket::reset()
{
    if (m_descriptor >= 0) {
        const linger none {1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    close();
}

int beginConnect(const std::string &address, std::uint16_t port)
{
    const auto target = toSocketAddress("connect", address, port);
    const int descriptor = openSocket("connect", address);
    const auto *generic = reinterpret_cast<const sockaddr *>(&target);
    if (connect(descriptor, generic, sizeof target) != 0 && errno != EINPROGRESS) {
        const std::string reason = strerror(errno);
        close(descriptor);
        throw error("connect", address + ':' + std::to_string(port), reason);
    }
    return descriptor;
}

int beginListen(const std::string &address, std::uint16_t port)
{
    const auto target = toSocketAddress("listen", address, port);
    const int descriptor = openSocket("listen", address);
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0
        || listen(descriptor, listenBacklog) != 0) {
        const std::string reason = strerror(errno);
        close(descriptor);
        throw error("listen", address + ':' + std::to_string(port), reason);
    }
    return descriptor;
}

std::uint16_t boundPort(int descriptor)
{
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&bound), &size);
    return ntohs(bound.sin_port);
}

int acceptConnection(int listener)
{
    return accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
}

} // namespace primrosecroft
