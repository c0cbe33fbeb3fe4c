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

/// Called with the outcome of a request to store a job or its cancellation.
using stored_handler = std::function<void(store_outcome)>;

/// Calls by which acceptance_batcher uses the session of the owner that it belongs to.
struct acceptance_links
{
    /// Commits under the condition of ownership. @p done isn't called any more once ownership is lost.
    std::function<void(store_transaction transaction, std::function<void(const commit_result &)> done)> commit;
    std::function<void(const std::string &row, row_version version)> onAccepted; ///< a job's row has been stored
    std::function<void(const job_id &id)> onAlreadyStored; ///< the row was there, but the cell may not have the job yet
};

/**
 * Accepts jobs in batches. Jobs that arrive while a transaction is in flight go into the next
 * one, oldest first, as many as it may have. A slow store handles transactions one after another;
 * with batches it still accepts about thirty jobs in each.
 */
class acceptance_batcher
{
public:
    acceptance_batcher(acceptance_links links, decision_log &log);

    /// Accepts a job. The outcome is conflict if the job has been accepted before, lost if the job may be stored now or
    /// later, and refused if its row is larger than the store takes in one call. Several calls for the same job while
    /// it waits share one outcome.
    void add(const job_id &id, const std::string &row, stored_handler done);

    /// True while the job is in the transaction that is in flight.
    bool isSending(const job_id &id) const;

    /// Ends all waiting calls with the outcome lost. Called when ownership ends.
    void close();

private:
    /// A job to be accepted, with the handlers of all calls that wait for it.
    struct submission
    {
        std::string row;
        instant submittedAt;
        std::vector<stored_handler> handlers;
    };
    using batch = std::map<job_id, submission>;

    void sendNext();
    store_transaction takeOldest();
    void handleAnswer(const commit_result &result);
    void retryLater(batch &failed);
    void splitConflict(batch &conflicted, const std::vector<store_row> &found);

    acceptance_links m_links;
    decision_log &m_log;
    batch m_waiting; ///< jobs for the next transactions
    batch m_sending; ///< jobs of the transaction in flight; empty if there is none
    instant m_sentAt;
    timer m_retry;
};

} // namespace primrosecroft
