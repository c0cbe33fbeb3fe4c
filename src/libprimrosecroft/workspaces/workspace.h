#pragma once

#include "core/types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

/// The workspaces that share a deployment, as the configuration defines them.
namespace primrosecroft
{

using workspace_name = std::string;

/// SHA-256 of a workspace's key, in hexadecimal digits. Only digests are kept, so that nothing a process writes can
/// contain a key.
using key_digest = std::string;

/// What a workspace may use.
struct workspace_policy
{
    std::int64_t weight = 1; ///< its share when capacity is short, and the jobs a second that it may send
    resources limit; ///< of what its tasks may have running at the same time; 0 for no limit of that kind

    friend bool operator==(const workspace_policy &, const workspace_policy &) = default;
};

using workspace_policies = std::map<workspace_name, workspace_policy>;

struct workspace
{
    workspace_name name;
    workspace_policy policy;
    std::set<key_digest> keys;

    friend bool operator==(const workspace &, const workspace &) = default;
};

} // namespace primrosecroft
