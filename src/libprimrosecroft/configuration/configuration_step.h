#pragma once

#include "configuration/configuration.h"
#include "core/types.h"

#include <chrono>
#include <optional>
#include <variant>

/**
 * Decides when a daemon fetches a version of the configuration from the object store, which version goes into force,
 * and when the daemon may become ready. configuration_follower carries the actions out.
 */
namespace primrosecroft
{

struct configuration_state
{
    std::optional<configuration_version> current; ///< in force here; its version only grows
    bool hasReadTable = false; ///< the configuration table was read at least once, even if it names no version yet
    bool fetchesFirst = true; ///< fetch new bodies at once, without waiting for a peer to bring them
    std::int64_t highestPeerVersion = 0; ///< highest version that a peer's heartbeat named; 0 before the first
    std::optional<instant> firstPeerReportAt; ///< arrival of the first heartbeat, even if it named version 0
    /// The table's row while its version is higher than the current one; std::nullopt if no body is to be fetched.
    std::optional<configuration_row> wanted;
    instant fetchAt; ///< when the wanted body is fetched unless a peer brings it earlier
    bool isFetching = false; ///< a fetch from the object store is in flight
    /// Highest version whose sheet can't be read here; 0 if there is none. It isn't fetched again, nor are lower ones.
    std::int64_t refusedVersion = 0;
};

/// A read of the table ended. `row` is std::nullopt if the read failed; the inner optional is empty if there is no row.
struct table_read
{
    std::optional<std::optional<configuration_row>> row;
};

/// A body arrived from the object store or from a peer.
struct body_received
{
    configuration_version body;
};

/// A fetch from the object store ended. If it returned a body, that was handled in a message before this one.
struct fetch_ended
{
};

/// A peer's heartbeat named the version in force there.
struct peer_version_reported
{
    std::int64_t version = 0; ///< 0 if none is in force there
};

/// The version's sheet can't be read here.
struct version_refused
{
    std::int64_t version = 0;
};

/// A timer elapsed, so that a fetch may be due.
struct configuration_ticked
{
};

using configuration_message =
    std::variant<table_read, body_received, fetch_ended, peer_version_reported, version_refused, configuration_ticked>;

/// Fetch the body of the row from the object store.
struct fetch_body
{
    configuration_row row;
};

/// Put the state's current version in force.
struct apply_version
{
};

struct no_action
{
};

using configuration_action = std::variant<no_action, fetch_body, apply_version>;

/// How long a daemon that doesn't fetch first waits for a peer to bring a body, and the pause between fetches of the
/// same body.
inline constexpr std::chrono::milliseconds fetchDelay {500};

/// If the table can't be read, a new daemon collects its peers' versions for this span from the first heartbeat on.
/// Only then does it take the highest of them for the version in force.
inline constexpr std::chrono::milliseconds peerDiscoveryPeriod {4'500};

/// Handles one message at time @p now and returns the action to carry out.
configuration_action step(configuration_state &state, const configuration_message &message, instant now);

/// False until the daemon has a version of the configuration or has read from the table that there is none. A version
/// whose sheet can't be read here counts as none. If the table could not be read yet, false until `peerDiscoveryPeriod`
/// has passed and the daemon has the highest version that its peers named. It must not serve before that, because a
/// version may be in force that it doesn't have.
bool knowsConfiguration(const configuration_state &state, instant now);

} // namespace primrosecroft
