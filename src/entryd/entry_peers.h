#pragma once

#include "configuration/configuration_follower.h"
#include "io/peer_hub.h"
#include "io/timer.h"
#include "membership/membership.h"
#include "settings/entry_daemon_settings.h"
#include "store/guarded_store.h"
#include "store/monitored_store.h"

#include <functional>
#include <optional>
#include <string>

namespace primrosecroft
{

/// The store's table in which executors of bookings register, and the decoder of its rows.
struct upstream_source
{
    std::string table;
    std::function<std::optional<listed_vm>(const std::string &id, const std::string &text)> decode;
};

struct entry_peers_links
{
    std::function<void()> membershipChanged;
    std::function<void(const wire::Message &message)> handleMessage; ///< gets messages that entry_peers doesn't handle
};

/**
 * Keeps this entry daemon in contact with the other entry daemons of the deployment: reads
 * their rows in the store, exchanges heartbeats, and passes newer versions of the
 * configuration on.
 */
class entry_peers
{
public:
    entry_peers(const entry_daemon_settings &settings, std::int64_t incarnation, monitored_store &monitoredStore,
                guarded_store &rows, configuration_follower &configuration, upstream_source source,
                entry_peers_links links);

    /// Listens for peers and starts the heartbeats. Throws error if the address can't be bound.
    void start();

    /// Announces to all peers that this process leaves, and removes its row from the store.
    void leave();

    /// Sends heartbeats with the configuration version that is in force here. Runs at each heartbeat interval; also
    /// called when a new version has come into force.
    void sendHeartbeats();

    /// Sends a message to all other entry daemons.
    void broadcast(const wire::Message &message);

    /// True once the list of daemons and executors has been read from the store.
    bool hasMemberList() const;

    const membership_state &membership() const;
    peer_hub &hub();

private:
    void handleMessage(const wire::Message &message, const std::function<void(wire::Message)> &reply);
    void handleHeartbeat(const wire::Message &message, const std::function<void(wire::Message)> &reply);
    void offerConfiguration(std::int64_t above, const std::function<void(wire::Message)> &reply) const;
    std::vector<peer_address> heartbeatPeers();
    bool isRepresentative() const;
    void refresh();
    void applyRows(const std::vector<store_row> &daemons, const std::vector<store_row> &executors);
    void applyDaemonRows(const std::vector<store_row> &rows, std::vector<listed_vm> &vms);
    void writeOwnRow();

    const entry_daemon_settings &m_settings;
    monitored_store &m_monitoredStore;
    guarded_store &m_store;
    configuration_follower &m_configuration;
    upstream_source m_source;
    entry_peers_links m_links;
    membership_state m_membership;
    peer_hub m_hub;
    timer m_listTimer;
    timer m_heartbeatTimer;
    std::chrono::milliseconds m_rowWrittenAt {0}; ///< on the store's clock; 0 before the first write
    std::uint64_t m_heartbeatRound = 0;
    bool m_isLeaving = false;
    bool m_hasMemberList = false;
};

} // namespace primrosecroft
