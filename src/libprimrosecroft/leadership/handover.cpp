#include "leadership/handover.h"

#include "leadership/tick_lateness.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <tuple>
#include <utility>
#include <vector>

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
constexpr auto minRelocationInterval =
    10s; ///< between a hand-over and a relocation, for the reasons weak, late and farFromStore
constexpr auto minLateTime = 1s; ///< an owner that has been late for this long isn't just busy for a moment
constexpr auto maxPromptLateness = 50ms; ///< of a process that may relieve a late owner
constexpr auto settlingTime = 3s; ///< a process that has run for this long isn't just being restarted

using candidate_list = std::vector<const std::map<process_id, successor_candidate>::value_type *>;

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

/// True if the candidate has reached the store after the store last confirmed the ownership. In a store that is slow
/// for everyone no process has, and a hand-over would gain nothing.
bool reachedStoreLater(const successor_candidate &candidate, const owner_status &owner)
{
    return candidate.lastContactAt - candidate.storeAge > owner.confirmedAt;
}

/// Reason for which any usable process is a better owner.
std::optional<handover_reason> urgentReasonOf(const owner_status &owner, instant now)
{
    if (owner.isLeaving) {
        return handover_reason::leaving;
    }
    const bool isFailing = owner.storeFailingSince && *owner.storeFailingSince + failureTimeout <= now
        && owner.confirmedAt + failureTimeout <= now;
    if (isFailing || owner.confirmedAt + owner.patience * confirmationTimeout <= now) {
        return handover_reason::cutOff;
    }
    return std::nullopt;
}

bool mayRelocate(const owner_status &owner, instant now)
{
    return owner.ownsSince + settlingTime <= now
        && (!owner.handoverRequestedAt || *owner.handoverRequestedAt + minRelocationInterval <= now);
}

candidate_list usableCandidates(const owner_status &owner, const std::map<process_id, successor_candidate> &candidates,
                                instant now)
{
    const bool hasFailed = owner.handoverRequestedAt && *owner.handoverRequestedAt + 2 * takeOverTimeout > now;
    candidate_list result;
    for (const auto &each : candidates) {
        if (isUsable(each.second, now) && !(hasFailed && each.first == owner.lastSuccessor)) {
            result.push_back(&each);
        }
    }
    return result;
}

/// Returns std::nullopt if @p list is empty.
std::optional<handover> choose(candidate_list list, handover_reason reason, instant now)
{
    if (list.empty()) {
        return std::nullopt;
    }
    // First of all, the successor has to carry the cell: no nearness makes up for a VM that is too weak.
    const auto carried = [](const auto *each) { return carriedMilliCores(each->second.capacity); };
    const auto strongest = (*std::ranges::max_element(list, {}, carried))->second.capacity;
    std::erase_if(list, [&](const auto *each) { return isMuchWeaker(each->second.capacity, strongest); });
    const auto distance = [](const auto *each) { return distanceOf(each->second); };
    const auto &nearest = (*std::ranges::min_element(list, {}, distance))->second;
    // When the owner leaves, the process with the shortest uptime is preferred: where machines are restarted one after
    // another, the one that was restarted last is the last to be stopped again.
    const auto order = [&](const auto *each) {
        const auto &candidate = each->second;
        const bool isNear = candidate.region == nearest.region
            || distanceOf(candidate) <= distanceOf(nearest) * nearFactor + nearMargin;
        return std::tuple(!isNear, reason == handover_reason::leaving ? candidate.uptime : storeAgeAt(candidate, now));
    };
    return handover {(*std::ranges::min_element(list, {}, order))->first, reason};
}

bool hasBeenLate(const owner_status &owner, instant now)
{
    return owner.lateSince && *owner.lateSince + minLateTime <= now && owner.ownsSince + minRelocationInterval <= now;
}

/// True if the candidate's ticks come in time, and it could do as well as the owner if that one's did.
bool canRelieve(const successor_candidate &candidate, const owner_status &owner)
{
    return candidate.lateness && *candidate.lateness <= maxPromptLateness
        && carriedMilliCores(candidate.capacity) >= carriedMilliCores(owner.capacity)
        && distanceOf(candidate)
        <= std::max<std::chrono::milliseconds>(owner.storeRoundTrip.value_or(0ms), maxLocalRoundTrip);
}

bool isMuchNearer(const successor_candidate &candidate, const owner_status &owner)
{
    return owner.storeRoundTrip && distanceOf(candidate) <= *owner.storeRoundTrip / 2
        && carriedMilliCores(candidate.capacity) >= carriedMilliCores(owner.capacity);
}

/**
 * For the reasons weak and far, a relocation goes to a process that carries more, or that carries no less and is much
 * nearer. So a later one never leads back, whichever processes are usable then.
 */
std::optional<handover> planRelocation(const owner_status &owner, const candidate_list &usable, instant now)
{
    const auto chooseAmong = [&](handover_reason reason, const auto &isSuitable) {
        candidate_list list;
        std::ranges::copy_if(usable, std::back_inserter(list), [&](const auto *each) {
            const auto &candidate = each->second;
            return candidate.uptime >= settlingTime && candidate.lateness.value_or(0ms) <= maxLateness
                && isSuitable(candidate);
        });
        return choose(std::move(list), reason, now);
    };
    auto stronger = chooseAmong(
        handover_reason::weak, [&](const auto &candidate) { return isMuchWeaker(owner.capacity, candidate.capacity); });
    if (stronger) {
        return stronger;
    }
    if (hasBeenLate(owner, now)) {
        auto prompt =
            chooseAmong(handover_reason::late, [&](const auto &candidate) { return canRelieve(candidate, owner); });
        if (prompt) {
            return prompt;
        }
    }
    if (owner.storeRoundTrip && *owner.storeRoundTrip > maxLocalRoundTrip) {
        return chooseAmong(handover_reason::farFromStore,
                           [&](const auto &candidate) { return isMuchNearer(candidate, owner); });
    }
    return std::nullopt;
}

} // namespace

std::optional<handover> planHandover(const owner_status &owner,
                                     const std::map<process_id, successor_candidate> &candidates, instant now)
{
    if (owner.handoverRequestedAt && *owner.handoverRequestedAt + takeOverTimeout > now) {
        return std::nullopt;
    }
    if (const auto reason = urgentReasonOf(owner, now)) {
        auto usable = usableCandidates(owner, candidates, now);
        if (*reason == handover_reason::cutOff) {
            std::erase_if(usable, [&](const auto *each) { return !reachedStoreLater(each->second, owner); });
        }
        return choose(std::move(usable), *reason, now);
    }
    if (mayRelocate(owner, now)) {
        return planRelocation(owner, usableCandidates(owner, candidates, now), now);
    }
    return std::nullopt;
}

const char *toString(handover_reason reason)
{
    static constexpr std::array names {"leaving", "cut-off", "far", "weak", "late"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace primrosecroft
