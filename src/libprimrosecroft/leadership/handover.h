#pragma once

#include "core/types.h"
#include "core/vm_capacity.h"
#include "io/peer_hub.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

/**
 * Decides when the owner requests that another process takes over, and which one. A hand-over
 * is a take-over without the wait for the timeouts of a failed owner. Safety doesn't depend on it.
 */
namespace primrosecroft
{

/// Another process of the cell, as its last presence message described it.
struct successor_candidate
{
    peer_address address;
    std::string region;
    instant lastContactAt;
    std::chrono::milliseconds storeAge {0}; ///< at the last contact, time since it last reached the store
    /// Duration of its shortest read of the store since it started; unset before the first one.
    std::optional<std::chrono::milliseconds> storeRoundTrip;
    std::chrono::milliseconds uptime {0}; ///< time since it started
    bool isLeaving = false; ///< it is about to stop
    vm_capacity capacity;
    std::optional<std::chrono::milliseconds> lateness; ///< smoothed, of its ticks; unset if it doesn't tell it
    failure_domain_id failureDomain {};
    bool canRelay = false; ///< it can carry the owner's orders to workers
};

/// The owner's own state, which decides whether it requests a hand-over.
struct owner_status
{
    bool isLeaving = false; ///< it has received the signal to stop
    instant ownsSince;
    instant confirmedAt; ///< latest moment for which the store has confirmed the ownership
    std::optional<instant> storeFailingSince; ///< unset if the last call of the store was answered
    /// Duration of its shortest read of the store since it started; unset before the first one.
    std::optional<std::chrono::milliseconds> storeRoundTrip;
    std::optional<instant> handoverRequestedAt; ///< of the latest request; unset before the first
    process_id lastSuccessor; ///< process of the latest request; empty if this ownership made none
    vm_capacity capacity;
    std::optional<instant> lateSince; ///< since when its ticks have been late; unset if they aren't
    int patience = 1; ///< factor for the time without confirmation after which it counts as cut off
};

enum class handover_reason
{
    leaving,
    cutOff, ///< other processes reach the store, the owner doesn't
    farFromStore, ///< another process has a much shorter round trip to the store
    weak, ///< another process's VM carries more than twice as much
    late, ///< the owner's ticks have been late for a while, another process's aren't
};

/// The process that should take over, and why.
struct handover
{
    process_id successor;
    handover_reason reason = handover_reason::leaving;
};

/// Returns std::nullopt if there is no reason for a hand-over, or no candidate that can take over.
std::optional<handover> planHandover(const owner_status &owner,
                                     const std::map<process_id, successor_candidate> &candidates, instant now);

/// Text for logs.
const char *toString(handover_reason reason);

} // namespace primrosecroft
