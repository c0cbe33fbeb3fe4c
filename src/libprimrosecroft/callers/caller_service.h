#pragma once

#include "admission/submit_result.h"
#include "callers/waiting_counts.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "jobs/job_rows.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "queues/queue_table.h"
#include "store/store.h"
#include "workspaces/key_index.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace primrosecroft
{

/// Decoders and encoders of the bodies of requests and answers.
struct caller_codec
{
    std::function<job_spec(const std::string &body)> decodeJob; ///< throws error with the reason if it is invalid
    std::function<std::string(job_status)> encodeStatus;
    std::function<std::string(std::int64_t)> encodeWaiting; ///< body with the number of waiting jobs
    std::string deadlineHeader; ///< header with the time in milliseconds that the caller waits for the answer
    std::string keyHeader; ///< header with the key of the caller's workspace
};

/// The owner's answer to a query about a job.
struct owner_answer
{
    bool isReached = false; ///< false if the owner didn't answer in time
    std::optional<job_status> status; ///< unset if the owner doesn't have the job
};

/// Calls by which caller_service uses the rest of its process.
struct caller_links
{
    std::function<const queue_table *()> queues; ///< returns nullptr before the first configuration is in force
    std::function<const key_index *()> keys; ///< of that configuration; nullptr if it has no workspaces

    /// False if a newer configuration may have been in force elsewhere for longer than the deployment allows.
    std::function<bool()> isConfigurationCurrent;

    std::function<std::chrono::milliseconds()> storeTime; ///< the store's steady clock; 0 before its first answer

    /// Sends the owner the notice that a job was accepted or cancelled.
    std::function<void(const job_id &id, bool cancelled)> notifyOwner;

    /// Requests that the owner stores a job or its cancellation, together with others in one transaction. @p row is
    /// empty for a cancellation. The outcome is conflict if the job was stored before or, for a cancellation, has ended
    /// before, and refused if the owner has done nothing, with a time to come back if it has turned the job away.
    std::function<void(const job_id &id, const std::string &row, bool cancelled, std::chrono::milliseconds timeout,
                       stored_handler)>
        storeThroughOwner;

    /// Queries the owner for the status of a job.
    std::function<void(const job_id &id, std::chrono::milliseconds timeout, std::function<void(owner_answer)>)>
        askOwner;

    /// True if the owner has answered recently, even if it doesn't reach the store.
    std::function<bool()> isOwnerResponsive;

    /// True if this process reaches neither the store nor the owner.
    std::function<bool()> isIsolated;

    /// Returns the number of the queue's waiting jobs, or std::nullopt if no recent number is known.
    std::function<std::optional<waiting_count>(const queue_name &)> countWaitingJobs;
};

/**
 * Serves callers' HTTP requests to submit, query and cancel jobs. A job is accepted once its row
 * is committed, and cancelled by a second row. Jobs are identified by their id alone: a repeated
 * submission of the same id, at any process and any time, doesn't create a second job.
 *
 * If the deployment has workspaces, a request needs the key of one, unless its route is public. It isn't decided by a
 * configuration that may be out of date.
 */
class caller_service
{
public:
    caller_service(store &rows, caller_codec codec, caller_links links, decision_log &log, metrics &measures);

    /// Starts to process a request, which is answered when its outcome is known or its deadline is near.
    void serve(const std::shared_ptr<http_request> &request);

    /// Number of requests that haven't been answered yet.
    std::size_t inFlight() const;

    /// Answers all requests in flight, and all that still arrive, with an unknown outcome. Called before the process
    /// ends.
    void answerAllAsUnknown();

private:
    struct exchange;
    using exchange_pointer = std::shared_ptr<exchange>;

    bool admit(const exchange_pointer &entry, const queue_route *route);
    void submit(const exchange_pointer &entry, const queue_route &route);
    void answerByDeadline(const exchange_pointer &entry);
    void commitThroughOwner(const exchange_pointer &entry);
    void commit(const exchange_pointer &entry);
    void status(const exchange_pointer &entry);
    void statusFromRows(const exchange_pointer &entry);
    void endedFromRows(const exchange_pointer &entry, std::function<void(std::optional<ended_job>)> done);
    void cancelThroughOwner(const exchange_pointer &entry);
    void cancel(const exchange_pointer &entry);
    void retryCancel(const exchange_pointer &entry);
    void answerWaiting(const exchange_pointer &entry, const queue_route &route);
    void answer(const exchange_pointer &entry, unsigned status, const std::string &body, const std::string &outcome,
                std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    void answerRetryable(const exchange_pointer &entry, unsigned status, const std::string &outcome);

    store &m_store;
    caller_codec m_codec;
    caller_links m_links;
    decision_log &m_log;
    metrics &m_measures;
    std::shared_ptr<std::set<exchange *>> m_inFlight = std::make_shared<std::set<exchange *>>();
    bool m_isShuttingDown = false;
};

} // namespace primrosecroft
