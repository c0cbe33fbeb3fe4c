#include "relays/kept_payloads.h"

namespace primrosecroft
{

kept_payloads::kept_payloads(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

void kept_payloads::keep(const job_id &job, const std::string &payload)
{
    if (!m_payloads.emplace(job, payload).second) {
        return;
    }
    m_order.push_back(job);
    m_bytes += payload.size();
    while (m_bytes > m_maxBytes) {
        const auto oldest = m_payloads.find(m_order.front());
        m_bytes -= oldest->second.size();
        m_payloads.erase(oldest);
        m_order.pop_front();
    }
}

std::optional<std::string> kept_payloads::find(const job_id &job) const
{
    const auto found = m_payloads.find(job);
    return found == m_payloads.end() ? std::nullopt : std::optional(found->second);
}

} // namespace primrosecroft
