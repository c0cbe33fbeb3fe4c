#pragma once

#include "leadership/handover.h"

/// Conversion of the presence messages by which a daemon describes itself to the owner.
namespace primrosecroft
{

namespace wire
{
class Message;
class Presence;
} // namespace wire

/// What a daemon tells the owner of itself.
struct own_presence
{
    peer_address address; ///< at which it listens for messages of other processes
    std::string region;
    std::chrono::milliseconds storeAge {0}; ///< time since it last reached the store
    bool isLeaving = false;
    std::chrono::milliseconds uptime {0};
    std::optional<std::chrono::milliseconds> storeRoundTrip; ///< unset before the first answer
    vm_capacity capacity;
    std::chrono::milliseconds lateness {0}; ///< smoothed, of its ticks
};

wire::Presence encodePresence(const own_presence &presence);

/// Returns the sender of a presence message that arrived at @p now.
successor_candidate decodePresence(const wire::Message &message, instant now);

} // namespace primrosecroft
