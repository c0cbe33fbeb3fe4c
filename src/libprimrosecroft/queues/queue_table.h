#pragma once

#include "jobs/job.h"
#include "workspaces/workspace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Maps callers' requests to queues, as the configuration in force defines them.
namespace primrosecroft
{

struct queue_route
{
    std::string host;
    std::string prefix; ///< prefix of the path; the rest of the path is the job's id
    queue_policy queue;
    bool isPublic = false; ///< callers need no key

    friend bool operator==(const queue_route &, const queue_route &) = default;
};

struct queue_table
{
    std::int64_t version = 0; ///< increases with each configuration, not always by 1
    std::vector<queue_route> routes;
    /// Unset if the deployment has no workspaces, so that callers need no keys.
    std::optional<std::vector<workspace>> workspaces;
    std::int64_t maxHeadBytes = std::int64_t {24} * 1024; ///< limit on the head of a caller's request
    std::int64_t maxRequestBytes = std::int64_t {256} * 1024; ///< limit on the body of a caller's request
};

/// Returns the route of @p host with the longest prefix that @p path begins with, or nullptr if there is none. Upper
/// and lower case of the host, and its port, make no difference.
const queue_route *findQueue(const queue_table &table, std::string_view host, std::string_view path);

/// What each workspace may use.
workspace_policies policiesOf(const queue_table &table);

} // namespace primrosecroft
