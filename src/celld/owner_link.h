#pragma once

#include "callers/caller_service.h"
#include "io/peer_hub.h"
#include "observability/decision_log.h"
#include "owner_session/cell_runner.h"
#include "store/store.h"

#include <functional>
#include <optional>
#include <string>

namespace primrosecroft
{

namespace wire
{
class JobNotice;
class JobQuery;
class JobSubmission;
} // namespace wire

/// The current owner as seen from this process.
struct owner_view
{
    std::function<bool()> isHere; ///< true if this process is the owner
    std::function<std::optional<peer_address>()>
        address; ///< std::nullopt if this process is the owner, or none is known
    std::function<bool()> isResponsive; ///< true if it has answered lately
};

/**
 * Passes requests about jobs to the owner, and serves those that other daemons pass on to this
 * process while it is the owner.
 */
class owner_link
{
public:
    owner_link(peer_hub &peers, cell_runner &runner, primrosecroft::store &rows, owner_view owner, decision_log &log);

    /// Notifies the owner that a job was stored or cancelled. Falls back to the owner's inbox in the store if the owner
    /// can't be reached. @p attempt is the number of the attempt, from 1.
    void notify(const job_id &id, bool cancelled, int attempt = 1);

    /// Asks the owner for the state of a job. Answers from this process if no other owner is known.
    void ask(const job_id &id, std::chrono::milliseconds timeout, std::function<void(owner_answer)> done);

    /// Asks the owner to store a job, or its cancellation, together with those of other requests. @p row is the job's
    /// encoded row, and isn't used for a cancellation. The outcome `refused` means that nothing was done; `lost` means
    /// that it may have been stored or may be stored later.
    void store(const job_id &id, const std::string &row, bool cancelled, std::chrono::milliseconds timeout,
               stored_handler done);

    // --- requests of other processes to the owner

    void handleNotice(const wire::JobNotice &notice, const std::function<void(wire::Message)> &reply);
    void handleQuery(const wire::JobQuery &query, const std::function<void(wire::Message)> &reply);
    void handleSubmission(const wire::JobSubmission &submission, const std::function<void(wire::Message)> &reply);

private:
    owner_answer answerFor(const job_id &id) const;
    void storeHere(const job_id &id, const std::string &row, bool cancelled, stored_handler done);

    peer_hub &m_peers;
    cell_runner &m_runner;
    primrosecroft::store &m_rows;
    owner_view m_owner;
    decision_log &m_log;
};

} // namespace primrosecroft
