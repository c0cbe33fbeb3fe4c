#pragma once

#include "core/types.h"
#include "io/peer_hub.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

/**
 * When an owner asks another process to take its place, and which one. A hand-over is a
 * take-over without the wait for a silent owner; nothing of safety depends on it.
 */
namespace primrosecroft
{

/// Another process, as its last word described it.
struct successor_candidate
{
    peer_address address;
    std::string region;
    instant lastContactAt;
    std::chrono::milliseconds storeAge {0}; ///< then, since it reached the store
    std::chrono::milliseconds storeRoundTrip {0}; ///< the shortest read of its life, there and back
    std::chrono::milliseconds uptime {0}; ///< since its process started
    bool isLeaving = false;
};

/// The owner's own situation.
struct owner_status
{
    bool isLeaving = false; ///< it has been told to stop
    instant ownsSince;
    instant confirmedAt; ///< ownership was in force then
    std::optional<instant> storeFailingSince; ///< none after a call of the store that was answered
    std::chrono::milliseconds storeRoundTrip {0};
    std::optional<instant> handoverRequestedAt; ///< it asked a process lately
    process_id lastSuccessor; ///< which one
};

enum class handover_reason
{
    leaving,
    cutOff, ///< others reach the store, this process doesn't
    farFromStore, ///< another process is much nearer to the store
};

struct handover
{
    process_id successor;
    handover_reason reason = handover_reason::leaving;
};

/// None when there is no reason, or nobody who could take over.
std::optional<handover> planHandover(const owner_status &owner,
                                     const std::map<process_id, successor_candidate> &candidates, instant now);

/// For logs.
const char *toString(handover_reason reason);

} // namespace primrosecroft
