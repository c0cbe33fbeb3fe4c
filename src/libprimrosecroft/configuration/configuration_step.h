#pragma once

#include "configuration/configuration.h"
#include "core/types.h"

#include <chrono>
#include <optional>
#include <variant>

/**
 * When a daemon fetches which version of the configuration, from where, and when it
 * knows enough to be ready. Pure decisions; the configuration follower carries them out.
 */
namespace primrosecroft
{

struct configuration_state
{
    std::optional<configuration_version> current; ///< in force here; its version only grows
    bool tableAnswered = false; ///< the table has said once which version is in force, or that none is
    bool fetchesFirst = true; ///< fetches bodies across the link; the others wait for their peers
    std::int64_t highestPeerVersion = 0; ///< of all versions that peers named
    std::optional<instant> firstPeerReportAt; ///< when the first peer named one
    std::optional<configuration_row> wanted; ///< the table's, above the own one
    instant fetchAt; ///< when the wanted body is fetched unless a peer has brought it
    bool fetching = false;
    std::int64_t refused = 0; ///< a version whose sheet can't be read here
};

/// What the table said. No value: it could not be read.
struct table_read
{
    std::optional<std::optional<configuration_row>> row;
};

/// A body came, from the object store or from a peer.
struct body_received
{
    configuration_version body;
};

/// A fetch from the object store is over; its body came first if there was one.
struct fetch_ended
{
};

/// A peer's heartbeat named its version.
struct peer_version_reported
{
    std::int64_t version = 0;
};

/// The sheet of the version can't be read here.
struct version_refused
{
    std::int64_t version = 0;
};

/// Time has passed.
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

/// How long a daemon that doesn't fetch first leaves it to its peers to bring a body.
inline constexpr std::chrono::milliseconds fetchDelay {500};

/// Without the table, a new daemon listens to its peers so long before it believes to know the highest version.
inline constexpr std::chrono::milliseconds peerDiscoveryPeriod {4'500};

configuration_action step(configuration_state &state, const configuration_message &message, instant now);

/// False while a version may be in force that this daemon hasn't learned: it must not serve yet.
bool knowsConfiguration(const configuration_state &state, instant now);

} // namespace primrosecroft
