#pragma once

#include "workspaces/workspace.h"

#include <chrono>
#include <map>

/// Tells the jobs that a workspace sends within its rate from those beyond it. What lies beyond isn't lost, but mustn't
/// delay what others send within theirs.
namespace primrosecroft
{

/// Jobs that a workspace may send now without going beyond its rate.
struct rate_allowance
{
    double jobs = 0;
    std::chrono::milliseconds updatedAt {0}; ///< time of the last job within the rate
};

using workspace_rates = std::map<workspace_name, rate_allowance>;

/// Returns whether a job sent at @p sentAt is within the rate. A workspace may send `weight` jobs a second, and those
/// of one second at once.
bool isWithinRate(const workspace_rates &rates, const workspace_name &name, const workspace_policy &policy,
                  std::chrono::milliseconds sentAt);

/// Records a job within the rate. Jobs beyond it use up nothing.
void noteWithinRate(workspace_rates &rates, const workspace_name &name, const workspace_policy &policy,
                    std::chrono::milliseconds sentAt);

} // namespace primrosecroft
