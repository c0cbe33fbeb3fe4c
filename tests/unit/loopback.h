#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

/**
 * HTTP peers for tests that control each byte, so that a test can break off at any point. They run blocking calls in
 * threads of their own, while the test's thread runs the main loop.
 */
namespace primrosecroft::loopback
{

/// Appended to the bytes that were read if the connection didn't end with an orderly close.
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

    /// Reads the head and body of the next request; empty if the peer closed the connection.
    std::string readRequest();

    /// Reads until the peer closes the connection, or until no byte has arrived for 20 s.
    std::string readAll();

    /// Reads at most @p size bytes.
    std::string readSome(std::size_t size);

    void close();

    /// Closes the connection with a reset.
    void reset();

private:
    bool fill();

    int m_socket = -1;
    std::string m_buffer;
    bool m_wasReset = false;
};

/// Listens on a free port and passes each connection to the script, with its number, counted from 0.
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

/// Listens on a free port with a full queue of pending connections, like a peer under a burst: the opening packets of
/// further ones are dropped, and their kernel sends them again after a second.
class choked_peer
{
public:
    choked_peer();
    ~choked_peer();
    choked_peer(const choked_peer &) = delete;
    choked_peer &operator=(const choked_peer &) = delete;

    std::uint16_t port() const;

    /// Makes room in the queue, and answers the first request of the next connection with @p response.
    void serveNext(const std::string &response);

private:
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::unique_ptr<raw_connection> m_pending; ///< fills the queue
    std::thread m_serving;
};

/// Connects to a port of this host.
std::unique_ptr<raw_connection> connectTo(std::uint16_t port);

/// Returns a port of this host on which no process listens.
std::uint16_t closedPort();

/// Runs the main loop until @p isDone returns true. Returns false if that takes longer than 20 s.
bool runUntil(const std::function<bool()> &isDone);

/// Runs the main loop until @p result is ready, and returns its value.
template<typename value>
value await(std::future<value> result)
{
    using namespace std::chrono_literals;
    runUntil([&result] { return result.wait_for(0s) == std::future_status::ready; });
    return result.get();
}

/// Sends @p bytes and returns all bytes received until the connection closes.
std::string exchange(std::uint16_t port, const std::string &bytes);

} // namespace primrosecroft::loopback
