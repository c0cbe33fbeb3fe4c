#pragma once

#include "core/types.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

/**
 * Membership: which entry daemons and executors are in service, from the store's list of VMs, which lags, and from the
 * peers' heartbeats and leaving notices. The functions only decide; they use no clock and no sockets.
 */
namespace primrosecroft
{

enum class vm_role
{
    entry,
    executor, ///< executes bookings
};

/// A VM as the platform's store lists it.
struct listed_vm
{
    std::string id;
    vm_role role = vm_role::entry;
    failure_domain_id failureDomain;
    std::string region;
    std::string address; ///< an IP address
    std::uint16_t port = 0; ///< of an entry VM, the port for peers; of an executor, the port for bookings
    bool isLeaving = false;

    friend bool operator==(const listed_vm &, const listed_vm &) = default;
};

/// A peer's latest heartbeat.
struct peer_record
{
    process_id process;
    failure_domain_id failureDomain;
    std::int64_t incarnation = 0; ///< random number that the process chooses when it starts
    std::int64_t configurationVersion = 0; ///< in force there; 0 if none is
    bool isLeaving = false; ///< final for this incarnation
    instant lastContactAt; ///< when the heartbeat arrived
};

struct membership_state
{
    process_id self; ///< this process
    failure_domain_id failureDomain;
    std::vector<listed_vm> vms; ///< the last list that could be read
    std::map<process_id, peer_record> peers; ///< without this process
    /// The incarnations of each process that were replaced last, in this order. Their heartbeats are dropped.
    std::map<process_id, std::deque<std::int64_t>> retiredIncarnations;
};

/// A peer counts as out of contact after this span without a heartbeat.
inline constexpr std::chrono::seconds heartbeatTimeout {6};

/// A peer's record is removed after this span without a heartbeat.
inline constexpr std::chrono::minutes peerRetention {10};

/// What a heartbeat changed.
struct heartbeat_effect
{
    bool isDropped = false; ///< it came from this process itself, or late from an incarnation that has been replaced
    bool hasChanged = false; ///< the peer is new, replaced, leaving, or in contact again
};

/**
 * Records a heartbeat. Incarnations are random numbers without an order: the first heartbeat of a new incarnation
 * replaces the one before, and later heartbeats of the replaced one are dropped. If incarnations were times and the
 * higher one won, a process restarted on a VM whose clock went back would be ignored.
 */
heartbeat_effect recordHeartbeat(membership_state &state, peer_record peer, instant now);

/// Removes the records of peers without a heartbeat for `peerRetention`. VMs are replaced all day, so the records would
/// accumulate.
void removeExpiredPeers(membership_state &state, instant now);

/// True if the peer's last heartbeat arrived within `heartbeatTimeout`.
bool isInContact(const peer_record &peer, instant now);

/// Peers that are in contact and aren't leaving.
std::vector<peer_record> livePeers(const membership_state &state, instant now);

/**
 * True if this process represents its failure domain: it sends the heartbeats to other failure domains, so that not
 * every daemon has to send them across the link. The representative is the first by name of the domain's entry daemons
 * that are in contact and aren't leaving. While daemons disagree about these, there may be two, which costs only
 * bandwidth. @p isLeaving is true if this process itself leaves; then it never represents its domain.
 */
bool representsDomain(const membership_state &state, bool isLeaving, instant now);

/// The entry VMs that aren't leaving, sorted by id.
std::vector<listed_vm> entryVms(const membership_state &state);

/**
 * The entry VMs to send a heartbeat to: all of the own failure domain, and, if @p includesOtherDomains, up to
 * @p perDomain of each other failure domain. Each @p round selects other ones, so that a VM that has failed is not the
 * only target. Heartbeats to other domains are sent by the representative, or by any process that leaves.
 */
std::vector<listed_vm> heartbeatTargets(const membership_state &state, bool includesOtherDomains, std::size_t perDomain,
                                        std::uint64_t round);

} // namespace primrosecroft
