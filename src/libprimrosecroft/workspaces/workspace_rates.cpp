#include "workspaces/workspace_rates.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

double jobsOfOneSecond(const workspace_policy &policy)
{
    return static_cast<double>(std::max<std::int64_t>(1, policy.weight));
}

double allowanceAt(const workspace_rates &rates, const workspace_name &name, const workspace_policy &policy,
                   std::chrono::milliseconds at)
{
    const auto found = rates.find(name);
    if (found == rates.end()) {
        return jobsOfOneSecond(policy);
    }
    // Jobs are recorded in about the order in which they were sent; one that is sent earlier earns nothing.
    const std::chrono::duration<double> elapsed = std::max(std::chrono::milliseconds(0), at - found->second.updatedAt);
    return std::min(jobsOfOneSecond(policy), found->second.jobs + elapsed.count() * static_cast<double>(policy.weight));
}

} // namespace

bool isWithinRate(const workspace_rates &rates, const workspace_name &name, const workspace_policy &policy,
                  std::chrono::milliseconds sentAt)
{
    return allowanceAt(rates, name, policy, sentAt) >= 1;
}

void noteWithinRate(workspace_rates &rates, const workspace_name &name, const workspace_policy &policy,
                    std::chrono::milliseconds sentAt)
{
    const auto left = allowanceAt(rates, name, policy, sentAt) - 1;
    auto &allowance = rates[name];
    allowance = {left, std::max(allowance.updatedAt, sentAt)};
}

} // namespace primrosecroft
