#include "io/eviction_order.h"

namespace primrosecroft
{

namespace
{

constexpr auto newTime = std::chrono::seconds(1); ///< an unfinished connection counts as new for this long

} // namespace

void eviction_order::enter(connection_id connection, connection_phase phase, time_point now)
{
    remove(connection);
    const standing entered {phase, now};
    m_standings[connection] = entered;
    m_order.emplace(entered, connection);
}

void eviction_order::remove(connection_id connection)
{
    const auto found = m_standings.find(connection);
    if (found == m_standings.end()) {
        return;
    }
    m_order.erase({found->second, connection});
    m_standings.erase(found);
}

std::optional<connection_id> eviction_order::first(time_point now) const
{
    if (m_order.empty()) {
        return std::nullopt;
    }
    const auto &[entered, connection] = *m_order.begin();
    const auto &[phase, since] = entered;
    const bool isNew = phase == connection_phase::unfinished && since + newTime > now;
    return isNew || phase == connection_phase::serving ? std::nullopt : std::optional(connection);
}

} // namespace primrosecroft
