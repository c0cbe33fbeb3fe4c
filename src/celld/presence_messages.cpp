#include "presence_messages.h"

#include "primrosecroft_types.h"

namespace primrosecroft
{

wire::Presence encodePresence(const own_presence &presence)
{
    wire::Presence result;
    result.address = presence.address.address;
    result.port = presence.address.port;
    result.storeAgeMs = presence.storeAge.count();
    result.leaving = presence.isLeaving;
    result.upMs = presence.uptime.count();
    if (presence.storeRoundTrip) {
        result.__set_storeDistanceMs(presence.storeRoundTrip->count());
    }
    result.__set_region(presence.region);
    if (presence.capacity.milliCores) {
        result.__set_milliCores(*presence.capacity.milliCores);
    }
    if (presence.capacity.linkMbps) {
        result.__set_linkMbps(*presence.capacity.linkMbps);
    }
    result.__set_lateMs(presence.lateness.count());
    result.__set_relays(true);
    return result;
}

successor_candidate decodePresence(const wire::Message &message, instant now)
{
    const auto &presence = message.presence;
    successor_candidate result;
    result.address = {presence.address, static_cast<std::uint16_t>(presence.port)};
    result.failureDomain = message.sender.failureDomain;
    result.region = presence.region;
    result.lastContactAt = now;
    result.storeAge = std::chrono::milliseconds(presence.storeAgeMs);
    if (presence.__isset.storeDistanceMs && presence.storeDistanceMs > 0) {
        result.storeRoundTrip = std::chrono::milliseconds(presence.storeDistanceMs);
    }
    result.uptime = std::chrono::milliseconds(presence.upMs);
    result.isLeaving = presence.leaving;
    if (presence.__isset.milliCores) {
        result.capacity.milliCores = presence.milliCores;
    }
    if (presence.__isset.linkMbps) {
        result.capacity.linkMbps = presence.linkMbps;
    }
    if (presence.__isset.lateMs) {
        result.lateness = std::chrono::milliseconds(presence.lateMs);
    }
    result.canRelay = presence.__isset.relays && presence.relays;
    return result;
}

} // namespace primrosecroft
