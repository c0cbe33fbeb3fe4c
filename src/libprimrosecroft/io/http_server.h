#pragma once

#include "io/http.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace primrosecroft
{

/**
 * One request of a caller and the means to respond. Every request gets exactly one response: complete, streamed, or
 * aborted in a way that the caller can't mistake for a complete one.
 */
class http_request
{
public:
    virtual ~http_request() = default;
    http_request() = default;
    http_request(const http_request &) = delete;
    http_request &operator=(const http_request &) = delete;

    virtual std::string method() const = 0;

    /// Returns the undecoded path, without the query.
    virtual std::string path() const = 0;

    /// Returns a decoded query parameter, or the whole undecoded query if @p name is empty; empty if there is none.
    virtual std::string query(const std::string &name) const = 0;
    virtual http_headers headers() const = 0;

    /// Returns the first value of the header @p name; empty if there is none.
    virtual std::string header(const std::string &name) const = 0;
    virtual std::string body() const = 0;

    /// Sends a complete response.
    virtual void answer(const http_response &answer) = 0;

    /// Sends the head of a response whose body follows in pieces.
    virtual void beginStream(unsigned status, const http_headers &headers) = 0;

    /// Sends a piece of the body. Calls @p written once the kernel has taken it, or the caller has disconnected.
    virtual void writePiece(std::string_view piece, std::function<void()> written) = 0;

    /// Completes a streamed response.
    virtual void endStream() = 0;

    /// Resets the connection, so that the caller can detect that the response is incomplete.
    virtual void abort() = 0;

    /// Returns true once the connection is closed, so that no response can reach the caller any more.
    virtual bool isDisconnected() const = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_request>)>;

struct http_server_limits
{
    std::size_t maxHeadSize = std::size_t {24} * 1024; ///< bytes of request line, fields and empty lines before them
    std::int64_t maxBodySize = std::int64_t {1024} * 1024; ///< bytes; a longer body is refused at once
    std::size_t maxHeldBytes = std::size_t {32} * 1024 * 1024; ///< by large requests together; see request_budget
    std::chrono::milliseconds requestTimeout {10'000}; ///< for a request to arrive completely
    std::size_t maxConnections = 2'000; ///< see eviction_order; also the limit on requests that handlers hold
};

/// Why a server has refused a request or closed a connection that its caller didn't expect to be closed.
enum class server_refusal
{
    headTooLong,
    bodyTooLong,
    noMemory, ///< other requests use the memory for requests
    madeRoom, ///< for a new connection
    requestTimeout, ///< the request hasn't arrived completely in time
    responseTimeout, ///< the caller hasn't taken the response in time
};

/// Returns the name for logs and metrics, such as `head-too-long`.
std::string toString(server_refusal reason);

/// Limits of a server for a few known clients with requests without a body.
http_server_limits fewClientsLimits();

/// HTTP server that passes each complete request to one handler.
class http_server
{
public:
    http_server(const http_server_limits &limits, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Starts to listen. Port 0 selects a free port. Throws error if the address can't be bound.
    void listen(const std::string &address, std::uint16_t port);

    /// Returns the port it listens on; 0 if it doesn't listen.
    std::uint16_t port() const;

    /// Calls @p report at each refusal from now on.
    void onRefusal(std::function<void(server_refusal reason)> report);

    /// Sets the limit on the heads of requests that haven't arrived yet, in bytes.
    void setMaxHeadSize(std::size_t size);

    /// Sets the limit on the bodies of requests whose head hasn't arrived yet, in bytes.
    void setMaxBodySize(std::int64_t size);

    /// Continues to serve, but closes each connection after its next response.
    void closeAfterResponses();

    /// Accepts no new connections. Open ones stay open until their next response.
    void stopListening();

    /// Returns the number of requests whose response isn't complete.
    std::size_t inFlight() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
