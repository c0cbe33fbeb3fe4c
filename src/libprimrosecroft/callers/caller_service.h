#pragma once

#include "io/http_server.h"
#include "io/timer.h"
#include "jobs/job_rows.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "queues/queue_table.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace primrosecroft
{

/// How callers' texts are read and written.
struct caller_codec
{
    std::function<job_spec(const std::string &body)> decodeJob; ///< throws error saying what is wrong
    std::function<std::string(job_status)> encodeStatus;
    std::function<std::string(std::int64_t)> encodeWaiting;
    std::string deadlineHeader; ///< holds the milliseconds that the caller waits
};

/// What the owner says of a job.
struct owner_answer
{
    bool isReached = false;
    std::optional<job_status> status; ///< none when it doesn't know the job
};

/// What the service needs of the rest of its process.
struct caller_links
{
    std::function<const queue_table *()> queues; ///< none before the first version
    std::function<std::chrono::milliseconds()> storeTime; ///< the store's steady clock, as far as known
    std::function<void(const job_id &id, bool cancelled)> notifyOwner;

    /// Asks the owner to store it with others in one transaction. Conflict: it was so before; refused: it did nothing.
    std::function<void(const job_id &id, const std::string &row, bool cancelled, std::chrono::milliseconds timeout,
                       std::function<void(store_outcome)>)>
        storeThroughOwner;
    std::function<void(const job_id &id, std::chrono::milliseconds timeout, std::function<void(owner_answer)>)>
        askOwner;

    std::function<bool()> isOwnerResponsive; ///< it was heard lately, whether it reaches the store or not
    std::function<bool()> isIsolated; ///< neither the store nor the owner can be reached from here
    std::function<std::optional<std::int64_t>(const queue_name &)>
        countWaitingJobs; ///< none when nothing recent is known
};

/**
 * Callers' requests: a job is accepted when its row is committed, found by its id alone, and
 * cancelled by a mark beside it. The same id is the same job, at any process and any time.
 */
class caller_service
{
public:
    caller_service(store &rows, caller_codec codec, caller_links links, decision_log &log, metrics &measures);

    void serve(const std::shared_ptr<http_request> &request);

    std::size_t inFlight() const;

    /// Answers what is in flight, and whatever still comes, that its outcome isn't known: the process is about to end.
    void answerAllAsUnknown();

private:
    struct exchange;
    using exchange_pointer = std::shared_ptr<exchange>;

    void submit(const exchange_pointer &entry, const queue_route &route);
    void commitThroughOwner(const exchange_pointer &entry);
    void commit(const exchange_pointer &entry);
    void status(const exchange_pointer &entry);
    void statusFromRows(const exchange_pointer &entry);
    void endedFromRows(const exchange_pointer &entry, std::function<void(std::optional<ended_job>)> done);
    void cancelThroughOwner(const exchange_pointer &entry);
    void cancel(const exchange_pointer &entry);
    void answerWaiting(const exchange_pointer &entry, const queue_route &route);
    void answer(const exchange_pointer &entry, unsigned status, const std::string &body, const std::string &outcome,
                bool allowsRetry = false);

    store &m_store;
    caller_codec m_codec;
    caller_links m_links;
    decision_log &m_log;
    metrics &m_measures;
    std::shared_ptr<std::set<exchange *>> m_inFlight = std::make_shared<std::set<exchange *>>(); ///< those in flight
    bool m_isShuttingDown = false;
};

} // namespace primrosecroft
