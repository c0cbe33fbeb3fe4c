#include "io/eviction_order.h"

namespace primrosecroft
{

void eviction_order::enter(connection_id connection, connection_phase phase)
{
    remove(connection);
    const standing entered {phase, ++m_lastNumber};
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

std::optional<connection_id> eviction_order::first() const
{
    if (m_order.empty() || m_order.begin()->first.first == connection_phase::serving) {
        return std::nullopt;
    }
    return m_order.begin()->second;
}

} // namespace primrosecroft
