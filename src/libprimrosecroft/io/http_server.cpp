#include "io/http_server.h"

#include "core/error.h"
#include "io/eviction_order.h"
#include "io/request_budget.h"
#include "io/request_parser.h"
#include "io/tcp_socket.h"
#include "io/timer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <glib-unix.h>
#include <http_parser.h>
#include <map>
#include <optional>
#include <unistd.h>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t readSize = std::size_t {16} * 1024; ///< bytes read at once; no more are read until they're parsed
constexpr std::size_t acceptsPerTurn = 64; ///< so that the requests of new connections are read between others
constexpr auto acceptPause = std::chrono::milliseconds(20); ///< if there is no room for a new connection
constexpr std::size_t requestsPerTurn = 16; ///< of one connection, before others have their turn
constexpr std::size_t maxQueryBytes = 8'192; ///< a longer query is treated as empty
constexpr auto idleTimeout = std::chrono::seconds(60); ///< a connection without a request is closed afterwards
constexpr auto lingerTimeout = std::chrono::milliseconds(500); ///< see server_connection::refuse()
constexpr std::string_view headTooLong =
    R"({"outcome":"refused","step":"read request","detail":"the head is too long"})";
constexpr std::string_view bodyTooLong =
    R"({"outcome":"refused","step":"read request","detail":"the body is too long"})";

/// Returns true if a response with this status has a body (RFC 9110, 6.4.1).
bool allowsBody(unsigned status)
{
    return status >= 200 && status != 204 && status != statusNotModified;
}

std::string decodePercent(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && g_ascii_isxdigit(text[i + 1]) && g_ascii_isxdigit(text[i + 2])) {
            result += static_cast<char>(g_ascii_xdigit_value(text[i + 1]) * 16 + g_ascii_xdigit_value(text[i + 2]));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

constexpr std::string_view tooMuchAtOnce =
    R"({"outcome":"refused","step":"read request","detail":"other requests use the memory for requests"})";

class server_connection;

/// State that a server shares with its open connections.
struct server_state
{
    http_server_limits limits;
    http_handler handler;
    std::function<void(server_refusal reason)> report = [](server_refusal) { };
    std::map<connection_id, std::shared_ptr<server_connection>> connections;
    connection_id lastConnection = 0;
    eviction_order evictions;
    std::shared_ptr<request_budget> budget = std::make_shared<request_budget>();
    std::size_t inFlight = 0;
    std::size_t held = 0; ///< requests that handlers hold, also those whose connection has closed
    bool isStopping = false;
};

/// What a request means for the form of its response.
struct exchange_traits
{
    bool isHead = false; ///< the method is HEAD, so the response has no body
    bool keepAlive = false;
    bool isHttp10 = false;
};

/// One connection of a caller: reads a request, waits for its response, then continues with the next request.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(connection_id id, int descriptor, std::shared_ptr<server_state> state)
        : m_id(id)
        , m_socket(descriptor)
        , m_state(std::move(state))
        , m_share(m_state->budget)
    {
    }

    void start()
    {
        tcp_socket::handlers callbacks;
        callbacks.bytesReceived = [this](std::string_view bytes) { onBytes(bytes); };
        callbacks.ended = [this] { onEnd(); };
        callbacks.failed = [this](int) { finish(); };
        callbacks.drained = [this] { onDrained(); };
        m_socket.setReadSize(readSize);
        m_socket.start(std::move(callbacks));
        m_state->evictions.enter(m_id, connection_phase::unfinished, std::chrono::steady_clock::now());
        awaitRequest();
    }

    /// Closes the connection, so that its descriptor is free for another one.
    void makeRoom()
    {
        m_state->report(server_refusal::madeRoom);
        finish();
    }

    const std::shared_ptr<server_state> &state() const
    {
        return m_state;
    }

    bool isDisconnected() const
    {
        return m_socket.isClosed();
    }

    /// Writes a complete response and continues with the next request.
    void answer(const http_response &answer)
    {
        const bool isBodyless = m_exchange.isHead || !allowsBody(answer.status);
        std::string text =
            encodeHead(answer.status, answer.headers, allowsBody(answer.status) ? answer.body.size() : 0, false);
        if (!isBodyless) {
            text += answer.body;
        }
        m_socket.write(text);
        endExchange();
    }

    void beginStream(unsigned status, const http_headers &headers)
    {
        const auto length = headerValue(headers, "Content-Length");
        m_streamsBody = !m_exchange.isHead && allowsBody(status);
        m_isChunked = m_streamsBody && length.empty() && !m_exchange.isHttp10;
        if (m_streamsBody && length.empty() && m_exchange.isHttp10) {
            m_exchange.keepAlive = false; // HTTP/1.0 marks the end of such a body by closing the connection
        }
        m_socket.write(encodeHead(status, headers, std::nullopt, m_isChunked));
    }

    void writePiece(std::string_view piece, std::function<void()> written)
    {
        if (m_streamsBody && !piece.empty()) {
            if (m_isChunked) {
                std::array<char, 20> size {};
                g_snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
                m_socket.write(std::string(size.data()) + std::string(piece) + "\r\n");
            } else {
                m_socket.write(piece);
            }
        }
        if (m_socket.isDrained() || isDisconnected()) {
            written();
            return;
        }
        m_onWritten = std::move(written);
    }

    void endStream()
    {
        if (m_isChunked) {
            m_socket.write("0\r\n\r\n");
        }
        endExchange();
    }

    /// Resets the connection. An orderly close would mark a response without a length as complete.
    void abort()
    {
        m_socket.reset();
        finish();
    }

private:
    std::string encodeHead(unsigned status, const http_headers &headers, std::optional<std::size_t> length,
                           bool chunked)
    {
        if (m_state->isStopping) {
            m_exchange.keepAlive = false;
        }
        const auto *reason = http_status_str(static_cast<http_status>(status));
        std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
        for (const auto &header : headers) {
            text += header.name + ": " + header.value + "\r\n";
        }
        if (headerValue(headers, "Server").empty()) {
            text += "Server: primrosecroft\r\n";
        }
        if (length && allowsBody(status) && headerValue(headers, "Content-Length").empty()) {
            text += "Content-Length: " + std::to_string(*length) + "\r\n";
        }
        if (chunked) {
            text += "Transfer-Encoding: chunked\r\n";
        }
        if (!m_exchange.keepAlive) {
            text += "Connection: close\r\n";
        } else if (m_exchange.isHttp10) {
            text += "Connection: keep-alive\r\n";
        }
        return text + "\r\n";
    }

    void onHead()
    {
        const auto &request = m_parser.request();
        m_exchange = {request.method == "HEAD", request.keepAlive, request.isHttp10};
    }

    /// Answers a request that isn't passed on. Closing at once could reset the connection before the caller has read
    /// the answer, so what follows is discarded before: up to the end of the request or the time for it if its body is
    /// arriving, else for a while.
    void refuse(server_refusal reason, unsigned status, std::string_view problem)
    {
        m_state->report(reason);
        m_exchange.keepAlive = false;
        http_headers headers {{"Content-Type", "application/problem+json"}};
        if (status == statusUnavailable) {
            headers.push_back({"Retry-After", "1"});
        }
        m_socket.write(encodeHead(status, headers, problem.size(), false) + std::string(problem));
        m_share.release();
        if (m_parser.isHeadComplete()) {
            m_parser.discardRequest();
            m_isRefused = true;
            return;
        }
        m_parser.takeRequest();
        m_isDiscarding = true;
        m_deadline.once(lingerTimeout, [this] { finish(); });
    }

    void onBytes(std::string_view bytes)
    {
        const auto self = shared_from_this();
        if (m_isClosing || m_isDiscarding) {
            return;
        }
        m_input.append(bytes);
        parse();
    }

    /// True if the next request may be parsed: none is served, and the caller has taken all responses, so that a caller
    /// that doesn't read gets no further ones.
    bool mayParse() const
    {
        return !m_isServing && !m_isClosing && !m_isDiscarding && !isDisconnected() && m_socket.isDrained()
            && m_parsed < m_input.size();
    }

    /// Parses the input as far as it may. A handler that answers at once gets here again, from within parseStep(): the
    /// outer call goes on then, because calls within calls would exhaust the stack.
    void parse()
    {
        if (std::exchange(m_isParsing, true)) {
            return;
        }
        const auto self = shared_from_this();
        m_servedInTurn = 0;
        while (mayParse() && m_servedInTurn < requestsPerTurn) {
            parseStep();
        }
        m_isParsing = false;
        dropParsed();
        if (!isDisconnected()) {
            continueReading();
        }
    }

    void dropParsed()
    {
        m_input.erase(0, m_isClosing || m_isDiscarding ? m_input.size() : m_parsed);
        m_parsed = 0;
        if (m_input.empty()) {
            m_input = {}; // keeps no memory for the next bytes
        }
    }

    void continueReading()
    {
        m_socket.setReading(m_input.empty());
        if (mayParse()) {
            m_nextTurn.once(std::chrono::milliseconds(0), [this] { parse(); });
        } else if (m_hasEnded && m_input.empty() && !m_isServing && !m_isClosing) {
            closeWhenDrained();
        }
    }

    void parseStep()
    {
        const bool hadBegun = m_parser.hasBegun();
        const auto [step, used] = m_parser.parse(std::string_view(m_input).substr(m_parsed), limits());
        m_parsed += used;
        if (!hadBegun && m_parser.hasBegun()) {
            m_state->evictions.enter(m_id, connection_phase::unfinished, std::chrono::steady_clock::now());
            awaitRequest();
        }
        if (!m_isRefused && !m_share.tryHold(m_parser.heldBytes())) {
            refuse(server_refusal::noMemory, statusUnavailable, tooMuchAtOnce);
            return;
        }
        take(step);
    }

    void take(parse_step step)
    {
        switch (step) {
        case parse_step::incomplete:
            break;
        case parse_step::headComplete:
            onHead();
            if (g_ascii_strcasecmp(m_parser.request().headers.value("Expect").c_str(), "100-continue") == 0) {
                m_socket.write("HTTP/1.1 100 Continue\r\n\r\n");
            }
            break;
        case parse_step::complete:
            ++m_servedInTurn;
            m_isRefused ? closeWhenDrained() : serve();
            break;
        case parse_step::malformed:
            rejectMalformed();
            break;
        case parse_step::headTooLong:
            refuse(server_refusal::headTooLong, statusHeadTooLarge, headTooLong);
            break;
        case parse_step::bodyTooLong:
            onHead();
            refuse(server_refusal::bodyTooLong, statusContentTooLarge, bodyTooLong);
            break;
        }
    }

    request_limits limits() const
    {
        return {m_state->limits.maxHeadSize, static_cast<std::size_t>(m_state->limits.maxBodySize)};
    }

    void serve();

    void rejectMalformed()
    {
        if (!m_parser.isHeadComplete()) {
            m_socket.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        }
        closeWhenDrained();
    }

    void endExchange()
    {
        const auto self = shared_from_this();
        m_isServing = false;
        m_state->evictions.enter(m_id, connection_phase::unfinished, std::chrono::steady_clock::now());
        m_isChunked = false;
        --m_state->inFlight;
        if (!m_exchange.keepAlive) {
            closeWhenDrained();
            return;
        }
        waitForRequest();
    }

    /// Continues with the next request, unless the caller has yet to take the last response.
    void waitForRequest()
    {
        const bool isIdle = m_socket.isDrained();
        m_state->evictions.enter(m_id, isIdle ? connection_phase::idle : connection_phase::unfinished,
                                 std::chrono::steady_clock::now());
        if (isIdle) {
            m_deadline.once(idleTimeout, [this] { finish(); });
        } else {
            awaitResponseTaken();
        }
        parse();
    }

    void closeWhenDrained()
    {
        m_isClosing = true;
        if (m_socket.isDrained()) {
            finish();
            return;
        }
        awaitResponseTaken();
    }

    /// Limits the time for a request to arrive.
    void awaitRequest()
    {
        m_deadline.once(m_state->limits.requestTimeout, [this] { giveUp(server_refusal::requestTimeout); });
    }

    /// Limits the time for the caller to take the rest of a response.
    void awaitResponseTaken()
    {
        m_deadline.once(m_state->limits.requestTimeout, [this] { giveUp(server_refusal::responseTimeout); });
    }

    void giveUp(server_refusal reason)
    {
        m_state->report(reason);
        finish();
    }

    void onEnd()
    {
        const auto self = shared_from_this();
        m_hasEnded = true;
        if (!m_isServing && m_input.empty()) {
            closeWhenDrained();
        }
    }

    void onDrained()
    {
        const auto self = shared_from_this();
        if (m_isClosing) {
            finish();
            return;
        }
        if (const auto written = std::exchange(m_onWritten, nullptr)) {
            written();
        } else if (!m_isServing && !m_isRefused && !m_isDiscarding && !m_parser.hasBegun()) {
            waitForRequest();
        } else {
            parse();
        }
    }

    void finish()
    {
        const auto self = shared_from_this();
        m_socket.close();
        m_deadline.stop();
        if (std::exchange(m_isServing, false)) {
            --m_state->inFlight;
        }
        m_state->evictions.remove(m_id);
        m_state->connections.erase(m_id);
        if (const auto written = std::exchange(m_onWritten, nullptr)) {
            written();
        }
    }

    connection_id m_id;
    tcp_socket m_socket;
    std::shared_ptr<server_state> m_state;
    request_parser m_parser;
    budget_share m_share; ///< of the request that is arriving
    timer m_deadline; ///< limits the time for a request, between requests, and for sending the rest before closing
    exchange_traits m_exchange;
    std::string m_input; ///< received bytes that haven't been parsed, behind the first m_parsed ones
    std::size_t m_parsed = 0;
    std::size_t m_servedInTurn = 0; ///< requests
    timer m_nextTurn; ///< continues to parse after other connections have had their turn
    bool m_isParsing = false;
    std::function<void()> m_onWritten; ///< called once the kernel has taken the last piece; empty if none is pending
    bool m_isRefused = false; ///< the current request has been answered before it was complete
    bool m_isDiscarding = false; ///< received bytes are discarded until the connection closes
    bool m_isServing = false; ///< a request has been passed on and its response isn't complete
    bool m_hasEnded = false; ///< the caller has closed its side
    bool m_isClosing = false; ///< the connection closes once the kernel has taken all bytes
    bool m_isChunked = false;
    bool m_streamsBody = false; ///< the streamed response has a body
};

/// The request as it is passed to the handler. A second response and calls after the connection has closed are ignored.
class server_request : public http_request
{
public:
    server_request(std::shared_ptr<server_connection> connection, parsed_request request, budget_share share)
        : m_connection(std::move(connection))
        , m_request(std::move(request))
        , m_share(std::move(share))
    {
        ++m_connection->state()->held;
    }

    ~server_request() override
    {
        --m_connection->state()->held;
    }

    server_request(const server_request &) = delete;
    server_request &operator=(const server_request &) = delete;

    std::string method() const override
    {
        return m_request.method;
    }

    std::string path() const override
    {
        const auto start = m_request.target.starts_with("http://") ? m_request.target.find('/', 7) : 0;
        if (start == std::string::npos) {
            return "/";
        }
        return m_request.target.substr(start, m_request.target.find('?') - start);
    }

    std::string query(const std::string &name) const override
    {
        const auto mark = m_request.target.find('?');
        if (mark == std::string::npos || m_request.target.size() - mark > maxQueryBytes) {
            return {};
        }
        std::string_view text = std::string_view(m_request.target).substr(mark + 1);
        if (name.empty()) {
            return std::string(text);
        }
        std::string result;
        while (!text.empty()) {
            const auto pair = text.substr(0, text.find('&'));
            const auto equals = pair.find('=');
            if (decodePercent(pair.substr(0, equals)) == name) {
                result = equals == std::string_view::npos ? "" : decodePercent(pair.substr(equals + 1));
            }
            text.remove_prefix(std::min(text.size(), pair.size() + 1));
        }
        return result;
    }

    http_headers headers() const override
    {
        return m_request.headers.list();
    }

    std::string header(const std::string &name) const override
    {
        return m_request.headers.value(name);
    }

    std::string body() const override
    {
        return m_request.body;
    }

    void answer(const http_response &answer) override
    {
        if (!std::exchange(m_isAnswered, true) && !isDisconnected()) {
            m_connection->answer(answer);
        }
    }

    void beginStream(unsigned status, const http_headers &headers) override
    {
        if (!std::exchange(m_isAnswered, true) && !isDisconnected()) {
            m_connection->beginStream(status, headers);
        }
    }

    void writePiece(std::string_view piece, std::function<void()> written) override
    {
        if (isDisconnected()) {
            written();
            return;
        }
        m_connection->writePiece(piece, std::move(written));
    }

    void endStream() override
    {
        if (!std::exchange(m_hasEnded, true) && !isDisconnected()) {
            m_connection->endStream();
        }
    }

    void abort() override
    {
        m_isAnswered = true;
        if (!std::exchange(m_hasEnded, true) && !isDisconnected()) {
            m_connection->abort();
        }
    }

    bool isDisconnected() const override
    {
        return m_connection->isDisconnected();
    }

private:
    std::shared_ptr<server_connection> m_connection;
    parsed_request m_request;
    budget_share m_share;
    bool m_isAnswered = false;
    bool m_hasEnded = false;
};

void server_connection::serve()
{
    if (m_state->held >= m_state->limits.maxConnections) {
        refuse(server_refusal::noMemory, statusUnavailable, tooMuchAtOnce);
        return;
    }
    m_isServing = true;
    m_state->evictions.enter(m_id, connection_phase::serving, std::chrono::steady_clock::now());
    m_deadline.stop();
    ++m_state->inFlight;
    const auto handler = m_state->handler;
    handler(std::make_shared<server_request>(shared_from_this(), m_parser.takeRequest(), std::move(m_share)));
}

} // namespace

struct http_server::parts
{
    std::shared_ptr<server_state> state = std::make_shared<server_state>();
    int listener = -1;
    unsigned source = 0;

    timer resumption; ///< of accepting

    void startAccepting()
    {
        source = g_unix_fd_add(listener, G_IO_IN, &parts::onConnection, this);
    }

    void stopAccepting()
    {
        if (source != 0) {
            g_source_remove(std::exchange(source, 0));
        }
    }

    static gboolean onConnection(gint /*listener*/, GIOCondition /*condition*/, gpointer self)
    {
        auto &owner = *static_cast<parts *>(self);
        for (std::size_t i = 0; i < acceptsPerTurn && owner.isConnectionPending(); ++i) {
            if (!owner.findRoom()) {
                owner.pauseAccepting();
                break;
            }
            if (!owner.acceptNext()) {
                const bool lacksDescriptor = errno == EMFILE || errno == ENFILE;
                if (lacksDescriptor && !owner.makeRoom()) {
                    owner.pauseAccepting();
                }
                break;
            }
        }
        return G_SOURCE_CONTINUE;
    }

    /// Asked first, because no connection has to make room for none, and accept() without a free descriptor doesn't
    /// tell.
    bool isConnectionPending() const
    {
        GPollFD watched {listener, G_IO_IN, 0};
        return g_poll(&watched, 1, 0) > 0;
    }

    /// Returns false, and leaves the system's error number, if no connection could be accepted.
    bool acceptNext()
    {
        const int descriptor = acceptConnection(listener);
        if (descriptor < 0) {
            return false;
        }
        const auto id = ++state->lastConnection;
        const auto connection = std::make_shared<server_connection>(id, descriptor, state);
        state->connections[id] = connection;
        connection->start();
        return true;
    }

    /// Leaves new connections pending for a while. The main loop would call for them again and again.
    void pauseAccepting()
    {
        stopAccepting();
        resumption.once(acceptPause, [this] { startAccepting(); });
    }

    /// Returns true if one more connection may be open, which at the limit takes the place of another one.
    bool findRoom()
    {
        return state->connections.size() < state->limits.maxConnections || makeRoom();
    }

    /// Closes the connection that is to make room. Returns false if all connections are served.
    bool makeRoom()
    {
        const auto chosen = state->evictions.first(std::chrono::steady_clock::now());
        if (!chosen) {
            return false;
        }
        const auto connection = state->connections.at(*chosen);
        connection->makeRoom();
        return true;
    }
};

std::string toString(server_refusal reason)
{
    switch (reason) {
    case server_refusal::headTooLong:
        return "head-too-long";
    case server_refusal::bodyTooLong:
        return "body-too-long";
    case server_refusal::noMemory:
        return "no-memory";
    case server_refusal::madeRoom:
        return "made-room";
    case server_refusal::requestTimeout:
        return "request-timeout";
    case server_refusal::responseTimeout:
        return "response-timeout";
    }
    return "unknown";
}

http_server_limits fewClientsLimits()
{
    http_server_limits result;
    result.maxBodySize = std::int64_t {4} * 1024;
    result.maxHeldBytes = std::size_t {256} * 1024;
    result.maxConnections = 32;
    return result;
}

http_server::http_server(const http_server_limits &limits, http_handler handler)
    : m_parts(std::make_unique<parts>())
{
    m_parts->state->limits = limits;
    m_parts->state->budget->capacity = limits.maxHeldBytes;
    m_parts->state->handler = std::move(handler);
}

http_server::~http_server()
{
    stopListening();
    m_parts->state->handler = [](const std::shared_ptr<http_request> &) { };
    m_parts->state->report = [](server_refusal) { };
    const auto connections = std::exchange(m_parts->state->connections, {});
    for (const auto &[key, connection] : connections) {
        connection->abort();
    }
}

void http_server::listen(const std::string &address, std::uint16_t port)
{
    m_parts->listener = beginListen(address, port);
    m_parts->startAccepting();
}

std::uint16_t http_server::port() const
{
    return m_parts->listener < 0 ? 0 : boundPort(m_parts->listener);
}

void http_server::onRefusal(std::function<void(server_refusal reason)> report)
{
    m_parts->state->report = std::move(report);
}

void http_server::setMaxHeadSize(std::size_t size)
{
    m_parts->state->limits.maxHeadSize = size;
}

void http_server::setMaxBodySize(std::int64_t size)
{
    m_parts->state->limits.maxBodySize = size;
}

void http_server::closeAfterResponses()
{
    m_parts->state->isStopping = true;
}

void http_server::stopListening()
{
    m_parts->state->isStopping = true;
    m_parts->stopAccepting();
    m_parts->resumption.stop();
    if (m_parts->listener >= 0) {
        ::close(std::exchange(m_parts->listener, -1));
    }
}

std::size_t http_server::inFlight() const
{
    return m_parts->state->inFlight;
}

} // namespace primrosecroft
