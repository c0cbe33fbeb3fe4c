#pragma once

#include "owner_session/runner_context.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace primrosecroft
{

/// The commits of one ownership, and the calls that renew and confirm it.
class owned_commits
{
public:
    using commit_handler = std::function<void(const commit_result &)>;

    /// @p ownershipLost is called, with the reason, when the store shows another owner's row.
    owned_commits(const runner_context &context, std::function<void(const std::string &reason)> ownershipLost);

    /// Commits under the condition of ownership, and rewrites the renewal row with it when that is due. If no answer is
    /// expected any more the outcome is lost.
    void commit(store_transaction transaction, commit_handler done);

    /// Renews and confirms the ownership when that is due, also while the stored state is being loaded: an owner whose
    /// confirmation has grown old hands over.
    void keepOwnership(instant now);

private:
    /// A commit that the store hasn't answered yet.
    struct pending_commit
    {
        instant sentAt;
        commit_handler done;
    };

    void renew();
    void confirm();
    void finish(std::uint64_t number, const commit_result &result);
    void abandonUnanswered(instant answeredSince);
    bool hasOwnRow(const std::vector<store_row> &rows) const;

    const runner_context &m_context;
    std::function<void(const std::string &reason)> m_ownershipLost;
    std::map<std::uint64_t, pending_commit> m_pending; ///< unanswered commits by number
    std::uint64_t m_lastNumber = 0;
    instant m_renewedAt;
    bool m_isConfirming = false; ///< the read that confirms the ownership hasn't been answered yet
};

} // namespace primrosecroft
