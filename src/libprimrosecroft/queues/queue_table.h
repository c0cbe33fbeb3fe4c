#pragma once

#include "jobs/job.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Which queue a caller's request means, by the configuration in force.
namespace primrosecroft
{

struct queue_route
{
    std::string host;
    std::string prefix; ///< of the path; the rest is the job's id
    queue_policy queue;

    friend bool operator==(const queue_route &, const queue_route &) = default;
};

struct queue_table
{
    std::int64_t version = 0; ///< grows, in uneven steps
    std::vector<queue_route> routes;
    std::int64_t maxRequestBytes = std::int64_t {256} * 1024; ///< bytes of a caller's request
};

/// The route of @p host with the longest prefix that @p path begins with; none when there is none.
const queue_route *findQueue(const queue_table &table, std::string_view host, std::string_view path);

} // namespace primrosecroft
