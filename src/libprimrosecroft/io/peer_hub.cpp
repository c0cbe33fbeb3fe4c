#include "io/peer_hub.h"

#include "core/error.h"
#include "io/timer.h"
#include "observability/log_text.h"
#include "primrosecroft_types.h"
#include "protocol/frame.h"

#include <algorithm>
#include <deque>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <set>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t mostQueuedFrames = 512;
constexpr std::size_t mostWaitingFrames = 32;
constexpr std::size_t mostAcceptedPeers = 256;
constexpr std::size_t readPiece = std::size_t {16} * 1024;
constexpr auto frameDeadline = 10s;
constexpr int unacknowledgedLimitMs = 6'000;
constexpr auto connectTimeout = 2s;
constexpr auto reconnectPause = 500ms;

struct byte_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t framesSent = 0;
};

/// One stream of frames, in either direction. Ends itself on the first fault.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    using frame_handler = std::function<void(const wire::Message &)>;

    frame_link(object_pointer<GSocketConnection> connection, std::shared_ptr<byte_counts> counts)
        : m_connection(std::move(connection))
        , m_cancellable(g_cancellable_new())
        , m_counts(std::move(counts))
    {
    }

    void start(frame_handler handler, std::function<void()> closed)
    {
        m_handler = std::move(handler);
        m_closed = std::move(closed);
        // A cut that drops packets ends the link soon, so that a healed one is used at once.
        g_socket_set_option(g_socket_connection_get_socket(m_connection.get()), IPPROTO_TCP, TCP_USER_TIMEOUT,
                            unacknowledgedLimitMs, nullptr);
        readHead();
    }

    void send(std::string frame)
    {
        if (m_queue.size() < mostQueuedFrames) {
            m_queue.push_back(std::move(frame));
        }
        writeNext();
    }

    void close()
    {
        if (std::exchange(m_isClosed, true)) {
            return;
        }
        m_deadline.stop();
        g_cancellable_cancel(m_cancellable.get());
        g_io_stream_close_async(G_IO_STREAM(m_connection.get()), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
        if (const auto closed = std::exchange(m_closed, nullptr)) {
            closed();
        }
    }

private:
    /// Keeps the link alive while an asynchronous call is under way.
    using keeper = std::shared_ptr<frame_link>;

    void readHead()
    {
        m_buffer.assign(frameHeadSize, '\0');
        m_begun = 0;
        m_deadline.stop();
        read([](frame_link &self) {
            const auto size = frameBodySize(self.m_buffer);
            // A stalled sender may not hold a buffer or a connection for good.
            self.m_deadline.once(frameDeadline, [&self] { self.close(); });
            self.m_buffer.clear();
            self.m_begun = 0;
            self.readBody(size);
        });
    }

    /// Grows with what has arrived, so that a length alone takes no memory.
    void readBody(std::size_t size)
    {
        m_bodySize = size;
        m_buffer.resize(std::min(size, m_begun + readPiece));
        read([](frame_link &self) {
            if (self.m_buffer.size() < self.m_bodySize) {
                self.m_begun = self.m_buffer.size();
                self.readBody(self.m_bodySize);
                return;
            }
            const auto message = decodeFrameBody(self.m_buffer);
            self.m_handler(message);
            if (!self.m_isClosed) {
                self.readHead();
            }
        });
    }

    void read(void (*then)(frame_link &))
    {
        m_then = then;
        g_input_stream_read_all_async(g_io_stream_get_input_stream(G_IO_STREAM(m_connection.get())),
                                      m_buffer.data() + m_begun, m_buffer.size() - m_begun, G_PRIORITY_DEFAULT,
                                      m_cancellable.get(), &frame_link::onRead, new keeper(shared_from_this()));
    }

    static void onRead(GObject *stream, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<keeper> self(static_cast<keeper *>(data));
        auto &link = **self;
        gsize count = 0;
        GError *raw = nullptr;
        const auto good = g_input_stream_read_all_finish(G_INPUT_STREAM(stream), result, &count, &raw);
        const error_pointer fault(raw);
        link.m_counts->received += count;
        if (good == FALSE || link.m_begun + count < link.m_buffer.size() || link.m_isClosed) {
            link.close();
            return;
        }
        try {
            link.m_then(link);
        } catch (const error &refused) {
            LOG(WARNING) << "peers: closed a connection, reason=" << logText(refused.what());
            link.close();
        }
    }

    void writeNext()
    {
        if (m_writing || m_queue.empty() || m_isClosed) {
            return;
        }
        m_writing = true;
        m_outgoing = std::move(m_queue.front());
        m_queue.pop_front();
        g_output_stream_write_all_async(g_io_stream_get_output_stream(G_IO_STREAM(m_connection.get())),
                                        m_outgoing.data(), m_outgoing.size(), G_PRIORITY_DEFAULT, m_cancellable.get(),
                                        &frame_link::onWritten, new keeper(shared_from_this()));
    }

    static void onWritten(GObject *stream, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<keeper> self(static_cast<keeper *>(data));
        auto &link = **self;
        gsize count = 0;
        GError *raw = nullptr;
        const auto good = g_output_stream_write_all_finish(G_OUTPUT_STREAM(stream), result, &count, &raw);
        const error_pointer fault(raw);
        link.m_counts->sent += count;
        ++link.m_counts->framesSent;
        link.m_writing = false;
        if (good == FALSE) {
            link.close();
            return;
        }
        link.writeNext();
    }

    object_pointer<GSocketConnection> m_connection;
    object_pointer<GCancellable> m_cancellable;
    std::shared_ptr<byte_counts> m_counts;
    frame_handler m_handler;
    std::function<void()> m_closed;
    std::string m_buffer;
    std::size_t m_begun = 0; ///< bytes of the buffer that are there
    std::size_t m_bodySize = 0;
    timer m_deadline;
    std::string m_outgoing;
    std::deque<std::string> m_queue;
    void (*m_then)(frame_link &) = nullptr;
    bool m_writing = false;
    bool m_isClosed = false;
};

struct outgoing_peer
{
    std::shared_ptr<frame_link> link;
    std::deque<std::string> queue; ///< until the connection stands
    bool connecting = false;
    std::unique_ptr<timer> retry; ///< runs while the peer was unreachable a moment ago
};

struct pending_reply
{
    peer_hub::reply_handler done;
    std::unique_ptr<timer> deadline;
};

} // namespace

std::string toString(const peer_address &peer)
{
    return peer.address + ':' + std::to_string(peer.port);
}

struct peer_hub::parts : std::enable_shared_from_this<peer_hub::parts>
{
    wire::Sender self;
    message_handler handler;
    std::shared_ptr<byte_counts> counts = std::make_shared<byte_counts>();
    object_pointer<GSocketService> service;
    object_pointer<GSocketClient> client {g_socket_client_new()};
    std::map<peer_address, outgoing_peer> peers;
    std::set<std::shared_ptr<frame_link>> accepted;
    std::map<std::int64_t, pending_reply> pending;
    std::int64_t lastId = 0;

    struct connect_call
    {
        std::weak_ptr<parts> owner;
        peer_address peer;
    };

    void received(const wire::Message &message, const std::shared_ptr<frame_link> &link)
    {
        if (message.__isset.replyTo) {
            settle(message.replyTo, message);
            return;
        }
        const auto reply = [weakLink = std::weak_ptr(link), weakSelf = weak_from_this(),
                            id = message.id](wire::Message answer) {
            const auto target = weakLink.lock();
            const auto owner = weakSelf.lock();
            if (target && owner) {
                answer.__set_replyTo(id);
                target->send(owner->encode(answer));
            }
        };
        handler(message, reply);
    }

    void settle(std::int64_t id, const std::optional<wire::Message> &reply)
    {
        const auto found = pending.find(id);
        if (found == pending.end()) {
            return; // too late, or doubled
        }
        const auto done = std::move(found->second.done);
        pending.erase(found);
        done(reply);
    }

    std::string encode(wire::Message message)
    {
        message.__set_sender(self);
        if (!message.__isset.replyTo && message.id == 0) {
            message.id = ++lastId;
        }
        return encodeFrame(message);
    }

    void adopt(const std::shared_ptr<frame_link> &link, std::function<void()> closed)
    {
        const std::weak_ptr weakLink(link);
        link->start(
            [weakSelf = weak_from_this(), weakLink](const wire::Message &message) {
                const auto owner = weakSelf.lock();
                const auto strongLink = weakLink.lock();
                if (owner && strongLink) {
                    owner->received(message, strongLink);
                }
            },
            std::move(closed));
    }

    void post(const peer_address &address, std::string frame)
    {
        auto &peer = peers[address];
        if (peer.link) {
            peer.link->send(std::move(frame));
            return;
        }
        if (peer.queue.size() >= mostWaitingFrames) {
            peer.queue.pop_front(); // what is newest matters most
        }
        peer.queue.push_back(std::move(frame));
        connect(address);
    }

    void connect(const peer_address &address)
    {
        auto &peer = peers[address];
        if (peer.connecting || (peer.retry && peer.retry->isRunning())) {
            return;
        }
        peer.connecting = true;
        const object_pointer<GSocketAddress> target(
            g_inet_socket_address_new_from_string(address.address.c_str(), address.port));
        g_socket_client_connect_async(client.get(), G_SOCKET_CONNECTABLE(target.get()), nullptr, &parts::onConnected,
                                      new connect_call {weak_from_this(), address});
    }

    /// After a failure: what is sent meanwhile waits for the next try instead of being lost.
    void connectLater(const peer_address &address)
    {
        auto &peer = peers[address];
        peer.retry = std::make_unique<timer>();
        peer.retry->once(reconnectPause, [this, address] {
            if (!peers[address].queue.empty()) {
                connect(address);
            }
        });
    }

    static void onConnected(GObject *source, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<connect_call> call(static_cast<connect_call *>(data));
        GError *raw = nullptr;
        object_pointer<GSocketConnection> connection(
            g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, &raw));
        const error_pointer fault(raw);
        const auto owner = call->owner.lock();
        if (!owner) {
            return;
        }
        auto &peer = owner->peers[call->peer];
        peer.connecting = false;
        auto queue = std::exchange(peer.queue, {});
        if (!connection) {
            owner->connectLater(call->peer);
            return;
        }
        // The client's time limit was for connecting; the stream may stay idle.
        g_socket_set_timeout(g_socket_connection_get_socket(connection.get()), 0);
        peer.link = std::make_shared<frame_link>(std::move(connection), owner->counts);
        owner->adopt(peer.link, [weakSelf = call->owner, address = call->peer] {
            if (const auto strong = weakSelf.lock()) {
                strong->peers[address].link.reset();
            }
        });
        for (auto &frame : queue) {
            peer.link->send(std::move(frame));
        }
    }

    static int onIncoming(GSocketService * /*service*/, GSocketConnection *connection, GObject * /*source*/,
                          gpointer data)
    {
        auto &owner = *static_cast<parts *>(data);
        if (owner.accepted.size() >= mostAcceptedPeers) {
            return TRUE; // dropping the reference closes it
        }
        const auto link = std::make_shared<frame_link>(shareObject(connection), owner.counts);
        owner.accepted.insert(link);
        owner.adopt(link, [weakSelf = owner.weak_from_this(), weakLink = std::weak_ptr(link)] {
            const auto strong = weakSelf.lock();
            const auto closed = weakLink.lock();
            if (strong && closed) {
                strong->accepted.erase(closed);
            }
        });
        return TRUE;
    }
};

peer_hub::peer_hub(const wire::Sender &self, message_handler handler)
    : m_parts(std::make_shared<parts>())
{
    m_parts->self = self;
    m_parts->handler = std::move(handler);
    g_socket_client_set_timeout(m_parts->client.get(),
                                static_cast<guint>(std::chrono::seconds(connectTimeout).count()));
}

peer_hub::~peer_hub()
{
    if (m_parts->service) {
        g_signal_handlers_disconnect_by_data(m_parts->service.get(), m_parts.get());
        g_socket_service_stop(m_parts->service.get());
        g_socket_listener_close(G_SOCKET_LISTENER(m_parts->service.get()));
    }
    const auto peers = std::exchange(m_parts->peers, {});
    for (const auto &[address, peer] : peers) {
        if (peer.link) {
            peer.link->close();
        }
    }
    const auto accepted = std::exchange(m_parts->accepted, {});
    for (const auto &link : accepted) {
        link->close();
    }
}

void peer_hub::listen(const peer_address &address)
{
    m_parts->service.reset(g_socket_service_new());
    const object_pointer<GSocketAddress> target(
        g_inet_socket_address_new_from_string(address.address.c_str(), address.port));
    GError *raw = nullptr;
    if (!target
        || g_socket_listener_add_address(G_SOCKET_LISTENER(m_parts->service.get()), target.get(), G_SOCKET_TYPE_STREAM,
                                         G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &raw)
            == FALSE) {
        const error_pointer fault(raw);
        throw error("listen for peers", toString(address), fault ? fault->message : "not an IP number");
    }
    g_signal_connect(m_parts->service.get(), "incoming", G_CALLBACK(&parts::onIncoming), m_parts.get());
    g_socket_service_start(m_parts->service.get());
}

void peer_hub::send(const peer_address &peer, const wire::Message &message)
{
    m_parts->post(peer, m_parts->encode(message));
}

void peer_hub::ask(const peer_address &peer, wire::Message message, std::chrono::milliseconds timeout,
                   reply_handler done)
{
    message.id = ++m_parts->lastId;
    auto &entry = m_parts->pending[message.id];
    entry.done = std::move(done);
    entry.deadline = std::make_unique<timer>();
    const auto id = message.id;
    entry.deadline->once(timeout, [weakSelf = std::weak_ptr(m_parts), id] {
        if (const auto owner = weakSelf.lock()) {
            owner->settle(id, std::nullopt);
        }
    });
    m_parts->post(peer, m_parts->encode(message));
}

std::uint64_t peer_hub::bytesSent() const
{
    return m_parts->counts->sent;
}

std::uint64_t peer_hub::messagesSent() const
{
    return m_parts->counts->framesSent;
}

std::uint64_t peer_hub::bytesReceived() const
{
    return m_parts->counts->received;
}

} // namespace primrosecroft
