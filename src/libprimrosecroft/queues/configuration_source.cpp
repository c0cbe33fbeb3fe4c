#include "queues/configuration_source.h"

#include "leadership/tick_lateness.h"

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxLocalRoundTrip = 25ms; ///< longer than any round trip within a region, as for hand-overs
constexpr auto contactTimeout = 1'200ms; ///< a daemon without a message for this long isn't usable
constexpr auto maxConfigurationAge = 2'200ms; ///< nor is one that isn't ready because of an older confirmation
constexpr std::int64_t usualLinkMbps = 1'000; ///< of a VM whose link isn't known

bool isUsable(const configuration_candidate &candidate, instant now)
{
    return isFarFromStore(candidate) && !candidate.isLeaving && candidate.lastContactAt + contactTimeout > now
        && candidate.configurationAge
        && candidate.lastContactAt - *candidate.configurationAge + maxConfigurationAge > now
        && candidate.lateness.value_or(0ms) <= maxLateness;
}

bool hasWiderLink(const configuration_candidate &candidate, const configuration_candidate &other)
{
    return candidate.linkMbps.value_or(usualLinkMbps) > other.linkMbps.value_or(usualLinkMbps);
}

} // namespace

bool isFarFromStore(const configuration_candidate &candidate)
{
    return !candidate.region.empty() && candidate.storeRoundTrip && *candidate.storeRoundTrip > maxLocalRoundTrip;
}

configuration_sources chooseConfigurationSources(const configuration_candidates &candidates,
                                                 const configuration_sources &before, instant now)
{
    configuration_sources result;
    for (const auto &[region, process] : before) {
        const auto found = candidates.find(process);
        if (found != candidates.end() && found->second.region == region && isUsable(found->second, now)) {
            result.emplace(region, process);
        }
    }
    const auto kept = result;
    for (const auto &[process, candidate] : candidates) {
        if (!isUsable(candidate, now) || kept.contains(candidate.region)) {
            continue;
        }
        const auto [place, isFirst] = result.emplace(candidate.region, process);
        if (!isFirst && hasWiderLink(candidate, candidates.at(place->second))) {
            place->second = process;
        }
    }
    return result;
}

} // namespace primrosecroft
