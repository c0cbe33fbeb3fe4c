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
 * One request of a caller and the way to answer it. Every request gets exactly one
 * answer: whole, streamed, or cut off so that it can't be taken for whole.
 */
class http_request
{
public:
    virtual ~http_request() = default;
    http_request() = default;
    http_request(const http_request &) = delete;
    http_request &operator=(const http_request &) = delete;

    virtual std::string method() const = 0;
    virtual std::string path() const = 0;
    virtual std::string query(const std::string &name) const = 0;
    virtual http_headers headers() const = 0;
    virtual std::string header(const std::string &name) const = 0;
    virtual std::string body() const = 0;

    virtual void answer(const http_response &answer) = 0;

    virtual void beginStream(unsigned status, const http_headers &headers) = 0;

    /// @p written is called when the piece is on its way and the next may follow.
    virtual void writePiece(std::string_view piece, std::function<void()> written) = 0;
    virtual void endStream() = 0;

    /// Closes the connection, so that the caller sees a broken answer.
    virtual void abort() = 0;

    /// The caller closed its connection; nothing more can reach it.
    virtual bool isDisconnected() const = 0;
};

using http_handler = std::function<void(std::shared_ptr<http_request>)>;

struct http_server_limits
{
    std::int64_t maxBodySize = std::int64_t {1024} * 1024;
    std::chrono::milliseconds requestTimeout {10'000}; ///< for a request to arrive whole
    std::size_t maxConnections = 2'000; ///< open ones; further ones are closed at once
};

/// Listens for callers and hands each whole request to one handler.
class http_server
{
public:
    http_server(const http_server_limits &limits, http_handler handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Throws error when the address can't be bound. Port 0 takes a free one.
    void listen(const std::string &address, std::uint16_t port);

    std::uint16_t port() const;

    /// Goes on serving, but asks each caller to open a new connection after its answer.
    void closeAfterResponses();

    /// Takes no new connections; those in flight go on.
    void stopListening();

    std::size_t inFlight() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
