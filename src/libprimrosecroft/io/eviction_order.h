#pragma once

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
    /// Notes that a connection enters a phase now.
    void enter(connection_id connection, connection_phase phase);

    void remove(connection_id connection);

    /// Returns the connection that has been idle longest; without an idle one, the one that has been unfinished
    /// longest.
    std::optional<connection_id> first() const;

private:
    using standing = std::pair<connection_phase, std::uint64_t>; ///< the number increases with each entry

    std::uint64_t m_lastNumber = 0;
    std::map<connection_id, standing> m_standings;
    std::set<std::pair<standing, connection_id>> m_order;
};

} // namespace primrosecroft
