#include "membership/membership.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxRetiredPerProcess = 8;

bool isRetired(const membership_state &state, const peer_record &peer)
{
    const auto retired = state.retiredIncarnations.find(peer.process);
    return retired != state.retiredIncarnations.end()
        && std::ranges::find(retired->second, peer.incarnation) != retired->second.end();
}

void retireIncarnation(membership_state &state, const peer_record &peer)
{
    auto &retired = state.retiredIncarnations[peer.process];
    if (retired.size() >= maxRetiredPerProcess) {
        retired.pop_front();
    }
    retired.push_back(peer.incarnation);
}

bool differs(const peer_record &before, const peer_record &after)
{
    return before.incarnation != after.incarnation || before.isLeaving != after.isLeaving;
}

} // namespace

heartbeat_effect recordHeartbeat(membership_state &state, peer_record peer, instant now)
{
    if (peer.process == state.self || isRetired(state, peer)) {
        return {true, false};
    }
    peer.lastContactAt = now;
    const auto known = state.peers.find(peer.process);
    if (known == state.peers.end()) {
        state.peers.emplace(peer.process, peer);
        return {false, true};
    }
    if (known->second.incarnation != peer.incarnation) {
        retireIncarnation(state, known->second);
    } else {
        // An incarnation that has announced its leaving never returns.
        peer.isLeaving = peer.isLeaving || known->second.isLeaving;
    }
    const auto changed = differs(known->second, peer) || !isInContact(known->second, now);
    known->second = std::move(peer);
    return {false, changed};
}

void removeExpiredPeers(membership_state &state, instant now)
{
    std::erase_if(state.peers, [now](const auto &entry) { return entry.second.lastContactAt + peerRetention <= now; });
    std::erase_if(state.retiredIncarnations,
                  [&state](const auto &entry) { return !state.peers.contains(entry.first); });
}

bool isInContact(const peer_record &peer, instant now)
{
    return now < peer.lastContactAt + heartbeatTimeout;
}

std::vector<peer_record> livePeers(const membership_state &state, instant now)
{
    std::vector<peer_record> result;
    std::ranges::copy_if(state.peers | std::views::values, std::back_inserter(result),
                         [now](const peer_record &peer) { return !peer.isLeaving && isInContact(peer, now); });
    return result;
}

bool representsDomain(const membership_state &state, bool isLeaving, instant now)
{
    if (isLeaving) {
        return false;
    }
    return std::ranges::none_of(state.peers | std::views::values, [&state, now](const peer_record &peer) {
        return peer.failureDomain == state.failureDomain && !peer.isLeaving && isInContact(peer, now)
            && peer.process < state.self;
    });
}

std::vector<listed_vm> entryVms(const membership_state &state)
{
    std::vector<listed_vm> result;
    std::ranges::copy_if(state.vms, std::back_inserter(result),
                         [](const listed_vm &vm) { return vm.role == vm_role::entry && !vm.isLeaving; });
    std::ranges::sort(result, {}, &listed_vm::id);
    return result;
}

std::vector<listed_vm> heartbeatTargets(const membership_state &state, bool includesOtherDomains, std::size_t perDomain,
                                        std::uint64_t round)
{
    std::vector<listed_vm> result;
    std::map<failure_domain_id, std::vector<listed_vm>> others;
    for (const auto &vm : entryVms(state)) {
        if (vm.failureDomain == state.failureDomain) {
            result.push_back(vm);
        } else if (includesOtherDomains) {
            others[vm.failureDomain].push_back(vm);
        }
    }
    for (const auto &vms : others | std::views::values) {
        for (const auto index : std::views::iota(std::size_t {0}, std::min(perDomain, vms.size()))) {
            result.push_back(vms.at((round * perDomain + index) % vms.size()));
        }
    }
    return result;
}

} // namespace primrosecroft
