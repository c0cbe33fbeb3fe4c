#include "io/http_client.h"

#include "core/clock.h"
#include "io/tcp_socket.h"
#include "io/timer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <deque>
#include <glib.h>
#include <http_parser.h>
#include <list>
#include <map>
#include <optional>
#include <utility>

namespace primrosecroft
{

namespace
{

/// A connection that takes longer to come up is made once more: its first packet may have been dropped, and the kernel
/// sends that again only after a second. A few round trips between regions.
constexpr std::chrono::milliseconds maxConnectTime {200};

/// So that the second connection has most of a short timeout.
constexpr int connectTimeDivisor = 3;

constexpr std::size_t maxResponseBytes = std::size_t {16} * 1024 * 1024; ///< limit on the body of a response to call()

/// Address, port and path of a URL.
struct http_target
{
    std::string address;
    std::uint16_t port = 80;
    std::string path;

    std::string host() const
    {
        return address + ':' + std::to_string(port);
    }
};

std::optional<http_target> parseTarget(const std::string &url)
{
    http_parser_url parts;
    http_parser_url_init(&parts);
    if (http_parser_parse_url(url.data(), url.size(), 0, &parts) != 0 || (parts.field_set & (1U << UF_HOST)) == 0) {
        return std::nullopt;
    }
    const auto field = [&](unsigned index) {
        return url.substr(parts.field_data[index].off, parts.field_data[index].len);
    };
    http_target result;
    result.address = field(UF_HOST);
    if (parts.port != 0) {
        result.port = parts.port;
    }
    const auto authorityEnd = url.find('/', url.find("//") + 2);
    result.path = authorityEnd == std::string::npos ? "/" : url.substr(authorityEnd);
    return result;
}

std::string requestHead(const http_call &request, const http_target &target)
{
    std::string head = request.method + ' ' + target.path + " HTTP/1.1\r\n";
    if (headerValue(request.headers, "Host").empty()) {
        head += "Host: " + target.host() + "\r\n";
    }
    for (const auto &header : request.headers) {
        head += header.name + ": " + header.value + "\r\n";
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        if (!request.body.empty() && headerValue(request.headers, "Content-Type").empty()) {
            head += "Content-Type: " + request.contentType + "\r\n";
        }
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return head + "\r\n";
}

class response_stream;

/// One connection to a host: idle, or in use by one exchange.
struct client_connection
{
    explicit client_connection(int descriptor)
        : socket(descriptor)
    {
        http_parser_init(&parser, HTTP_RESPONSE);
    }

    tcp_socket socket;
    http_parser parser {};
    response_stream *stream = nullptr; ///< exchange that uses the connection; nullptr if it is idle
    connection_mark mark = std::make_shared<std::string>();
};

/// Connections to one host, and the exchanges that wait for one.
struct host_pool
{
    std::list<std::unique_ptr<client_connection>> connections;
    std::deque<std::weak_ptr<response_stream>> waiting; ///< in order of their start
};

/// Returns an idle connection with the mark, or with any if @p mark is empty; nullptr if there is none.
client_connection *findIdle(const host_pool &pool, const std::string &mark)
{
    const auto idle = std::ranges::find_if(pool.connections, [&mark](const auto &each) {
        return each->stream == nullptr && (mark.empty() || *each->mark == mark);
    });
    return idle == pool.connections.end() ? nullptr : idle->get();
}

struct connection_pools : std::enable_shared_from_this<connection_pools>
{
    unsigned connectionsPerHost = 8;
    std::map<std::string, host_pool> hosts;
    bool isClosing = false;

    void remove(const std::string &host, client_connection *connection)
    {
        auto &pool = hosts[host];
        std::erase_if(pool.connections, [connection](const auto &each) { return each.get() == connection; });
    }

    /// Starts the first exchange that still waits for a connection to @p host.
    void startNextWaiting(const std::string &host);
};

/// One exchange of request and response. It holds a reference to itself until its last callback has run.
class response_stream : public http_stream, public std::enable_shared_from_this<response_stream>
{
public:
    response_stream(const http_call &request, handlers callbacks, std::shared_ptr<connection_pools> pools)
        : m_handlers(std::move(callbacks))
        , m_pools(std::move(pools))
        , m_method(request.method)
        , m_step(request.method + ' ' + request.url)
        , m_needsFreshConnection(request.needsFreshConnection)
        , m_requiredMark(request.requiredMark)
        , m_timeout(request.timeout)
        , m_maxTransferTime(request.maxTransferTime)
        , m_target(parseTarget(request.url))
    {
        if (m_target) {
            m_request = requestHead(request, *m_target) + request.body;
        }
    }

    ~response_stream() override
    {
        cancelDelivery();
    }

    response_stream(const response_stream &) = delete;
    response_stream &operator=(const response_stream &) = delete;

    /// Sets the counts to which the exchange adds its traffic when it ends.
    void setByteCounts(std::shared_ptr<http_byte_counts> bytes)
    {
        m_bytes = std::move(bytes);
    }

    void start()
    {
        m_self = shared_from_this();
        if (!m_target) {
            failLater("the URL is invalid");
            return;
        }
        m_startedAt = bootNow();
        startTimeout(m_timeout);
        begin();
    }

    /// Uses an idle connection, opens a new one, or waits for one if the host has connectionsPerHost already.
    void begin()
    {
        auto &pool = m_pools->hosts[m_target->host()];
        if (!m_needsFreshConnection) {
            if (auto *idle = findIdle(pool, m_requiredMark)) {
                use(*idle);
                return;
            }
        }
        if (!m_requiredMark.empty()) {
            failLater("no idle connection has the required mark");
            return;
        }
        if (pool.connections.size() >= m_pools->connectionsPerHost && !m_needsFreshConnection) {
            pool.waiting.push_back(weak_from_this());
            return;
        }
        open(pool);
        openAgainIfLate();
    }

    void readMore() override
    {
        if (m_isReadRequested || m_isFinished) {
            return;
        }
        m_isReadRequested = true;
        if (!m_buffer.empty() || m_isComplete) {
            deliverLater();
        } else if (m_connection != nullptr) {
            m_connection->socket.setReading(true);
        }
    }

    void cancel() override
    {
        failLater("cancelled");
    }

    bool isWaiting() const
    {
        return !m_isFinished && m_connection == nullptr;
    }

    connection_mark mark() const
    {
        return m_mark;
    }

private:
    void startTimeout(std::chrono::milliseconds timeout)
    {
        m_deadline.once(timeout, [this] {
            m_hasTimedOut = true;
            fail("no response within the timeout");
        });
    }

    /// Gives the rest of the response another timeout, as long as maxTransferTime allows it.
    void extendTimeout()
    {
        if (m_maxTransferTime.count() == 0 || m_isFinished) {
            return;
        }
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_startedAt + m_maxTransferTime - bootNow());
        startTimeout(std::clamp(remaining, std::chrono::milliseconds(0), m_timeout));
    }

    void open(host_pool &pool)
    {
        int descriptor = -1;
        try {
            descriptor = beginConnect(m_target->address, m_target->port);
        } catch (const error &fault) {
            failLater(fault.what());
            return;
        }
        pool.connections.push_back(std::make_unique<client_connection>(descriptor));
        auto &connection = *pool.connections.back();
        const auto pools = m_pools;
        const auto host = m_target->host();
        tcp_socket::handlers callbacks;
        callbacks.bytesReceived = [&connection, pools, host](std::string_view bytes) {
            if (connection.stream == nullptr) {
                pools->remove(host, &connection); // unsolicited bytes: the framing is lost
                return;
            }
            connection.stream->onBytes(bytes);
        };
        callbacks.ended = [&connection, pools, host] {
            if (connection.stream == nullptr) {
                pools->remove(host, &connection);
                return;
            }
            connection.stream->onEnd();
        };
        callbacks.failed = [&connection, pools, host](int fault) {
            if (connection.stream == nullptr) {
                pools->remove(host, &connection);
                return;
            }
            connection.stream->onFault(fault);
        };
        connection.socket.start(std::move(callbacks));
        m_isNewConnection = true;
        use(connection);
    }

    /// Makes the connection once more if it isn't up in time.
    void openAgainIfLate()
    {
        m_reconnect.once(std::min(maxConnectTime, m_timeout / connectTimeDivisor), [this] {
            // A connection that was up and has been reset isn't connected either, but has sent something.
            if (stage() != http_stage::connecting || m_connection->socket.isConnected()) {
                return;
            }
            m_pools->remove(m_target->host(), std::exchange(m_connection, nullptr));
            open(m_pools->hosts[m_target->host()]);
        });
    }

    void use(client_connection &connection)
    {
        m_connection = &connection;
        m_mark = connection.mark;
        connection.stream = this;
        http_parser_init(&connection.parser, HTTP_RESPONSE);
        connection.parser.data = this;
        connection.socket.setReading(true);
        // A process that stood still may get here, or see the connection come up, after the timeout and before its
        // timer.
        connection.socket.setSendLimit(m_startedAt + m_timeout);
        connection.socket.write(m_request);
    }

    static const http_parser_settings &parserSettings()
    {
        static const http_parser_settings settings = [] {
            http_parser_settings result;
            http_parser_settings_init(&result);
            result.on_header_field = [](http_parser *parser, const char *at, size_t length) {
                of(parser).onHeaderField({at, length});
                return 0;
            };
            result.on_header_value = [](http_parser *parser, const char *at, size_t length) {
                of(parser).onHeaderValue({at, length});
                return 0;
            };
            result.on_headers_complete = [](http_parser *parser) {
                auto &self = of(parser);
                const bool isInterim = parser->status_code < 200;
                if (!isInterim) {
                    self.m_isHeadComplete = true;
                    self.m_status = parser->status_code;
                }
                return self.m_method == "HEAD" ? 1 : 0;
            };
            result.on_body = [](http_parser *parser, const char *at, size_t length) {
                of(parser).m_buffer.append(at, length);
                return 0;
            };
            result.on_message_complete = [](http_parser *parser) {
                auto &self = of(parser);
                if (!self.m_isHeadComplete) {
                    self.m_headers.clear(); // an interim response (1xx); the final one follows
                    return 0;
                }
                self.m_isComplete = true;
                self.m_keepAlive = http_should_keep_alive(parser) != 0;
                http_parser_pause(parser, 1);
                return 0;
            };
            return result;
        }();
        return settings;
    }

    static response_stream &of(http_parser *parser)
    {
        return *static_cast<response_stream *>(parser->data);
    }

    void onHeaderField(std::string_view text)
    {
        if (m_isHeadComplete) {
            return; // a trailer
        }
        if (!m_isInField) {
            m_headers.emplace_back();
        }
        m_isInField = true;
        m_headers.back().name.append(text);
    }

    void onHeaderValue(std::string_view text)
    {
        if (m_isHeadComplete || m_headers.empty()) {
            return;
        }
        m_isInField = false;
        m_headers.back().value.append(text);
    }

    void onBytes(std::string_view bytes)
    {
        const auto self = shared_from_this();
        m_received += bytes.size();
        extendTimeout();
        auto &parser = m_connection->parser;
        const auto used = http_parser_execute(&parser, &parserSettings(), bytes.data(), bytes.size());
        if (m_isComplete) {
            release(m_keepAlive && used == bytes.size());
        } else if (HTTP_PARSER_ERRNO(&parser) != HPE_OK) {
            fail(http_errno_description(HTTP_PARSER_ERRNO(&parser)));
            return;
        }
        advance();
    }

    void onFault(int fault)
    {
        m_isConnectionRefused = fault == ECONNREFUSED;
        fail(strerror(fault));
    }

    void onEnd()
    {
        const auto self = shared_from_this();
        auto &parser = m_connection->parser;
        const bool isBroken = http_parser_execute(&parser, &parserSettings(), nullptr, 0) != 0
            || (HTTP_PARSER_ERRNO(&parser) != HPE_OK && HTTP_PARSER_ERRNO(&parser) != HPE_PAUSED);
        if (isBroken || !m_isComplete) {
            fail("the connection closed before the response was complete");
            return;
        }
        release(false);
        advance();
    }

    /// Delivers the head once it is complete, and the next piece if it was requested.
    void advance()
    {
        if (m_isFinished || !m_isHeadComplete) {
            return;
        }
        if (!std::exchange(m_isHeadDelivered, true)) {
            m_handlers.headReceived(m_status, std::move(m_headers));
        }
        if (!m_isFinished && m_isReadRequested && m_deliverySource == 0) {
            deliver();
        }
        if (m_connection != nullptr && !m_buffer.empty()) {
            m_connection->socket.setReading(false);
        }
    }

    void deliver()
    {
        if (m_isFinished || !m_isReadRequested) {
            return;
        }
        if (!m_buffer.empty()) {
            m_isReadRequested = false;
            const auto piece = std::exchange(m_buffer, {});
            m_handlers.pieceReceived(piece);
            return;
        }
        if (m_isComplete) {
            finish();
        }
    }

    /// Delivers from the main loop, so that a handler isn't called within the reader's own call of readMore().
    void deliverLater()
    {
        if (m_deliverySource == 0) {
            m_deliverySource = g_idle_add_full(
                G_PRIORITY_DEFAULT,
                [](gpointer self) -> gboolean {
                    const auto stream = static_cast<response_stream *>(self)->shared_from_this();
                    stream->m_deliverySource = 0;
                    stream->deliver();
                    return G_SOURCE_REMOVE;
                },
                this, nullptr);
        }
    }

    void cancelDelivery()
    {
        if (m_deliverySource != 0) {
            g_source_remove(std::exchange(m_deliverySource, 0));
        }
    }

    void release(bool isReusable)
    {
        if (m_connection == nullptr) {
            return;
        }
        auto *connection = std::exchange(m_connection, nullptr);
        connection->stream = nullptr;
        const auto host = m_target->host();
        if (isReusable && connection->socket.isDrained() && !m_needsFreshConnection) {
            connection->socket.setReading(true);
        } else {
            m_pools->remove(host, connection);
        }
        m_pools->startNextWaiting(host);
    }

    void failLater(const std::string &reason)
    {
        if (!m_isFinished) {
            m_deadline.once(std::chrono::milliseconds(0), [this, reason] { fail(reason); });
        }
    }

    void finish()
    {
        const auto self = end();
        if (!m_pools->isClosing) {
            m_handlers.ended();
        }
    }

    void fail(const std::string &reason)
    {
        if (m_isFinished) {
            return;
        }
        const auto reached = stage();
        const bool isSent = reached == http_stage::sentOnNewConnection || reached == http_stage::sentOnKeptConnection;
        const auto self = end();
        if (!m_pools->isClosing) {
            release(false);
            m_handlers.failed({error("call", m_step, reason), isSent, m_hasTimedOut, m_isConnectionRefused, reached});
        }
    }

    http_stage stage() const
    {
        const bool hasAnswer = m_isHeadComplete; // then the connection may be released already
        if (m_connection == nullptr && !hasAnswer) {
            return http_stage::waiting;
        }
        if (!m_isNewConnection) {
            return http_stage::sentOnKeptConnection;
        }
        return hasAnswer || m_connection->socket.hasSent() ? http_stage::sentOnNewConnection : http_stage::connecting;
    }

    std::shared_ptr<response_stream> end()
    {
        m_isFinished = true;
        m_deadline.stop();
        m_reconnect.stop();
        cancelDelivery();
        if (m_bytes) {
            m_bytes->sent += m_request.size();
            m_bytes->received += m_received;
            ++m_bytes->calls;
        }
        return std::exchange(m_self, nullptr);
    }

    handlers m_handlers;
    std::shared_ptr<connection_pools> m_pools;
    std::shared_ptr<http_byte_counts> m_bytes;
    std::string m_method;
    std::string m_step; ///< method and URL, named in errors
    bool m_needsFreshConnection;
    std::string m_requiredMark;
    connection_mark m_mark; ///< of the connection that it has used; nullptr before
    std::chrono::milliseconds m_timeout;
    std::chrono::milliseconds m_maxTransferTime; ///< 0: m_timeout limits the whole exchange
    instant m_startedAt;
    std::optional<http_target> m_target; ///< unset if the URL is invalid
    std::string m_request; ///< head and body
    client_connection *m_connection = nullptr; ///< nullptr before one is used and after it has been released
    timer m_deadline;
    timer m_reconnect;
    std::shared_ptr<response_stream> m_self; ///< keeps the exchange in memory until its last callback has run
    unsigned m_deliverySource = 0; ///< id of the GLib source of deliverLater(); 0 for none
    unsigned m_status = 0;
    http_headers m_headers;
    std::string m_buffer; ///< received bytes of the body that haven't been delivered
    std::size_t m_received = 0; ///< bytes, including the head
    bool m_isInField = false; ///< the parser is within the name of a header
    bool m_isHeadComplete = false;
    bool m_isComplete = false; ///< the whole response has been received
    bool m_keepAlive = false;
    bool m_isHeadDelivered = false;
    bool m_isReadRequested = false;
    bool m_isNewConnection = false; ///< the connection was opened for this exchange
    bool m_hasTimedOut = false;
    bool m_isConnectionRefused = false;
    bool m_isFinished = false; ///< the exchange has ended: its last callback is running or has run
};

void connection_pools::startNextWaiting(const std::string &host)
{
    auto &pool = hosts[host];
    while (!isClosing && !pool.waiting.empty()) {
        const auto next = pool.waiting.front().lock();
        pool.waiting.pop_front();
        if (next && next->isWaiting()) {
            next->begin();
            return;
        }
    }
}

} // namespace

std::string toString(http_stage stage)
{
    static constexpr std::array names {"waiting-for-connection", "connecting", "sent-on-new-connection",
                                       "sent-on-kept-connection"};
    return names.at(static_cast<std::size_t>(stage));
}

struct http_client::parts
{
    std::shared_ptr<connection_pools> pools = std::make_shared<connection_pools>();
};

http_client::http_client(unsigned connectionsPerHost)
    : m_parts(std::make_unique<parts>())
{
    m_parts->pools->connectionsPerHost = connectionsPerHost;
}

const http_byte_counts &http_client::callBytes() const
{
    return *m_callBytes;
}

http_client::~http_client()
{
    m_parts->pools->isClosing = true;
    for (auto &[host, pool] : m_parts->pools->hosts) {
        for (auto &connection : pool.connections) {
            connection->socket.close();
        }
    }
}

bool http_client::hasIdleConnection(const std::string &url, const std::string &mark) const
{
    const auto target = parseTarget(url);
    const auto pool = target ? m_parts->pools->hosts.find(target->host()) : m_parts->pools->hosts.end();
    return pool != m_parts->pools->hosts.end() && findIdle(pool->second, mark) != nullptr;
}

std::shared_ptr<http_stream> http_client::stream(const http_call &request, http_stream::handlers handlers)
{
    auto result = std::make_shared<response_stream>(request, std::move(handlers), m_parts->pools);
    result->start();
    return result;
}

void http_client::call(const http_call &request, const std::function<void(http_outcome)> &done)
{
    struct collected_response
    {
        http_response answer;
        std::weak_ptr<response_stream> source;
    };
    const auto state = std::make_shared<collected_response>();
    const auto readMore = [state] {
        if (const auto source = state->source.lock()) {
            source->readMore();
        }
    };
    http_stream::handlers handlers;
    handlers.headReceived = [state](unsigned status, http_headers headers) {
        state->answer.status = status;
        state->answer.headers = std::move(headers);
    };
    handlers.pieceReceived = [state, readMore](std::string_view piece) {
        state->answer.body.append(piece);
        if (state->answer.body.size() > maxResponseBytes) {
            if (const auto source = state->source.lock()) {
                source->cancel();
            }
        }
        readMore();
    };
    handlers.ended = [state, done] {
        if (const auto source = state->source.lock()) {
            state->answer.mark = source->mark();
        }
        done(std::move(state->answer));
    };
    handlers.failed = [done](http_failure failure) { done(std::move(failure)); };
    auto source = std::make_shared<response_stream>(request, std::move(handlers), m_parts->pools);
    source->setByteCounts(m_callBytes);
    state->source = source;
    source->readMore();
    source->start();
}

} // namespace primrosecroft
