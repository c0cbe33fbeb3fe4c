#pragma once

#include "core/types.h"
#include "io/peer_hub.h"
#include "platform/platform_client.h"

#include <map>
#include <string>
#include <vector>

/**
 * Who serves: the platform's lagging list of VMs, joined with what peers say of
 * themselves in heartbeats and goodbyes.
 */
namespace primrosecroft
{

/// What a peer said last.
struct peer_record
{
    process_id process;
    failure_domain_id failureDomain;
    std::string role; ///< entryd or schedd
    std::int64_t incarnation = 0;
    std::int64_t configurationVersion = 0;
    bool placing = false;
    bool leaving = false;
    instant heardAt;
};

struct membership_state
{
    std::vector<listed_vm> vms; ///< the last list that could be read
    std::map<process_id, peer_record> peers;
};

inline constexpr std::chrono::seconds peerSilence {6};

/// Takes a heartbeat; one of an earlier incarnation is dropped.
void heardFrom(membership_state &state, peer_record peer, instant now);

/// Processes that were heard lately and don't leave.
std::vector<peer_record> livePeers(const membership_state &state, instant now);

/// The entry VMs that aren't leaving, by id.
std::vector<listed_vm> entryVms(const membership_state &state);

} // namespace primrosecroft
