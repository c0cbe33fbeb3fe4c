#pragma once

#include "owner_session/owned_commits.h"
#include "owner_session/runner_context.h"

namespace primrosecroft
{

/// Stores now and then what the owner has learned of durations, so that the next one doesn't begin from nothing.
class duration_keeper
{
public:
    duration_keeper(const runner_context &context, owned_commits &commits);

    /// Stores the durations if enough is new and the store isn't slow. What is learned after that may be lost with the
    /// owner.
    void storeIfDue(instant now);

private:
    bool isDue(instant now) const;

    const runner_context &m_context;
    owned_commits &m_commits;
    std::int64_t m_storedRuns = 0; ///< number of runs that the stored row includes
    instant m_storedAt; ///< when the row was last stored, or the ownership began
    bool m_isPending = false;
};

} // namespace primrosecroft
