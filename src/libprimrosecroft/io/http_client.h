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

/// A request to send.
struct http_call
{
    std::string method = "GET";
    std::string url;
    http_headers headers;
    std::string body;
    std::string contentType = "application/json";
    /// For the whole response to arrive, unless maxTransferTime is set. The request isn't sent after that time.
    std::chrono::milliseconds timeout {2'000};

    /// Uses a new connection for this request only, even if the host has connectionsPerHost already. The peer may close
    /// a reused connection just as the request is sent, and then it is unknown whether the request was carried out.
    bool needsFreshConnection = false;

    /// If not 0, each piece of the response starts the timeout anew, and this limits the time for the whole response. A
    /// large response over a full link then arrives late, instead of being given up and requested again for ever.
    std::chrono::milliseconds maxTransferTime {0};

    /// If not empty, only an idle connection with this mark is used. Without one the call fails, and nothing is sent.
    std::string requiredMark {};
};

/// How far an exchange had come when it failed.
enum class http_stage
{
    waiting, ///< no connection was free
    connecting,
    sentOnNewConnection, ///< the request, or a part of it
    sentOnKeptConnection,
};

std::string toString(http_stage stage);

/// Reason why no complete response arrived.
struct http_failure
{
    error fault;
    bool isSent = false; ///< a part of the request may have reached the peer
    bool hasTimedOut = false;
    bool isConnectionRefused = false; ///< no process listens at the address
    http_stage stage = http_stage::waiting;
};

using http_outcome = std::variant<http_response, http_failure>;

/**
 * A response that is read while it arrives. The reader requests each piece, so that a slow reader slows the sender
 * down instead of letting data accumulate in memory.
 */
class http_stream
{
public:
    struct handlers
    {
        std::function<void(unsigned status, http_headers headers)> headReceived;
        std::function<void(std::string_view piece)> pieceReceived;
        std::function<void()> ended; ///< the response is complete
        std::function<void(http_failure failure)> failed; ///< may also come after some pieces
    };

    virtual ~http_stream() = default;
    http_stream() = default;
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;

    /// Requests the next piece. At most one request is outstanding.
    virtual void readMore() = 0;

    /// Ends the exchange; `failed` is called from the main loop.
    virtual void cancel() = 0;
};

/// Number of calls and their traffic in bytes, including heads.
struct http_byte_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t calls = 0;
};

/**
 * HTTP client for workers, upstreams and the platform. It neither follows redirects nor repeats a request on its own. A
 * connection that doesn't come up is tried once more, before anything has been sent.
 */
class http_client
{
public:
    explicit http_client(unsigned connectionsPerHost = 8);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a request and collects the response. Calls @p done exactly once, unless the client is destroyed first.
    void call(const http_call &request, const std::function<void(http_outcome)> &done);

    /// Returns whether a call of @p url that requires @p mark would find a connection now.
    bool hasIdleConnection(const std::string &url, const std::string &mark) const;

    /// Returns the traffic of call(), that is, of calls to the platform and workers. Streamed requests aren't counted.
    const http_byte_counts &callBytes() const;

    /// Sends a request; the response is passed to @p handlers piece by piece.
    std::shared_ptr<http_stream> stream(const http_call &request, http_stream::handlers handlers);

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
    std::shared_ptr<http_byte_counts> m_callBytes = std::make_shared<http_byte_counts>();
};

} // namespace primrosecroft
