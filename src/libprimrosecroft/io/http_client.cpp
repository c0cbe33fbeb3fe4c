#include "io/http_client.h"

#include "io/timer.h"

#include <libsoup/soup.h>
#include <map>
#include <sys/socket.h>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr unsigned mostConnections = 2048;
constexpr std::size_t pieceSize = std::size_t {32} * 1024;
constexpr std::size_t largestAnswer = std::size_t {16} * 1024 * 1024;

http_headers readHeaders(SoupMessageHeaders *source)
{
    http_headers result;
    soup_message_headers_foreach(
        source,
        [](const char *name, const char *value, gpointer target) {
            static_cast<http_headers *>(target)->push_back({name, value});
        },
        &result);
    return result;
}

/// The sockets of open connections, by libsoup's number of the connection.
using socket_table = std::map<guint64, object_pointer<GSocket>>;

/// True when the peer has closed its side; data that waits unread isn't an end.
bool hasEnded(GSocket *socket)
{
    char peeked = 0;
    return recv(g_socket_get_fd(socket), &peeked, sizeof peeked, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/// One request in flight. Keeps itself alive until its last callback has run.
class session_stream : public http_stream, public std::enable_shared_from_this<session_stream>
{
public:
    session_stream(const http_call &request, handlers callbacks, std::shared_ptr<socket_table> sockets)
        : m_handlers(std::move(callbacks))
        , m_sockets(std::move(sockets))
        , m_step(request.method + ' ' + request.url)
        , m_cancellable(g_cancellable_new())
    {
        m_message.reset(soup_message_new(request.method.c_str(), request.url.c_str()));
        if (!m_message) {
            return;
        }
        auto flags = static_cast<unsigned>(SOUP_MESSAGE_NO_REDIRECT);
        if (request.freshConnection) {
            flags |= static_cast<unsigned>(SOUP_MESSAGE_NEW_CONNECTION);
        }
        soup_message_set_flags(m_message.get(), static_cast<SoupMessageFlags>(flags));
        auto *headers = soup_message_get_request_headers(m_message.get());
        for (const auto &header : request.headers) {
            soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
        }
        if (!request.body.empty()) {
            const bytes_pointer body(g_bytes_new(request.body.data(), request.body.size()));
            soup_message_set_request_body_from_bytes(m_message.get(), request.contentType.c_str(), body.get());
        }
        g_signal_connect(m_message.get(), "starting", G_CALLBACK(&session_stream::onStarting), this);
        g_signal_connect(m_message.get(), "network-event", G_CALLBACK(&session_stream::onNetworkEvent), this);
    }

    ~session_stream() override
    {
        if (m_message) {
            g_signal_handlers_disconnect_by_data(m_message.get(), this);
        }
    }

    session_stream(const session_stream &) = delete;
    session_stream &operator=(const session_stream &) = delete;

    /// Counts what travels into @p bytes when it ends.
    void count(std::shared_ptr<http_byte_counts> bytes)
    {
        m_bytes = std::move(bytes);
        if (m_message) {
            soup_message_add_flags(m_message.get(), SOUP_MESSAGE_COLLECT_METRICS);
        }
    }

    void start(SoupSession *session, std::chrono::milliseconds timeout)
    {
        m_self = shared_from_this();
        if (!m_message) {
            m_deadline.once(std::chrono::milliseconds(0), [this] { fail("not a usable address"); });
            return;
        }
        m_deadline.once(timeout, [this] {
            m_timedOut = true;
            cancel();
        });
        soup_session_send_async(session, m_message.get(), G_PRIORITY_DEFAULT, m_cancellable.get(),
                                &session_stream::onSent, this);
    }

    void readMore() override
    {
        if (!m_input || m_reading) {
            return;
        }
        m_reading = true;
        g_input_stream_read_bytes_async(m_input.get(), pieceSize, G_PRIORITY_DEFAULT, m_cancellable.get(),
                                        &session_stream::onRead, this);
    }

    void cancel() override
    {
        g_cancellable_cancel(m_cancellable.get());
    }

private:
    static void onStarting(SoupMessage *message, gpointer self)
    {
        auto &stream = *static_cast<session_stream *>(self);
        stream.m_sent = true;
        if (stream.m_opened) {
            std::erase_if(*stream.m_sockets, [](const auto &each) { return g_socket_is_closed(each.second.get()); });
            (*stream.m_sockets)[soup_message_get_connection_id(message)] = std::move(stream.m_opened);
        }
    }

    /// Only the message for which a connection is opened sees the socket.
    static void onNetworkEvent(SoupMessage * /*message*/, GSocketClientEvent event, GIOStream *connection,
                               gpointer self)
    {
        if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION(connection)) {
            auto *socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(connection));
            static_cast<session_stream *>(self)->m_opened = shareObject(socket);
        }
    }

    /**
     * libsoup takes a connection that closes between two chunks for the end of the
     * answer. The last chunk has come only if the connection is still open, or was
     * announced to close.
     */
    bool isCutBetweenChunks() const
    {
        auto *headers = soup_message_get_response_headers(m_message.get());
        if (soup_message_headers_get_encoding(headers) != SOUP_ENCODING_CHUNKED
            || soup_message_headers_header_contains(headers, "Connection", "close")) {
            return false;
        }
        const auto found = m_sockets->find(m_connection);
        return found != m_sockets->end() && (g_socket_is_closed(found->second.get()) || hasEnded(found->second.get()));
    }

    static void onSent(GObject *session, GAsyncResult *result, gpointer self)
    {
        auto &stream = *static_cast<session_stream *>(self);
        GError *raw = nullptr;
        stream.m_input.reset(soup_session_send_finish(SOUP_SESSION(session), result, &raw));
        const error_pointer fault(raw);
        if (fault) {
            stream.fail(fault->message);
            return;
        }
        stream.m_connection = soup_message_get_connection_id(stream.m_message.get());
        stream.m_handlers.begun(soup_message_get_status(stream.m_message.get()),
                                readHeaders(soup_message_get_response_headers(stream.m_message.get())));
    }

    static void onRead(GObject *input, GAsyncResult *result, gpointer self)
    {
        auto &stream = *static_cast<session_stream *>(self);
        stream.m_reading = false;
        GError *raw = nullptr;
        const bytes_pointer bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(input), result, &raw));
        const error_pointer fault(raw);
        if (fault) {
            stream.fail(fault->message);
            return;
        }
        gsize size = 0;
        const auto *data = static_cast<const char *>(g_bytes_get_data(bytes.get(), &size));
        if (size == 0 && stream.isCutBetweenChunks()) {
            stream.fail("the connection closed between two chunks");
            return;
        }
        if (size == 0) {
            stream.finish();
            return;
        }
        stream.m_handlers.arrived(std::string_view(data, size));
    }

    void addBytes() const
    {
        auto *metrics = m_bytes && m_message ? soup_message_get_metrics(m_message.get()) : nullptr;
        if (metrics == nullptr) {
            return;
        }
        m_bytes->sent += soup_message_metrics_get_request_header_bytes_sent(metrics)
            + soup_message_metrics_get_request_body_bytes_sent(metrics);
        m_bytes->received += soup_message_metrics_get_response_header_bytes_received(metrics)
            + soup_message_metrics_get_response_body_bytes_received(metrics);
        ++m_bytes->calls;
    }

    void finish()
    {
        addBytes();
        const auto self = std::exchange(m_self, nullptr);
        m_deadline.stop();
        m_handlers.ended();
    }

    void fail(const std::string &reason)
    {
        addBytes();
        const auto self = std::exchange(m_self, nullptr);
        m_deadline.stop();
        const std::string text = m_timedOut ? "no answer in time" : reason;
        m_handlers.failed({error("call", m_step, text), m_sent, m_timedOut});
    }

    handlers m_handlers;
    std::shared_ptr<socket_table> m_sockets;
    object_pointer<GSocket> m_opened;
    guint64 m_connection = 0;
    std::shared_ptr<http_byte_counts> m_bytes;
    std::string m_step;
    object_pointer<GCancellable> m_cancellable;
    object_pointer<SoupMessage> m_message;
    object_pointer<GInputStream> m_input;
    timer m_deadline;
    std::shared_ptr<session_stream> m_self;
    bool m_sent = false;
    bool m_timedOut = false;
    bool m_reading = false;
};

} // namespace

struct http_client::parts
{
    std::shared_ptr<socket_table> sockets = std::make_shared<socket_table>();
};

http_client::http_client(unsigned connectionsPerHost)
    : m_parts(std::make_unique<parts>())
    , m_session(soup_session_new_with_options("max-conns", mostConnections, "max-conns-per-host", connectionsPerHost,
                                              "timeout", 0, "idle-timeout", 60, nullptr))
{
    // Answers are handed on as they came: a decoded body no longer fits its headers.
    soup_session_remove_feature_by_type(m_session.get(), SOUP_TYPE_CONTENT_DECODER);
}

const http_byte_counts &http_client::controlBytes() const
{
    return *m_controlBytes;
}

http_client::~http_client()
{
    soup_session_abort(m_session.get());
}

std::shared_ptr<http_stream> http_client::stream(const http_call &request, http_stream::handlers handlers)
{
    auto result = std::make_shared<session_stream>(request, std::move(handlers), m_parts->sockets);
    result->start(m_session.get(), request.timeout);
    return result;
}

void http_client::call(const http_call &request, const std::function<void(http_outcome)> &done)
{
    struct gathered
    {
        http_answer answer;
        std::weak_ptr<http_stream> source;
    };
    const auto state = std::make_shared<gathered>();
    const auto readMore = [state] {
        if (const auto source = state->source.lock()) {
            source->readMore();
        }
    };
    http_stream::handlers handlers;
    handlers.begun = [state, readMore](unsigned status, http_headers headers) {
        state->answer.status = status;
        state->answer.headers = std::move(headers);
        readMore();
    };
    handlers.arrived = [state, readMore](std::string_view piece) {
        state->answer.body.append(piece);
        if (state->answer.body.size() > largestAnswer) {
            if (const auto source = state->source.lock()) {
                source->cancel();
            }
        }
        readMore();
    };
    handlers.ended = [state, done] { done(std::move(state->answer)); };
    handlers.failed = [done](http_failure failure) { done(std::move(failure)); };
    auto source = std::make_shared<session_stream>(request, std::move(handlers));
    source->count(m_controlBytes);
    source->start(m_session.get(), request.timeout);
    state->source = source;
}

} // namespace primrosecroft
