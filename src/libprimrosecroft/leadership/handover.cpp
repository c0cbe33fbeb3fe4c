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

constexpr auto confirmationTimeout = 900ms; ///< an owner without confirmation for this long counts as cut off
constexpr auto failureTimeout = 350ms; ///< so does an owner whose store calls have all failed for this long
constexpr auto takeOverTimeout = 900ms; ///< after this another successor is chosen, without the one that did nothing
constexpr auto contactTimeout = 1'200ms; ///< a process without a message for this long can't be the successor
constexpr auto maxStoreAge = 1'600ms; ///< nor can one that hasn't reached the store for this long

/// Processes in the region of the nearest one, and those whose round trip is at most the shortest one times nearFactor
/// plus nearMargin, count as equally near.
constexpr int nearFactor = 2;
constexpr auto nearMargin = 10ms;

constexpr std::chrono::milliseconds unknownRoundTrip = 1h; ///< longer than any that is measured
constexpr auto maxLocalRoundTrip = 25ms; ///< longer than any round trip within a region
constexpr auto minRelocationInterval = 10s; ///< between two hand-overs for the reason farFromStore
constexpr auto settlingTime = 3s; ///< a process that has run for this long isn't just being restarted

/// Time since the candidate last reached the store, as far as its last presence message shows.
std::chrono::milliseconds storeAgeAt(const successor_candidate &candidate, instant now)
{
    return candidate.storeAge + std::chrono::duration_cast<std::chrono::milliseconds>(now - candidate.lastContactAt);
}

/// The candidate's round trip to the store; one that hasn't measured it counts as farther than any other.
std::chrono::milliseconds distanceOf(const successor_candidate &candidate)
{
    return candidate.storeRoundTrip.value_or(unknownRoundTrip);
}

bool isUsable(const successor_candidate &candidate, instant now)
{
    return !candidate.isLeaving && candidate.lastContactAt + contactTimeout > now
        && storeAgeAt(candidate, now) < maxStoreAge;
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
    if (owner.storeRoundTrip && *owner.storeRoundTrip > maxLocalRoundTrip && owner.ownsSince + settlingTime <= now
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
    const auto nearest = std::ranges::min_element(usable, {}, [](const auto &each) { return distanceOf(each.second); });
    if (nearest == usable.end()) {
        return std::nullopt;
    }
    const auto minDistance = distanceOf(nearest->second);
    if (*reason == handover_reason::farFromStore
        && (minDistance > *owner.storeRoundTrip / 2 || nearest->second.uptime < settlingTime)) {
        return std::nullopt;
    }
    // When the owner leaves, the process with the shortest uptime is preferred: where machines are restarted one after
    // another, the one that was restarted last is the last to be stopped again.
    const auto order = [&](const auto &each) {
        const auto &candidate = each.second;
        const bool isNear = candidate.region == nearest->second.region
            || distanceOf(candidate) <= minDistance * nearFactor + nearMargin;
        return std::tuple(!isNear, *reason == handover_reason::leaving ? candidate.uptime : storeAgeAt(candidate, now));
    };
    return handover {std::ranges::min_element(usable, {}, order)->first, *reason};
}

const char *toString(handover_reason reason)
{
    static constexpr std::array names {"leaving", "cut-off", "far"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace primrosecroft
