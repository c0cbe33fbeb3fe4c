#include "limit_check.h"

#include <algorithm>
#include <limits>

namespace primrosecroft
{

namespace
{

resources limitIn(const workspace_policies &policies, const workspace_name &name)
{
    constexpr auto none = std::numeric_limits<std::int64_t>::max();
    const auto orNone = [](std::int64_t limit) { return limit > 0 ? limit : none; };
    const auto found = policies.find(name);
    const auto limit = found == policies.end() ? resources {} : found->second.limit;
    return {orNone(limit.milliCores), orNone(limit.memoryMib), orNone(limit.accelerators)};
}

std::string toText(const resources &amounts)
{
    return std::to_string(amounts.milliCores) + " milli-cores, " + std::to_string(amounts.memoryMib) + " MiB, "
        + std::to_string(amounts.accelerators) + " accelerators";
}

} // namespace

void limit_check::add(const workspace_policies &policies, instant now)
{
    m_configurations.push_back({now, policies});
}

std::string limit_check::exceeded(const workspace_name &name, const resources &running, instant since) const
{
    resources highest;
    for (auto each = m_configurations.rbegin(); each != m_configurations.rend(); ++each) {
        const auto limit = limitIn(each->policies, name);
        highest = {std::max(highest.milliCores, limit.milliCores), std::max(highest.memoryMib, limit.memoryMib),
                   std::max(highest.accelerators, limit.accelerators)};
        if (each->begin <= since) {
            break;
        }
    }
    if (m_configurations.empty() || fits(running, highest)) {
        return {};
    }
    return "workspace " + name + " has " + toText(running) + " running after a start, of at most " + toText(highest);
}

} // namespace primrosecroft
