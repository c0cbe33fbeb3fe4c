#include "entry_peers.h"

#include "core/clock.h"
#include "core/error.h"
#include "membership/daemon_row.h"
#include "primrosecroft_types.h"
#include "protocol/sender.h"

#include <algorithm>
#include <glog/logging.h>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t heartbeatsPerDomain = 1; ///< in each round, to each other failure domain
constexpr double storeRecoveryCallRate = 80.0; ///< after an outage, calls per second of all entry daemons together
constexpr int rowWritesPerLifetime = 3; ///< how often the own row is written within maxDaemonRowAge

wire::Message bodyMessage(const configuration_version &version)
{
    wire::Message message;
    message.configurationBody.version = version.version;
    message.configurationBody.hash = version.hash;
    message.configurationBody.body = version.text;
    message.__isset.configurationBody = true;
    return message;
}

} // namespace

entry_peers::entry_peers(const entry_daemon_settings &settings, std::int64_t incarnation,
                         monitored_store &monitoredStore, guarded_store &rows, configuration_follower &configuration,
                         upstream_source source, entry_peers_links links)
    : m_settings(settings)
    , m_monitoredStore(monitoredStore)
    , m_store(rows)
    , m_configuration(configuration)
    , m_source(std::move(source))
    , m_links(std::move(links))
    , m_hub(makeSender(settings.process, "entryd", settings.failureDomain, incarnation),
            [this](const wire::Message &message, const auto &reply) { handleMessage(message, reply); })
{
    m_membership.self = settings.process;
    m_membership.failureDomain = settings.failureDomain;
}

void entry_peers::start()
{
    m_hub.listen({m_settings.address, m_settings.peerPort});
    m_listTimer.every(m_settings.vmListInterval, [this] { refresh(); });
    m_heartbeatTimer.every(m_settings.heartbeatInterval, [this] { sendHeartbeats(); });
    refresh();
}

void entry_peers::leave()
{
    m_isLeaving = true;
    sendHeartbeats();
    store_transaction removal;
    removal.removals.push_back(daemonPlace(m_settings.process));
    m_store.commit(removal, [](const commit_result &result) {
        LOG(INFO) << "peers: removed own row, outcome=" << toString(result.outcome);
    });
}

bool entry_peers::hasMemberList() const
{
    return m_hasMemberList;
}

const membership_state &entry_peers::membership() const
{
    return m_membership;
}

peer_hub &entry_peers::hub()
{
    return m_hub;
}

void entry_peers::broadcast(const wire::Message &message)
{
    for (const auto &vm : entryVms(m_membership)) {
        if (vm.id != m_settings.process) {
            m_hub.send({vm.address, vm.port}, message);
        }
    }
}

void entry_peers::handleMessage(const wire::Message &message, const std::function<void(wire::Message)> &reply)
{
    if (message.__isset.heartbeat) {
        handleHeartbeat(message, reply);
    } else if (message.__isset.configurationRequest) {
        offerConfiguration(message.configurationRequest.aboveVersion, reply);
    } else if (message.__isset.configurationBody) {
        const auto &body = message.configurationBody;
        m_configuration.offer({body.version, body.hash, body.body});
    } else {
        m_links.handleMessage(message);
    }
}

void entry_peers::handleHeartbeat(const wire::Message &message, const std::function<void(wire::Message)> &reply)
{
    const auto &heartbeat = message.heartbeat;
    peer_record peer;
    peer.process = message.sender.process;
    peer.failureDomain = message.sender.failureDomain;
    peer.incarnation = message.sender.incarnation;
    peer.configurationVersion = heartbeat.configurationVersion;
    peer.isLeaving = heartbeat.leaving;
    const auto effect = recordHeartbeat(m_membership, peer, bootNow());
    if (effect.isDropped) {
        return;
    }
    if (effect.hasChanged) {
        m_links.membershipChanged();
    }
    m_configuration.recordPeerVersion(heartbeat.configurationVersion);
    const auto own = m_configuration.current() ? m_configuration.current()->version : 0;
    if (heartbeat.configurationVersion < own) {
        offerConfiguration(heartbeat.configurationVersion, reply);
    } else if (heartbeat.configurationVersion > own) {
        wire::Message request;
        request.configurationRequest.aboveVersion = own;
        request.__isset.configurationRequest = true;
        reply(request);
    }
}

void entry_peers::offerConfiguration(std::int64_t above, const std::function<void(wire::Message)> &reply) const
{
    const auto &current = m_configuration.current();
    if (current && current->version > above) {
        reply(bodyMessage(*current));
    }
}

bool entry_peers::isRepresentative() const
{
    return representsDomain(m_membership, m_isLeaving, bootNow());
}

/// Returns the addresses of all entry daemons of the own failure domain; for its representative also one of each other
/// failure domain.
std::vector<peer_address> entry_peers::heartbeatPeers()
{
    std::vector<peer_address> result;
    // The heartbeats that announce the leaving go to all entry daemons.
    const auto perDomain = m_isLeaving ? m_membership.vms.size() : heartbeatsPerDomain;
    for (const auto &vm :
         heartbeatTargets(m_membership, m_isLeaving || isRepresentative(), perDomain, ++m_heartbeatRound)) {
        if (vm.id != m_settings.process) {
            result.push_back({vm.address, vm.port});
        }
    }
    return result;
}

void entry_peers::sendHeartbeats()
{
    removeExpiredPeers(m_membership, bootNow());
    m_configuration.setFetchesFirst(isRepresentative());
    wire::Message message;
    message.heartbeat.configurationVersion = m_configuration.current() ? m_configuration.current()->version : 0;
    message.heartbeat.leaving = m_isLeaving;
    message.__isset.heartbeat = true;
    for (const auto &peer : heartbeatPeers()) {
        m_hub.ask(peer, message, m_settings.heartbeatInterval, [this, peer](std::optional<wire::Message> reply) {
            if (!reply) {
                return;
            }
            if (reply->__isset.configurationBody) {
                const auto &body = reply->configurationBody;
                m_configuration.offer({body.version, body.hash, body.body});
            } else if (reply->__isset.configurationRequest && m_configuration.current()) {
                m_hub.send(peer, bodyMessage(*m_configuration.current()));
            }
        });
    }
}

void entry_peers::refresh()
{
    m_store.readAll({daemonTable, "", "", ""}, [this](const rows_result &daemons) {
        if (!daemons) {
            return; // the last list that was read stays in use
        }
        m_store.readAll({m_source.table, "", "", ""}, [this, daemons](const rows_result &executors) {
            if (executors) {
                applyRows(*daemons, *executors);
            }
        });
    });
}

void entry_peers::applyRows(const std::vector<store_row> &daemons, const std::vector<store_row> &executors)
{
    std::vector<listed_vm> vms;
    applyDaemonRows(daemons, vms);
    for (const auto &row : executors) {
        if (auto executor = m_source.decode(row.place.key, row.value)) {
            vms.push_back(std::move(*executor));
        }
    }
    m_membership.vms = std::move(vms);
    const auto count = std::max<std::size_t>(1, entryVms(m_membership).size());
    m_store.setRecoveryRate(storeRecoveryCallRate / static_cast<double>(count));
    m_links.membershipChanged();
    writeOwnRow();
    if (!std::exchange(m_hasMemberList, true)) {
        sendHeartbeats();
    }
}

/// Adds the daemons of all current rows to @p vms. A representative also removes unreadable rows, and rows that are so
/// old that their daemons are gone.
void entry_peers::applyDaemonRows(const std::vector<store_row> &rows, std::vector<listed_vm> &vms)
{
    for (const auto &row : rows) {
        try {
            const auto daemon = decodeDaemon(row.place.key, row.value);
            if (daemon.writtenAt + maxDaemonRowAge > m_monitoredStore.storeTime()) {
                vms.push_back(daemon.vm);
                continue;
            }
        } catch (const error &fault) {
            LOG(WARNING) << "peers: unreadable row, daemon=" << row.place.key << " reason=" << fault.what();
        }
        if (isRepresentative()) {
            m_store.commit({{{row.place, row.version}}, {}, {row.place}}, [key = row.place.key](const auto &result) {
                LOG(INFO) << "peers: removed row, daemon=" << key << " outcome=" << toString(result.outcome);
            });
        }
    }
}

void entry_peers::writeOwnRow()
{
    const auto now = m_monitoredStore.storeTime();
    if (m_isLeaving || (m_rowWrittenAt.count() > 0 && now < m_rowWrittenAt + maxDaemonRowAge / rowWritesPerLifetime)) {
        return;
    }
    daemon_row own;
    own.vm = {m_settings.process,  vm_role::entry, m_settings.failureDomain, m_settings.region, m_settings.address,
              m_settings.peerPort, false};
    own.writtenAt = now;
    store_transaction row;
    row.writes.push_back({daemonPlace(own.vm.id), encodeDaemon(own)});
    m_store.commit(row, [this, now](const commit_result &result) {
        if (result.outcome == store_outcome::done) {
            m_rowWrittenAt = now;
        }
    });
}

} // namespace primrosecroft
