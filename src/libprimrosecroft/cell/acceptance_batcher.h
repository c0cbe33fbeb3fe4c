#pragma once

#include "core/types.h"
#include "io/timer.h"
#include "jobs/job.h"
#include "observability/decision_log.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace primrosecroft
{

/// What became of a request that the owner was asked to store.
using stored_handler = std::function<void(store_outcome)>;

/// What the desk needs of its owner.
struct acceptance_links
{
    /// Commits under the condition of ownership. No answer comes after that is lost.
    std::function<void(store_transaction transaction, std::function<void(const commit_result &)> done)> commit;
    std::function<void(const std::string &row, row_version version)> onAccepted;
    std::function<void(const job_id &id)> onAlreadyStored; ///< it is stored, though perhaps not known here
};

/**
 * Accepts jobs, many in one transaction: what comes while one is under way goes into the
 * next, oldest first. So a slow store, which serves one transaction after another, still
 * accepts some thirty jobs with each.
 */
class acceptance_batcher
{
public:
    acceptance_batcher(acceptance_links links, decision_log &log);

    /// Conflict: it was accepted before. Lost: it may have been, now or later.
    void add(const job_id &id, const std::string &row, stored_handler done);

    /// True while the job is in the transaction under way.
    bool isSending(const job_id &id) const;

    /// Tells all who wait that what became of their jobs isn't known.
    void close();

private:
    /// A job to be accepted, and who waits for that.
    struct submission
    {
        std::string row;
        instant submittedAt;
        std::vector<stored_handler> handlers;
    };
    using batch = std::map<job_id, submission>;

    void sendNext();
    batch takeOldest();
    void handleAnswer(const commit_result &result);
    void retryLater(batch &failed);
    void splitConflict(batch &refused, const std::vector<store_row> &found);

    acceptance_links m_links;
    decision_log &m_log;
    batch m_waiting; ///< for the next transaction
    batch m_sending; ///< in the one under way
    instant m_sentAt;
    timer m_retry;
};

} // namespace primrosecroft
