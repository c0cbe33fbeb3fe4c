#include "loopback.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <charconv>
#include <glib.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace primrosecroft::loopback
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t bufferSize = 65'536;
constexpr int receiveTimeoutSeconds = 20;

sockaddr_in addressOf(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int newSocket()
{
    const auto result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit {receiveTimeoutSeconds, 0};
    setsockopt(result, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return result;
}

std::uint16_t bindFreePort(int listener)
{
    auto address = addressOf(0);
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr *>(&address), size) != 0
        || getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        throw std::runtime_error("no free port");
    }
    return ntohs(address.sin_port);
}

std::size_t bodyLength(const std::string &head)
{
    static const std::string name = "content-length: ";
    auto lower = head;
    std::ranges::transform(lower, lower.begin(), [](char letter) { return g_ascii_tolower(letter); });
    const auto found = lower.find(name);
    std::size_t result = 0;
    if (found != std::string::npos) {
        std::from_chars(lower.data() + found + name.size(), lower.data() + lower.size(), result);
    }
    return result;
}

} // namespace

raw_connection::raw_connection(int socket)
    : m_socket(socket)
{
}

raw_connection::~raw_connection()
{
    close();
}

void raw_connection::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

void raw_connection::reset()
{
    const linger none {1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

void raw_connection::write(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        sent += static_cast<std::size_t>(count);
    }
}

bool raw_connection::fill()
{
    std::array<char, bufferSize> piece {};
    const auto count = recv(m_socket, piece.data(), piece.size(), 0);
    m_wasReset = count < 0;
    if (count <= 0) {
        return false;
    }
    m_buffer.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

std::string raw_connection::readRequest()
{
    static const std::string endOfHead = "\r\n\r\n";
    while (true) {
        const auto end = m_buffer.find(endOfHead);
        if (end != std::string::npos) {
            const auto size = end + endOfHead.size() + bodyLength(m_buffer.substr(0, end));
            if (m_buffer.size() >= size) {
                const auto result = m_buffer.substr(0, size);
                m_buffer.erase(0, size);
                return result;
            }
        }
        if (!fill()) {
            return {};
        }
    }
}

std::string raw_connection::readAll()
{
    while (fill()) {
    }
    return std::exchange(m_buffer, {}) + (m_wasReset ? resetMark : "");
}

std::string raw_connection::readSome(std::size_t size)
{
    if (m_buffer.empty()) {
        std::string piece(size, '\0');
        const auto count = recv(m_socket, piece.data(), piece.size(), 0);
        piece.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return piece;
    }
    const auto result = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return result;
}

struct scripted_peer::parts
{
    script serve;
    int listener = -1;
    std::uint16_t port = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> threads;
    std::thread accepting;

    void run()
    {
        for (int number = 0; !stopping; ++number) {
            const auto accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0 || stopping) {
                ::close(accepted);
                return;
            }
            const timeval limit {receiveTimeoutSeconds, 0};
            setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            threads.emplace_back([this, accepted, number] {
                raw_connection connection(accepted);
                serve(connection, number);
            });
        }
    }
};

scripted_peer::scripted_peer(script serve)
    : m_parts(std::make_unique<parts>())
{
    m_parts->serve = std::move(serve);
    m_parts->listener = newSocket();
    const timeval forever {};
    setsockopt(m_parts->listener, SOL_SOCKET, SO_RCVTIMEO, &forever, sizeof forever);
    m_parts->port = bindFreePort(m_parts->listener);
    listen(m_parts->listener, SOMAXCONN);
    m_parts->accepting = std::thread([this] { m_parts->run(); });
}

scripted_peer::~scripted_peer()
{
    m_parts->stopping = true;
    shutdown(m_parts->listener, SHUT_RDWR);
    m_parts->accepting.join();
    for (auto &thread : m_parts->threads) {
        thread.join();
    }
    ::close(m_parts->listener);
}

std::uint16_t scripted_peer::port() const
{
    return m_parts->port;
}

choked_peer::choked_peer()
    : m_listener(newSocket())
    , m_port(bindFreePort(m_listener))
{
    listen(m_listener, 0); // room for one pending connection
    m_pending = connectTo(m_port);
}

choked_peer::~choked_peer()
{
    shutdown(m_listener, SHUT_RDWR);
    if (m_serving.joinable()) {
        m_serving.join();
    }
    ::close(m_listener);
}

std::uint16_t choked_peer::port() const
{
    return m_port;
}

void choked_peer::serveNext(const std::string &response)
{
    ::close(accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC));
    m_serving = std::thread([this, response] {
        const auto accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            return;
        }
        raw_connection connection(accepted);
        connection.readRequest();
        connection.write(response);
        connection.readAll();
    });
}

std::unique_ptr<raw_connection> connectTo(std::uint16_t port)
{
    const auto socket = newSocket();
    const auto address = addressOf(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        throw std::runtime_error("no connection");
    }
    return std::make_unique<raw_connection>(socket);
}

std::uint16_t closedPort()
{
    const auto socket = newSocket();
    const auto result = bindFreePort(socket);
    ::close(socket);
    return result;
}

bool runUntil(const std::function<bool()> &isDone)
{
    const auto limit = std::chrono::steady_clock::now() + 20s;
    while (!isDone()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        if (!g_main_context_iteration(nullptr, FALSE)) {
            std::this_thread::sleep_for(1ms);
        }
    }
    return true;
}

std::string exchange(std::uint16_t port, const std::string &bytes)
{
    const auto connection = connectTo(port);
    connection->write(bytes);
    return connection->readAll();
}

} // namespace primrosecroft::loopback
