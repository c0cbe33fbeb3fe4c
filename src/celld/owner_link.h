#pragma once

#include "callers/caller_service.h"
#include "cell/cell_runner.h"
#include "io/peer_hub.h"
#include "observability/decision_log.h"
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

/// Where the owner is, as this process knows it.
struct owner_view
{
    std::function<bool()> isHere;
    std::function<std::optional<peer_address>()> address; ///< none when it is here, or nobody owns
    std::function<bool()> isAlive; ///< it was heard lately
};

/// Callers' jobs on their way between the process that took the request and the owner, in both directions.
class owner_link
{
public:
    owner_link(peer_hub &peers, cell_runner &runner, primrosecroft::store &rows, owner_view owner, decision_log &log);

    /// Tells the owner that a job was stored or cancelled; by the store's inbox when it can't be reached.
    void notify(const job_id &id, bool cancelled, int attempt = 1);

    void ask(const job_id &id, std::chrono::milliseconds timeout, std::function<void(owner_answer)> done);

    /// Asks the owner to store it with others. Refused: nothing was done; lost: it may be, now or later.
    void store(const job_id &id, const std::string &row, bool cancelled, std::chrono::milliseconds timeout,
               std::function<void(store_outcome)> done);

    // --- what other processes ask of the owner

    void handleNotice(const wire::JobNotice &notice, const std::function<void(wire::Message)> &reply);
    void handleQuery(const wire::JobQuery &query, const std::function<void(wire::Message)> &reply);
    void handleSubmission(const wire::JobSubmission &submission, const std::function<void(wire::Message)> &reply);

private:
    owner_answer answerFor(const job_id &id) const;
    void storeHere(const job_id &id, const std::string &row, bool cancelled, std::function<void(store_outcome)> done);

    peer_hub &m_peers;
    cell_runner &m_runner;
    primrosecroft::store &m_rows;
    owner_view m_owner;
    decision_log &m_log;
};

} // namespace primrosecroft
