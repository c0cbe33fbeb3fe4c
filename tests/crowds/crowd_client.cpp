#include "crowd_client.h"

#include "core/error.h"
#include "io/tcp_socket.h"

#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace primrosecroft::crowds
{

namespace
{

using namespace std::chrono_literals;

constexpr auto reopenDelay = 100ms; ///< after the other side has closed a connection
constexpr int smallReceiveBuffer =
    4'096; ///< bytes; of a client that doesn't read, so that responses stay at the server

} // namespace

crowd_client::crowd_client(const misbehaviour &manner, std::string address, std::uint16_t port, crowd_tally &tally)
    : m_manner(manner)
    , m_address(std::move(address))
    , m_port(port)
    , m_tally(tally)
{
}

crowd_client::~crowd_client()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
    }
}

int crowd_client::descriptor() const
{
    return m_descriptor;
}

const std::string &crowd_client::current() const
{
    return m_isOpeningSent ? m_manner.repeated : m_manner.opening;
}

short crowd_client::wantedEvents() const
{
    const bool wantsToSend = m_sent < current().size();
    return static_cast<short>((wantsToSend ? POLLOUT : 0) | (m_manner.readsResponses ? POLLIN : 0));
}

void crowd_client::openIfDue()
{
    if (m_descriptor >= 0 || std::chrono::steady_clock::now() < m_openAt) {
        return;
    }
    m_isOpeningSent = m_manner.opening.empty();
    m_sent = 0;
    m_openAt = std::chrono::steady_clock::now() + reopenDelay;
    try {
        m_descriptor = beginConnect(m_address, m_port);
    } catch (const error &) {
        ++m_tally.closed;
        return;
    }
    ++m_tally.opened;
    if (!m_manner.readsResponses) {
        setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer, sizeof smallReceiveBuffer);
    }
}

void crowd_client::advance(short events)
{
    if ((events & POLLOUT) != 0) {
        send();
    }
    if (m_descriptor >= 0 && (events & POLLIN) != 0) {
        receive();
    }
    if (m_descriptor >= 0 && (events & (POLLERR | POLLHUP)) != 0) {
        close();
    }
}

void crowd_client::send()
{
    const auto &text = current();
    const auto count = ::send(m_descriptor, text.data() + m_sent, text.size() - m_sent, MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            close();
        }
        return;
    }
    m_sent += static_cast<std::size_t>(count);
    m_tally.sentBytes += static_cast<std::size_t>(count);
    if (m_sent < text.size()) {
        return;
    }
    if (!std::exchange(m_isOpeningSent, true) || !m_manner.repeated.empty()) {
        m_sent = 0;
    }
}

void crowd_client::receive()
{
    std::array<char, std::size_t {16} * 1024> buffer {};
    const auto count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        m_tally.receivedBytes += static_cast<std::size_t>(count);
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        close();
    }
}

void crowd_client::close()
{
    ::close(std::exchange(m_descriptor, -1));
    ++m_tally.closed;
    m_openAt = std::chrono::steady_clock::now() + reopenDelay;
}

} // namespace primrosecroft::crowds
