#include "io/http_server.h"

#include "core/error.h"
#include "io/timer.h"

#include <libsoup/soup.h>
#include <map>
#include <sys/socket.h>
#include <utility>

namespace primrosecroft
{

namespace
{

void closeConnection(SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

/// An ordered close would be the end of the answer to a caller of HTTP 1.0, so it is reset (RFC 9293, 3.10.5).
void resetConnection(SoupServerMessage *message)
{
    GSocket *socket = soup_server_message_get_socket(message);
    if (socket != nullptr) {
        const sockaddr nowhere {AF_UNSPEC, {}};
        if (connect(g_socket_get_fd(socket), &nowhere, sizeof nowhere) != 0) {
            g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        }
    }
}

/// RFC 9110, 6.4.1.
bool hasBody(unsigned status)
{
    return status != SOUP_STATUS_NO_CONTENT && status != SOUP_STATUS_NOT_MODIFIED;
}

class server_request : public http_request
{
public:
    explicit server_request(SoupServerMessage *message)
        : m_message(shareObject(message))
    {
        m_finished = g_signal_connect(message, "finished", G_CALLBACK(&server_request::onFinished), this);
        m_disconnected = g_signal_connect(message, "disconnected", G_CALLBACK(&server_request::onFinished), this);
        m_wrote = g_signal_connect(message, "wrote-chunk", G_CALLBACK(&server_request::onWrote), this);
    }

    ~server_request() override
    {
        for (const auto handler : {m_finished, m_disconnected, m_wrote}) {
            g_signal_handler_disconnect(m_message.get(), handler);
        }
    }

    server_request(const server_request &) = delete;
    server_request &operator=(const server_request &) = delete;

    std::string method() const override
    {
        return soup_server_message_get_method(m_message.get());
    }

    std::string path() const override
    {
        return g_uri_get_path(soup_server_message_get_uri(m_message.get()));
    }

    std::string query(const std::string &name) const override
    {
        const char *text = g_uri_get_query(soup_server_message_get_uri(m_message.get()));
        if (text == nullptr) {
            return {};
        }
        if (name.empty()) {
            return text;
        }
        GHashTable *table = soup_form_decode(text);
        const auto *value = static_cast<const char *>(g_hash_table_lookup(table, name.c_str()));
        std::string result = value == nullptr ? "" : value;
        g_hash_table_destroy(table);
        return result;
    }

    http_headers headers() const override
    {
        http_headers result;
        soup_message_headers_foreach(
            soup_server_message_get_request_headers(m_message.get()),
            [](const char *name, const char *value, gpointer target) {
                static_cast<http_headers *>(target)->push_back({name, value});
            },
            &result);
        return result;
    }

    std::string header(const std::string &name) const override
    {
        const char *value =
            soup_message_headers_get_one(soup_server_message_get_request_headers(m_message.get()), name.c_str());
        return value == nullptr ? "" : value;
    }

    std::string body() const override
    {
        const bytes_pointer bytes(soup_message_body_flatten(soup_server_message_get_request_body(m_message.get())));
        gsize size = 0;
        const auto *data = static_cast<const char *>(g_bytes_get_data(bytes.get(), &size));
        return size == 0 ? std::string() : std::string(data, size);
    }

    void answer(const http_answer &answer) override
    {
        if (std::exchange(m_answered, true) || m_gone) {
            return;
        }
        setHead(answer.status, answer.headers);
        auto type = headerValue(answer.headers, "Content-Type");
        if (type.empty()) {
            type = "application/json";
        }
        soup_server_message_set_response(m_message.get(), type.c_str(), SOUP_MEMORY_COPY, answer.body.data(),
                                         answer.body.size());
        unpause();
    }

    void beginStream(unsigned status, const http_headers &headers) override
    {
        if (std::exchange(m_answered, true) || m_gone) {
            return;
        }
        setHead(status, headers);
        auto *responseHeaders = soup_server_message_get_response_headers(m_message.get());
        const auto length = headerValue(headers, "Content-Length");
        if (!hasBody(status)) {
            soup_message_headers_set_encoding(responseHeaders, SOUP_ENCODING_NONE);
        } else if (length.empty()) {
            soup_message_headers_set_encoding(responseHeaders, SOUP_ENCODING_CHUNKED);
        } else {
            soup_message_headers_set_content_length(responseHeaders, g_ascii_strtoll(length.c_str(), nullptr, 10));
        }
        auto *responseBody = soup_server_message_get_response_body(m_message.get());
        soup_message_body_set_accumulate(responseBody, FALSE);
    }

    void writePiece(std::string_view piece, std::function<void()> written) override
    {
        if (m_gone) {
            written();
            return;
        }
        m_written = std::move(written);
        soup_message_body_append(soup_server_message_get_response_body(m_message.get()), SOUP_MEMORY_COPY, piece.data(),
                                 piece.size());
        unpause();
    }

    void endStream() override
    {
        if (m_gone) {
            return;
        }
        soup_message_body_complete(soup_server_message_get_response_body(m_message.get()));
        unpause();
    }

    void abort() override
    {
        if (m_gone) {
            return;
        }
        resetConnection(m_message.get());
        unpause();
    }

    bool isGone() const override
    {
        return m_gone;
    }

    void pause()
    {
        m_paused = true;
        soup_server_message_pause(m_message.get());
    }

private:
    static void onFinished(SoupServerMessage * /*message*/, gpointer self)
    {
        auto &request = *static_cast<server_request *>(self);
        request.m_gone = true;
        if (const auto written = std::exchange(request.m_written, nullptr)) {
            written();
        }
    }

    static void onWrote(SoupServerMessage * /*message*/, gpointer self)
    {
        auto &request = *static_cast<server_request *>(self);
        if (const auto written = std::exchange(request.m_written, nullptr)) {
            request.pause();
            written();
        }
    }

    void setHead(unsigned status, const http_headers &headers)
    {
        soup_server_message_set_status(m_message.get(), status, nullptr);
        auto *target = soup_server_message_get_response_headers(m_message.get());
        // What libsoup has set by itself gives way; what comes several times stays so.
        for (const auto &header : headers) {
            soup_message_headers_remove(target, header.name.c_str());
        }
        for (const auto &header : headers) {
            soup_message_headers_append(target, header.name.c_str(), header.value.c_str());
        }
    }

    void unpause()
    {
        if (std::exchange(m_paused, false)) {
            soup_server_message_unpause(m_message.get());
        }
    }

    object_pointer<SoupServerMessage> m_message;
    std::function<void()> m_written;
    gulong m_finished = 0;
    gulong m_disconnected = 0;
    gulong m_wrote = 0;
    bool m_answered = false;
    bool m_gone = false;
    bool m_paused = false;
};

} // namespace

struct http_server::parts
{
    http_server_limits limits;
    http_handler handler;
    object_pointer<SoupServer> server;
    std::map<SoupServerMessage *, std::unique_ptr<timer>> arriving;
    std::size_t inFlight = 0;

    static void onStarted(SoupServer * /*server*/, SoupServerMessage *message, gpointer self)
    {
        auto &owner = *static_cast<parts *>(self);
        ++owner.inFlight;
        auto &deadline = owner.arriving[message];
        deadline = std::make_unique<timer>();
        deadline->once(owner.limits.requestTime, [message] { closeConnection(message); });
        g_signal_connect(message, "got-body", G_CALLBACK(&parts::onGotBody), self);
        g_signal_connect(message, "got-chunk", G_CALLBACK(&parts::onGotChunk), self);
    }

    static void onGotBody(SoupServerMessage *message, gpointer self)
    {
        static_cast<parts *>(self)->arriving.erase(message);
    }

    static void onGotChunk(SoupServerMessage *message, GBytes * /*chunk*/, gpointer self)
    {
        const auto &owner = *static_cast<parts *>(self);
        const auto isRefused = soup_server_message_get_status(message) != 0; // its rest is read and dropped
        if (!isRefused && soup_server_message_get_request_body(message)->length > owner.limits.largestBody) {
            closeConnection(message);
        }
    }

    static void onDone(SoupServer * /*server*/, SoupServerMessage *message, gpointer self)
    {
        auto &owner = *static_cast<parts *>(self);
        owner.arriving.erase(message);
        --owner.inFlight;
    }

    /// Runs when the head has arrived: refuses what is too long before its body is read.
    static void onHead(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/,
                       GHashTable * /*query*/, gpointer self)
    {
        const auto &owner = *static_cast<parts *>(self);
        auto *headers = soup_server_message_get_request_headers(message);
        if (soup_message_headers_get_content_length(headers) > owner.limits.largestBody) {
            static constexpr std::string_view text =
                R"({"outcome":"refused","step":"read request","detail":"the body is too long"})";
            soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
            soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
            soup_server_message_set_response(message, "application/problem+json", SOUP_MEMORY_STATIC, text.data(),
                                             text.size());
        }
    }

    static void onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/,
                          GHashTable * /*query*/, gpointer self)
    {
        if (soup_server_message_get_status(message) != 0) {
            return; // refused when its head arrived
        }
        const auto request = std::make_shared<server_request>(message);
        request->pause();
        static_cast<parts *>(self)->handler(request);
    }
};

http_server::http_server(const http_server_limits &limits, http_handler handler)
    : m_parts(std::make_unique<parts>())
{
    m_parts->limits = limits;
    m_parts->handler = std::move(handler);
    m_parts->server.reset(soup_server_new("server-header", "primrosecroft", nullptr));
    auto *server = m_parts->server.get();
    soup_server_add_early_handler(server, nullptr, &parts::onHead, m_parts.get(), nullptr);
    soup_server_add_handler(server, nullptr, &parts::onRequest, m_parts.get(), nullptr);
    g_signal_connect(server, "request-started", G_CALLBACK(&parts::onStarted), m_parts.get());
    g_signal_connect(server, "request-finished", G_CALLBACK(&parts::onDone), m_parts.get());
    g_signal_connect(server, "request-aborted", G_CALLBACK(&parts::onDone), m_parts.get());
}

http_server::~http_server()
{
    g_signal_handlers_disconnect_by_data(m_parts->server.get(), m_parts.get());
    soup_server_disconnect(m_parts->server.get());
}

void http_server::listen(const std::string &address, std::uint16_t port)
{
    const object_pointer<GSocketAddress> target(g_inet_socket_address_new_from_string(address.c_str(), port));
    if (!target) {
        throw error("listen", address, "not an IP number");
    }
    GError *raw = nullptr;
    if (!soup_server_listen(m_parts->server.get(), target.get(), static_cast<SoupServerListenOptions>(0), &raw)) {
        const error_pointer fault(raw);
        throw error("listen", address + ':' + std::to_string(port), fault->message);
    }
}

std::uint16_t http_server::port() const
{
    GSList *uris = soup_server_get_uris(m_parts->server.get());
    const auto result = uris == nullptr ? 0 : g_uri_get_port(static_cast<GUri *>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return static_cast<std::uint16_t>(result);
}

void http_server::stopListening()
{
    GSList *listeners = soup_server_get_listeners(m_parts->server.get());
    for (GSList *each = listeners; each != nullptr; each = each->next) {
        g_socket_close(static_cast<GSocket *>(each->data), nullptr);
    }
    g_slist_free(listeners);
}

std::size_t http_server::inFlight() const
{
    return m_parts->inFlight;
}

} // namespace primrosecroft
