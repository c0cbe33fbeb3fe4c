#include "membership/membership.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

void heardFrom(membership_state &state, peer_record peer, instant now)
{
    const auto known = state.peers.find(peer.process);
    if (known != state.peers.end() && known->second.incarnation > peer.incarnation) {
        return;
    }
    peer.heardAt = now;
    state.peers[peer.process] = std::move(peer);
}

std::vector<peer_record> livePeers(const membership_state &state, instant now)
{
    std::vector<peer_record> result;
    std::ranges::copy_if(state.peers | std::views::values, std::back_inserter(result),
                         [now](const peer_record &peer) { return !peer.leaving && now < peer.heardAt + peerSilence; });
    return result;
}

std::vector<listed_vm> entryVms(const membership_state &state)
{
    std::vector<listed_vm> result;
    std::ranges::copy_if(state.vms, std::back_inserter(result),
                         [](const listed_vm &vm) { return vm.role == vm_role::entry && !vm.leaving; });
    std::ranges::sort(result, {}, &listed_vm::id);
    return result;
}

} // namespace primrosecroft
