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

constexpr auto confirmPatience = 900ms; ///< an owner without confirmation for so long counts as cut off
constexpr auto failurePatience = 350ms; ///< as does one whose calls have only failed for so long
constexpr auto heirPatience = 900ms; ///< an heir that hasn't taken over after that is passed over
constexpr auto candidateSilence = 1'200ms; ///< a process unheard so long is no heir
constexpr auto storeFreshness = 1'600ms; ///< a process that reached the store so lately can take over
constexpr int nearFactor = 2; ///< times the nearest's distance, and
constexpr auto nearMargin = 10ms; ///< this on top: processes within it count as equally near
constexpr auto farDistance = 25ms; ///< beyond any way within a region
constexpr auto farPatience = 10s; ///< between two moves for nearness alone
constexpr auto settledAfter = 3s; ///< a process that runs so long isn't just being restarted

bool isUsable(const heir_candidate &candidate, instant now)
{
    return !candidate.leaving && candidate.heardAt + candidateSilence > now && candidate.storeAge < storeFreshness;
}

std::optional<handover_reason> reasonOf(const owner_situation &owner, instant now)
{
    if (owner.leaving) {
        return handover_reason::leaving;
    }
    const bool isFailing = owner.storeFailsSince && *owner.storeFailsSince + failurePatience <= now
        && owner.confirmedAt + failurePatience <= now;
    if (isFailing || owner.confirmedAt + confirmPatience <= now) {
        return handover_reason::cutOff;
    }
    if (owner.storeDistance > farDistance && owner.ownsSince + settledAfter <= now
        && (!owner.handedOverAt || *owner.handedOverAt + farPatience <= now)) {
        return handover_reason::far;
    }
    return std::nullopt;
}

} // namespace

std::optional<handover> considerHandover(const owner_situation &owner,
                                         const std::map<process_id, heir_candidate> &candidates, instant now)
{
    const auto reason = reasonOf(owner, now);
    if (!reason || (owner.handedOverAt && *owner.handedOverAt + heirPatience > now)) {
        return std::nullopt;
    }
    const bool hasFailed = owner.handedOverAt && *owner.handedOverAt + 2 * heirPatience > now;
    const auto isCandidate = [&](const auto &each) {
        return isUsable(each.second, now) && !(hasFailed && each.first == owner.lastHeir);
    };
    auto usable = candidates | std::views::filter(isCandidate);
    const auto nearest =
        std::ranges::min_element(usable, {}, [](const auto &each) { return each.second.storeDistance; });
    if (nearest == usable.end()) {
        return std::nullopt;
    }
    const auto distance = nearest->second.storeDistance;
    if (*reason == handover_reason::far && (distance * 2 > owner.storeDistance || nearest->second.up < settledAfter)) {
        return std::nullopt;
    }
    // Where machines are stopped in turn, the one that came back last is the last to be stopped again.
    const auto order = [&](const auto &each) {
        const auto &one = each.second;
        const bool isNear =
            one.region == nearest->second.region || one.storeDistance <= distance * nearFactor + nearMargin;
        return std::tuple(!isNear, *reason == handover_reason::leaving ? one.up : one.storeAge);
    };
    return handover {std::ranges::min_element(usable, {}, order)->first, *reason};
}

const char *toString(handover_reason reason)
{
    static constexpr std::array names {"leaving", "cut-off", "far"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace primrosecroft
