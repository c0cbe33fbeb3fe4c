#pragma once

#include "core/types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * Who serves: the store's lagging list of VMs, joined with what peers say of
 * themselves in heartbeats and goodbyes. Pure decisions, no clock and no sockets.
 */
namespace primrosecroft
{

enum class vm_role
{
    entry,
    executor, ///< of bookings
};

/// A VM as the platform's store lists it.
struct listed_vm
{
    std::string id;
    vm_role role = vm_role::entry;
    failure_domain_id failureDomain;
    std::string region;
    std::string address; ///< an IP number
    std::uint16_t port = 0; ///< for peers of an entry VM, for bookings of an executor
    bool leaving = false;

    friend bool operator==(const listed_vm &, const listed_vm &) = default;
};

/// What a peer said last.
struct peer_record
{
    process_id process;
    failure_domain_id failureDomain;
    std::int64_t incarnation = 0;
    std::int64_t configurationVersion = 0;
    bool leaving = false;
    instant lastContactAt;
};

struct membership_state
{
    process_id self; ///< this process
    failure_domain_id failureDomain;
    std::vector<listed_vm> vms; ///< the last list that could be read
    std::map<process_id, peer_record> peers;
    std::map<process_id, std::set<std::int64_t>> retiredIncarnations; ///< incarnations that another has replaced
};

/// A peer counts as out of touch after this silence.
inline constexpr std::chrono::seconds heartbeatTimeout {6};

/// What was known of a peer is forgotten after this silence.
inline constexpr std::chrono::minutes peerRetention {10};

/// What a heartbeat changed.
struct heartbeat_effect
{
    bool dropped = false; ///< it came late, from an incarnation that has been replaced
    bool changed = false; ///< a peer is new, replaced, back or leaving
};

/**
 * Takes a heartbeat. An incarnation is only a random name: the latest one to be heard
 * replaces the one before, which is never believed again. So a clock that went back
 * on a replaced VM can't keep its process out.
 */
heartbeat_effect recordHeartbeat(membership_state &state, peer_record peer, instant now);

/// Forgets peers that have been silent for long. VMs are replaced all day.
void removeExpiredPeers(membership_state &state, instant now);

/// True while the peer was heard lately.
bool isInContact(const peer_record &peer, instant now);

/// Processes that were heard lately and don't leave.
std::vector<peer_record> livePeers(const membership_state &state, instant now);

/**
 * True when this process speaks for its failure domain across the link: the first
 * by name of the entry daemons there that are live. During a disagreement two may
 * speak, which costs bytes and nothing else.
 */
bool representsDomain(const membership_state &state, bool isLeaving, instant now);

/// The entry VMs that aren't leaving, by id.
std::vector<listed_vm> entryVms(const membership_state &state);

/**
 * The entry VMs to send a heartbeat to: all of the own failure domain, and of each
 * other failure domain, for a representative only, as many as @p perDomain, another
 * choice each @p turn so that a dead one is passed over.
 */
std::vector<listed_vm> heartbeatTargets(const membership_state &state, bool isRepresentative, std::size_t perDomain,
                                        std::uint64_t round);

} // namespace primrosecroft
