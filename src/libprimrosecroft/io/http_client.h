#pragma once

#include "core/error.h"
#include "io/http.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

namespace primrosecroft
{

struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    std::string contentType = "application/json";
    std::chrono::milliseconds timeout {2'000};

    /// A connection of its own, so that the library can't send the request a second time.
    bool needsFreshConnection = false;
};

/// No whole answer came.
struct http_failure
{
    error fault;
    bool sent = false; ///< a part of the request may have reached the peer
    bool timedOut = false;
    bool connectionRefused = false; ///< nobody listens there
};

using http_outcome = std::variant<http_response, http_failure>;

/**
 * One answer as it arrives. The owner asks for each piece, so a slow reader slows
 * the sender down instead of filling memory.
 */
class http_stream
{
public:
    struct handlers
    {
        std::function<void(unsigned status, http_headers headers)> begun;
        std::function<void(std::string_view piece)> arrived;
        std::function<void()> ended; ///< the answer is whole
        std::function<void(http_failure failure)> failed; ///< also after pieces have arrived
    };

    virtual ~http_stream() = default;
    http_stream() = default;
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// Asks for the next piece; at most one is outstanding.
    virtual void readMore() = 0;

    virtual void cancel() = 0;
};

/// What calls have cost on the network, heads included.
struct http_byte_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t calls = 0;
};

/**
 * HTTP calls to workers, upstreams and the platform. Never follows redirects and
 * never repeats a request by itself.
 */
class http_client
{
public:
    explicit http_client(unsigned connectionsPerHost = 8);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Exactly one outcome reaches @p done, unless the client is destroyed first.
    void call(const http_call &request, const std::function<void(http_outcome)> &done);

    /// Of calls to platform and workers; streamed requests of callers aren't control.
    const http_byte_counts &controlBytes() const;

    std::shared_ptr<http_stream> stream(const http_call &request, http_stream::handlers handlers);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
    std::shared_ptr<http_byte_counts> m_controlBytes = std::make_shared<http_byte_counts>();
};

} // namespace primrosecroft
