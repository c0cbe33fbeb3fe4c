#include "queues/queue_table.h"

#include <algorithm>
#include <cctype>
#include <ranges>

namespace primrosecroft
{

namespace
{

bool sameHost(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right,
                              [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

} // namespace

const queue_route *findQueue(const queue_table &table, std::string_view host, std::string_view path)
{
    const auto name = host.substr(0, host.find(':'));
    const queue_route *best = nullptr;
    for (const auto &route : table.routes) {
        if (path.starts_with(route.prefix) && sameHost(route.host, name)
            && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

workspace_policies policiesOf(const queue_table &table)
{
    workspace_policies result;
    if (table.workspaces) {
        for (const auto &each : *table.workspaces) {
            result.emplace(each.name, each.policy);
        }
    }
    return result;
}

} // namespace primrosecroft
