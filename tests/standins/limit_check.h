#pragma once

#include "workspaces/workspace.h"

#include <string>
#include <vector>

namespace primrosecroft
{

/// Checks what workspaces have running against the limits of all configurations that may be in force.
class limit_check
{
public:
    /// A configuration is in force from @p now on.
    void add(const workspace_policies &policies, instant now);

    /// Returns a text if @p running is above the highest limit that was in force at @p since or later, otherwise an
    /// empty one.
    std::string exceeded(const workspace_name &name, const resources &running, instant since) const;

private:
    struct configuration
    {
        instant begin;
        workspace_policies policies;
    };

    std::vector<configuration> m_configurations; ///< in the order of their beginnings
};

} // namespace primrosecroft
