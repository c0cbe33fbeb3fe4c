#include "leadership/handover.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <tuple>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto confirmationTimeout = 900ms; ///< an owner without confirmation for so long counts as cut off
constexpr auto failureTimeout = 350ms; ///< as does one whose calls have only failed for so long
constexpr auto takeOverTimeout = 900ms; ///< an heir that hasn't taken over after that is passed over
constexpr auto contactTimeout = 1'200ms; ///< a process unheard so long is no heir
constexpr auto maxStoreAge = 1'600ms; ///< a process that reached the store so lately can take over
constexpr int nearFactor = 2; ///< times the nearest's distance, and
constexpr auto nearMargin = 10ms; ///< this on top: processes within it count as equally near
constexpr auto maxLocalRoundTrip = 25ms; ///< beyond any way within a region
constexpr auto minRelocationInterval = 10s; ///< between two moves for nearness alone
constexpr auto minUptime = 3s; ///< a process that runs so long isn't just being restarted

bool isUsable(const successor_candidate &candidate, instant now)
{
    return !candidate.isLeaving && candidate.lastContactAt + contactTimeout > now && candidate.storeAge < maxStoreAge;
}

std::optional<handover_reason> reasonOf(const owner_status &owner, instant now)
{
    if (owner.isLeaving) {
        return handover_reason::leaving;
    }
    const bool isFailing = owner.storeFailingSince && *owner.storeFailingSince + failureTimeout <= now
        && owner.confirmedAt + failureTimeout <= now;
    if (isFailing || owner.confirmedAt + confirmationTimeout <= now) {
        return handover_reason::cutOff;
    }
    if (owner.storeRoundTrip > maxLocalRoundTrip && owner.ownsSince + minUptime <= now
        && (!owner.handoverRequestedAt || *owner.handoverRequestedAt + minRelocationInterval <= now)) {
        return handover_reason::farFromStore;
    }
    return std::nullopt;
}

} // namespace

std::optional<handover> planHandover(const owner_status &owner,
                                     const std::map<process_id, successor_candidate> &candidates, instant now)
{
    const auto reason = reasonOf(owner, now);
    if (!reason || (owner.handoverRequestedAt && *owner.handoverRequestedAt + takeOverTimeout > now)) {
        return std::nullopt;
    }
    const bool hasFailed = owner.handoverRequestedAt && *owner.handoverRequestedAt + 2 * takeOverTimeout > now;
    const auto isCandidate = [&](const auto &each) {
        return isUsable(each.second, now) && !(hasFailed && each.first == owner.lastSuccessor);
    };
    auto usable = candidates | std::views::filter(isCandidate);
    const auto nearest =
        std::ranges::min_element(usable, {}, [](const auto &each) { return each.second.storeRoundTrip; });
    if (nearest == usable.end()) {
        return std::nullopt;
    }
    const auto distance = nearest->second.storeRoundTrip;
    if (*reason == handover_reason::farFromStore
        && (distance * 2 > owner.storeRoundTrip || nearest->second.uptime < minUptime)) {
        return std::nullopt;
    }
    // Where machines are stopped in turn, the one that came back last is the last to be stopped again.
    const auto order = [&](const auto &each) {
        const auto &one = each.second;
        const bool isNear =
            one.region == nearest->second.region || one.storeRoundTrip <= distance * nearFactor + nearMargin;
        return std::tuple(!isNear, *reason == handover_reason::leaving ? one.uptime : one.storeAge);
    };
    return handover {std::ranges::min_element(usable, {}, order)->first, *reason};
}

const char *toString(handover_reason reason)
{
    static constexpr std::array names {"leaving", "cut-off", "far"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace primrosecroft
