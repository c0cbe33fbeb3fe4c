#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>

/**
 * Peers that speak HTTP byte by byte, so that tests can break off anywhere. They block
 * in threads of their own, while the test's thread runs the main loop.
 */
namespace primrosecroft::loopback
{

/// Ends what was read when the connection didn't close in order.
inline constexpr const char *resetMark = "[reset]";

/// One accepted connection, with blocking reads and writes.
class raw_connection
{
public:
    explicit raw_connection(int socket);
    ~raw_connection();
    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    void write(const std::string &bytes) const;

    /// Head and body of the next request; empty when the peer closed.
    std::string readRequest();

    /// All until the peer closes; stops after 20 s of silence.
    std::string readAll();

    /// Reads at the most @p size bytes.
    std::string readSome(std::size_t size);

    void close();

private:
    bool fill();

    int m_socket = -1;
    std::string m_buffer;
    bool m_wasReset = false;
};

/// Listens on a free port and hands each connection, numbered from 0, to @p script.
class scripted_peer
{
public:
    using script = std::function<void(raw_connection &connection, int number)>;

    explicit scripted_peer(script serve);
    ~scripted_peer();
    scripted_peer(const scripted_peer &) = delete;
    scripted_peer &operator=(const scripted_peer &) = delete;

    std::uint16_t port() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

/// Connects to a port of this host.
std::unique_ptr<raw_connection> connectTo(std::uint16_t port);

/// A port of this host on which nobody listens.
std::uint16_t closedPort();

/// Runs the main loop until @p isDone; false after 20 s.
bool runUntil(const std::function<bool()> &isDone);

/// Runs the main loop until the thread behind @p result is done.
template<typename value>
value await(std::future<value> result)
{
    using namespace std::chrono_literals;
    runUntil([&result] { return result.wait_for(0s) == std::future_status::ready; });
    return result.get();
}

/// Sends @p bytes and returns all that comes back until the connection closes.
std::string exchange(std::uint16_t port, const std::string &bytes);

} // namespace primrosecroft::loopback
