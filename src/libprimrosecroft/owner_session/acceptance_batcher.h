#pragma once

#include "admission/submit_result.h"
#include "core/types.h"
#include "io/timer.h"
#include "jobs/job.h"
#include "observability/decision_log.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

/// Calls by which acceptance_batcher uses the session of the owner that it belongs to.
struct acceptance_links
{
    /// Commits under the condition of ownership. @p done isn't called any more once ownership is lost.
    std::function<void(store_transaction transaction, std::function<void(const commit_result &)> done)> commit;
    std::function<void(const std::string &row, row_version version)> onAccepted; ///< a job's row has been stored
    std::function<void(const job_id &id)> onAlreadyStored; ///< the row was there, but the cell may not have the job yet
    row_version *acceptanceBar = nullptr; ///< version of the row that bars direct acceptances, if there is one
};

/**
 * Accepts jobs in batches. Jobs that arrive while a transaction is in flight go into the next
 * one, oldest first, as many as it may have. A slow store handles transactions one after another;
 * with batches it still accepts about thirty jobs in each.
 *
 * A job that is turned away goes the same way, with conditions alone: once they have held, with the row that bars
 * direct acceptances, the job isn't stored and no request on its way can store it.
 */
class acceptance_batcher
{
public:
    acceptance_batcher(acceptance_links links, decision_log &log);

    /// Accepts a job. The outcome is conflict if the job has been accepted before, lost if the job may be stored now or
    /// later, and refused if its row is larger than the store takes in one call. Several calls for the same job while
    /// it waits share one outcome.
    void add(const job_id &id, const std::string &row, stored_handler done);

    /// Turns a job away. The outcome is refused, with @p retryAfter, once the store has shown that the job isn't
    /// stored; otherwise as in add().
    void turnAway(const job_id &id, std::chrono::milliseconds retryAfter, stored_handler done);

    /// True while the job's acceptance or rejection waits for its outcome.
    bool isPending(const job_id &id) const;

    /// True while the job is in the transaction that is in flight.
    bool isSending(const job_id &id) const;

    /// Ends all waiting calls with the outcome lost. Called when ownership ends.
    void close();

private:
    /// A job to be accepted or turned away, with the handlers of all calls that wait for it.
    struct submission
    {
        std::string row;
        std::optional<std::chrono::milliseconds> retryAfter; ///< set if it is to be turned away
        instant submittedAt;
        std::vector<stored_handler> handlers;
    };
    using batch = std::map<job_id, submission>;

    bool join(const job_id &id, const stored_handler &done);
    void enqueue(const job_id &id, submission entry);
    void sendNext();
    void liftBarWhenUnused();
    store_transaction takeOldest();
    void handleAnswer(const commit_result &result);
    void retryLater(batch &failed);
    void splitConflict(batch &conflicted, const std::vector<store_row> &found);

    acceptance_links m_links;
    decision_log &m_log;
    batch m_waiting; ///< jobs for the next transactions
    batch m_sending; ///< jobs of the transaction in flight; empty if there is none
    instant m_sentAt;
    instant m_lastRejectionAt; ///< when a transaction was last sent that turns jobs away
    bool m_isLiftingBar = false;
    timer m_retry;
};

} // namespace primrosecroft
