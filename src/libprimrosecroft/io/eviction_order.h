#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

/// Which of a server's connections makes room for a new one.
namespace primrosecroft
{

using connection_id = std::uint64_t;

enum class connection_phase
{
    idle, ///< between a response and the next request
    unfinished, ///< its request has yet to arrive, or its response to be taken by the caller
    serving, ///< its request is being served; it never makes room
};

class eviction_order
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Notes that a connection enters a phase.
    void enter(connection_id connection, connection_phase phase, time_point now);

    void remove(connection_id connection);

    /// Returns the connection that has been idle longest; without an idle one, the one that has been unfinished
    /// longest, unless that is new, so that a caller has time to send its request.
    std::optional<connection_id> first(time_point now) const;

private:
    using standing = std::pair<connection_phase, time_point>; ///< the phase and since when

    std::map<connection_id, standing> m_standings;
    std::set<std::pair<standing, connection_id>> m_order;
};

} // namespace primrosecroft
