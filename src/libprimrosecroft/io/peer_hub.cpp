#include "io/peer_hub.h"

#include "core/error.h"
#include "io/tcp_socket.h"
#include "io/timer.h"
#include "observability/log_text.h"
#include "primrosecroft_types.h"
#include "protocol/frame.h"

#include <algorithm>
#include <cerrno>
#include <deque>
#include <glib-unix.h>
#include <glog/logging.h>
#include <optional>
#include <set>
#include <unistd.h>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

/// Frames to a peer that doesn't read are discarded once this many bytes are queued.
constexpr std::size_t maxQueuedBytes = std::size_t {4} * 1024 * 1024;
constexpr std::size_t maxQueuedFrames = 32; ///< frames kept for each peer while there is no connection
constexpr std::size_t maxAcceptedConnections = 256;
constexpr auto frameTimeout = 10s; ///< for the rest of a frame to arrive after its first bytes
constexpr auto reconnectDelay = 100ms;

struct byte_counts
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t framesSent = 0;
    std::map<std::string, frame_traffic> byKind;
};

/// One connection that carries frames in both directions. It closes itself on the first error.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    using frame_handler = std::function<void(const wire::Message &)>;

    frame_link(int descriptor, std::shared_ptr<byte_counts> counts)
        : m_socket(descriptor)
        , m_counts(std::move(counts))
    {
    }

    /// Calls @p closed with the system's error number, or with 0 for any other reason to close.
    void start(frame_handler handler, std::function<void(int fault)> closed)
    {
        m_handler = std::move(handler);
        m_closed = std::move(closed);
        tcp_socket::handlers callbacks;
        callbacks.bytesReceived = [this](std::string_view bytes) { onBytes(bytes); };
        callbacks.ended = [this] { close(0); };
        callbacks.failed = [this](int fault) { close(fault); };
        m_socket.start(std::move(callbacks));
    }

    void send(const std::string &frame)
    {
        if (m_socket.queuedBytes() > maxQueuedBytes) {
            return; // a request then ends at its timeout
        }
        m_counts->sent += frame.size();
        ++m_counts->framesSent;
        m_socket.write(frame);
    }

    std::chrono::steady_clock::time_point receivedAt() const
    {
        return m_receivedAt;
    }

    void close(int fault)
    {
        if (std::exchange(m_isClosed, true)) {
            return;
        }
        const auto self = shared_from_this();
        m_deadline.stop();
        m_socket.close();
        if (const auto closed = std::exchange(m_closed, nullptr)) {
            closed(fault);
        }
    }

private:
    void onBytes(std::string_view bytes)
    {
        const auto self = shared_from_this();
        m_counts->received += bytes.size();
        m_receivedAt = std::chrono::steady_clock::now();
        m_buffer.append(bytes);
        try {
            std::size_t begin = 0;
            while (const auto message = takeMessage(begin)) {
                handleMessage(*message);
            }
            m_buffer.erase(0, begin);
        } catch (const error &refused) {
            LOG(WARNING) << "peers: closed a connection after an invalid message, reason=" << logText(refused.what());
            close(0);
            return;
        }
        // Without this deadline, a stalled sender would hold a buffer and a connection forever.
        if (m_buffer.empty()) {
            m_deadline.stop();
        } else if (!m_deadline.isRunning()) {
            m_deadline.once(frameTimeout, [this] { close(0); });
        }
    }

    /// Decodes the frame that starts at @p begin and moves @p begin behind it. Returns std::nullopt if the frame isn't
    /// complete or the connection is closed. Throws error if it is invalid.
    std::optional<wire::Message> takeMessage(std::size_t &begin) const
    {
        if (m_isClosed || m_buffer.size() - begin < frameHeaderSize) {
            return std::nullopt;
        }
        const auto rest = std::string_view(m_buffer).substr(begin);
        const auto size = frameBodySize(rest.substr(0, frameHeaderSize));
        if (rest.size() < frameHeaderSize + size) {
            return std::nullopt;
        }
        begin += frameHeaderSize + size;
        auto message = decodeFrameBody(rest.substr(frameHeaderSize, size));
        auto &traffic = m_counts->byKind[kindOf(message)];
        ++traffic.receivedFrames;
        traffic.receivedBytes += frameHeaderSize + size;
        return message;
    }

    /// A failure of the handler says nothing about the connection, over which the messages of others' requests come
    /// too.
    void handleMessage(const wire::Message &message)
    {
        try {
            m_handler(message);
        } catch (const error &fault) {
            LOG(ERROR) << "peers: a message could not be handled, from=" << logText(message.sender.process)
                       << " reason=" << logText(fault.what());
        }
    }

    tcp_socket m_socket;
    std::shared_ptr<byte_counts> m_counts;
    frame_handler m_handler;
    std::function<void(int fault)> m_closed;
    std::string m_buffer; ///< the received part of a frame that isn't complete
    timer m_deadline; ///< for the rest of that frame
    std::chrono::steady_clock::time_point m_receivedAt; ///< when the last bytes arrived
    bool m_isClosed = false;
};

struct outgoing_peer
{
    std::shared_ptr<frame_link> link;
    std::deque<std::string> queue; ///< frames that wait for the next attempt to connect
    std::unique_ptr<timer> reconnectTimer; ///< runs after a failed connection, until the next attempt
    bool refusedConnection = false;
    bool hasAnswered = false; ///< true once a reply has arrived over the current connection
};

struct pending_request
{
    peer_address peer;
    std::chrono::steady_clock::time_point askedAt;
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
    int listener = -1;
    unsigned source = 0;
    std::map<peer_address, outgoing_peer> peers;
    std::set<std::shared_ptr<frame_link>> accepted;
    std::map<std::int64_t, pending_request> pending;
    std::int64_t lastId = 0;

    void onMessage(const wire::Message &message, const std::shared_ptr<frame_link> &link)
    {
        if (message.__isset.replyTo) {
            completeRequest(message.replyTo, message);
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

    void completeRequest(std::int64_t id, const std::optional<wire::Message> &reply)
    {
        const auto found = pending.find(id);
        if (found == pending.end()) {
            return; // a late or duplicate reply
        }
        const auto done = std::move(found->second.done);
        const auto peer = found->second.peer;
        const auto askedAt = found->second.askedAt;
        pending.erase(found);
        if (reply) {
            peers[peer].hasAnswered = true;
        } else if (const auto link = peers[peer].link; link && link->receivedAt() < askedAt) {
            // Nothing has arrived since the request, so the path may be broken; the next message connects anew.
            link->close(ETIMEDOUT);
        }
        done(reply);
    }

    /// Ends all requests to a peer whose connection has closed: their replies can't arrive any more.
    void failPending(const peer_address &peer)
    {
        std::vector<std::int64_t> lost;
        for (const auto &[id, each] : pending) {
            if (each.peer == peer) {
                lost.push_back(id);
            }
        }
        for (const auto id : lost) {
            completeRequest(id, std::nullopt);
        }
    }

    /// Adds the sender and, if the message isn't a reply and has none, an id.
    std::string encode(wire::Message message)
    {
        message.__set_sender(self);
        if (!message.__isset.replyTo && message.id == 0) {
            message.id = ++lastId;
        }
        auto frame = encodeFrame(message);
        auto &traffic = counts->byKind[kindOf(message)];
        ++traffic.sentFrames;
        traffic.sentBytes += frame.size();
        return frame;
    }

    void startLink(const std::shared_ptr<frame_link> &link, std::function<void(int)> closed)
    {
        const std::weak_ptr weakLink(link);
        link->start(
            [weakSelf = weak_from_this(), weakLink](const wire::Message &message) {
                const auto owner = weakSelf.lock();
                const auto strongLink = weakLink.lock();
                if (owner && strongLink) {
                    owner->onMessage(message, strongLink);
                }
            },
            std::move(closed));
    }

    void sendFrame(const peer_address &address, std::string frame)
    {
        auto &peer = peers[address];
        if (peer.link) {
            peer.link->send(frame);
            return;
        }
        if (peer.queue.size() >= maxQueuedFrames) {
            peer.queue.pop_front(); // the newest messages matter most
        }
        peer.queue.push_back(std::move(frame));
        if (!peer.reconnectTimer || !peer.reconnectTimer->isRunning()) {
            connect(address);
        }
    }

    void connect(const peer_address &address)
    {
        auto &peer = peers[address];
        int descriptor = -1;
        try {
            descriptor = beginConnect(address.address, address.port);
        } catch (const error &fault) {
            LOG(WARNING) << "peers: can't connect, reason=" << logText(fault.what());
            scheduleReconnect(address);
            return;
        }
        peer.link = std::make_shared<frame_link>(descriptor, counts);
        peer.hasAnswered = false;
        peer.refusedConnection = false;
        startLink(peer.link, [weakSelf = weak_from_this(), address](int fault) {
            if (const auto owner = weakSelf.lock()) {
                owner->onClosed(address, fault);
            }
        });
        for (const auto &frame : std::exchange(peer.queue, {})) {
            peer.link->send(frame);
        }
    }

    void onClosed(const peer_address &address, int fault)
    {
        auto &peer = peers[address];
        const bool hadAnswered = peer.hasAnswered;
        peer.link.reset();
        peer.refusedConnection = fault == ECONNREFUSED;
        if (!hadAnswered) {
            scheduleReconnect(address);
        }
        failPending(address);
    }

    /// Schedules the next attempt after a failure. Frames sent until then are queued instead of being lost.
    void scheduleReconnect(const peer_address &address)
    {
        auto &peer = peers[address];
        peer.reconnectTimer = std::make_unique<timer>();
        peer.reconnectTimer->once(reconnectDelay, [this, address] {
            if (!peers[address].queue.empty()) {
                connect(address);
            }
        });
    }

    static gboolean onIncoming(gint listener, GIOCondition /*condition*/, gpointer self)
    {
        auto &owner = *static_cast<parts *>(self);
        for (int descriptor = acceptConnection(listener); descriptor >= 0; descriptor = acceptConnection(listener)) {
            if (owner.accepted.size() >= maxAcceptedConnections) {
                ::close(descriptor);
                continue;
            }
            const auto link = std::make_shared<frame_link>(descriptor, owner.counts);
            owner.accepted.insert(link);
            owner.startLink(link, [weakSelf = owner.weak_from_this(), weakLink = std::weak_ptr(link)](int) {
                const auto strong = weakSelf.lock();
                const auto ended = weakLink.lock();
                if (strong && ended) {
                    strong->accepted.erase(ended);
                }
            });
        }
        return G_SOURCE_CONTINUE;
    }
};

peer_hub::peer_hub(const wire::Sender &self, message_handler handler)
    : m_parts(std::make_shared<parts>())
{
    m_parts->self = self;
    m_parts->handler = std::move(handler);
}

peer_hub::~peer_hub()
{
    if (m_parts->source != 0) {
        g_source_remove(std::exchange(m_parts->source, 0));
        ::close(std::exchange(m_parts->listener, -1));
    }
    m_parts->pending.clear();
    const auto peers = std::exchange(m_parts->peers, {});
    for (const auto &[address, peer] : peers) {
        if (peer.link) {
            peer.link->close(0);
        }
    }
    const auto accepted = std::exchange(m_parts->accepted, {});
    for (const auto &link : accepted) {
        link->close(0);
    }
}

void peer_hub::listen(const peer_address &address)
{
    m_parts->listener = beginListen(address.address, address.port);
    m_parts->source = g_unix_fd_add(m_parts->listener, G_IO_IN, &parts::onIncoming, m_parts.get());
}

void peer_hub::send(const peer_address &peer, const wire::Message &message)
{
    m_parts->sendFrame(peer, m_parts->encode(message));
}

void peer_hub::ask(const peer_address &peer, wire::Message message, std::chrono::milliseconds timeout,
                   reply_handler done)
{
    message.id = ++m_parts->lastId;
    auto &entry = m_parts->pending[message.id];
    entry.peer = peer;
    entry.askedAt = std::chrono::steady_clock::now();
    entry.done = std::move(done);
    entry.deadline = std::make_unique<timer>();
    const auto id = message.id;
    entry.deadline->once(timeout, [weakSelf = std::weak_ptr(m_parts), id] {
        if (const auto owner = weakSelf.lock()) {
            owner->completeRequest(id, std::nullopt);
        }
    });
    m_parts->sendFrame(peer, m_parts->encode(message));
}

bool peer_hub::refusedConnection(const peer_address &peer) const
{
    const auto found = m_parts->peers.find(peer);
    return found != m_parts->peers.end() && found->second.refusedConnection;
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

const std::map<std::string, frame_traffic> &peer_hub::traffic() const
{
    return m_parts->counts->byKind;
}

} // namespace primrosecroft
