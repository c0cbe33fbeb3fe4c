#pragma once

#include "core/types.h"
#include "io/peer_hub.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/**
 * Chooses, at the owner, which daemon of a region far from the store reads the configuration there for the others. So a
 * change takes the link between the regions once, not once for each daemon.
 */
namespace primrosecroft
{

/// A daemon, as its last presence message described it.
struct configuration_candidate
{
    peer_address address;
    std::string region;
    instant lastContactAt;
    std::optional<std::chrono::milliseconds> storeRoundTrip; ///< unset before its first read of the store
    /// At the last contact, time since its configuration was confirmed; unset if it never was, or the daemon's build
    /// doesn't answer others.
    std::optional<std::chrono::milliseconds> configurationAge;
    std::optional<std::int64_t> linkMbps; ///< of its VM; unset if it doesn't know it
    std::optional<std::chrono::milliseconds> lateness; ///< smoothed, of its ticks; unset if it doesn't tell it
    bool isLeaving = false;
};

using configuration_candidates = std::map<process_id, configuration_candidate>;
using configuration_sources = std::map<std::string, process_id>; ///< by region

/// True if the daemon's region is known and its round trip to the store is longer than any within a region.
bool isFarFromStore(const configuration_candidate &candidate);

/// Returns the source of each region with daemons far from the store. Keeps those of @p before that are usable.
configuration_sources chooseConfigurationSources(const configuration_candidates &candidates,
                                                 const configuration_sources &before, instant now);

} // namespace primrosecroft
