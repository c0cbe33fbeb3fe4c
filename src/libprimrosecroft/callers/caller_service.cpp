#include "callers/caller_service.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/parse_integer.h"
#include "observability/problem.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto defaultTimeout = 3'000ms; ///< for a request without a valid deadline header
constexpr auto commitTimeout = 900ms;
constexpr auto ownerCommitTimeout = 2'700ms; ///< can be long, because a failed owner is detected earlier
constexpr auto retryDelay = 120ms; ///< between a failed attempt and the next one

/// Time for which a request waits for a new owner before this process writes the job itself.
constexpr auto ownerChangeTimeout = 1'300ms;

constexpr auto readTimeout = 600ms;
constexpr auto ownerTimeout = 400ms;
constexpr auto answerReserve = 300ms; ///< part of a request's deadline that is kept for sending the answer
constexpr auto defaultRetryAfter = 1s; ///< value of the Retry-After header of a request that wasn't turned away
constexpr int maxAttemptsPerRequest = 4; ///< by the owner and by this process together
constexpr std::size_t idLength = 16; ///< hexadecimal digits

bool isJobId(std::string_view text)
{
    return text.size() == idLength && std::ranges::all_of(text, [](unsigned char each) {
               return std::isdigit(each) != 0 || (each >= 'a' && each <= 'f') || (each >= 'A' && each <= 'F');
           });
}

/// Parses the value of the deadline header, in milliseconds. Returns defaultTimeout if the header is missing or
/// invalid, and 60 s for longer times.
std::chrono::milliseconds parseTimeout(const std::string &text)
{
    const auto amount = parseInteger(text);
    if (!amount || *amount <= 0) {
        return defaultTimeout;
    }
    return std::min<std::chrono::milliseconds>(std::chrono::milliseconds(*amount), 60s);
}

/// Returns whether a conflict shows that the job was accepted before, rather than that the owner decides alone.
bool showsJob(const std::vector<store_row> &rows)
{
    return std::ranges::any_of(rows, [](const store_row &row) {
        return row.version != row_condition::absent && row.place != acceptanceBarPlace();
    });
}

} // namespace

/// A request that is being processed.
struct caller_service::exchange : std::enable_shared_from_this<exchange>
{
    std::shared_ptr<http_request> request;
    std::string kind; ///< submit, cancel or status
    job_id id; ///< empty if the path holds no valid one
    queue_name queue;
    workspace_name workspace; ///< of the caller; empty without workspaces and on a public route
    std::string row; ///< of a submitted job
    instant receivedAt;
    instant deadline; ///< without answerReserve
    int attempts = 0;
    timer retryTimer;
    timer deadlineTimer;
    bool isAnswered = false;
    std::shared_ptr<std::set<exchange *>> inFlightSet;

    ~exchange()
    {
        inFlightSet->erase(this);
    }

    std::chrono::milliseconds remaining() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - bootNow());
    }

    /// Limits a timeout to the remaining time, and to 1 ms if there is none.
    std::chrono::milliseconds boundedTimeout(std::chrono::milliseconds timeout) const
    {
        return std::clamp<std::chrono::milliseconds>(remaining(), 1ms, timeout);
    }
};

caller_service::caller_service(store &rows, caller_codec codec, caller_links links, decision_log &log,
                               metrics &measures)
    : m_store(rows)
    , m_codec(std::move(codec))
    , m_links(std::move(links))
    , m_log(log)
    , m_measures(measures)
{
}

std::size_t caller_service::inFlight() const
{
    return m_inFlight->size();
}

void caller_service::answerAllAsUnknown()
{
    m_isShuttingDown = true;
    std::vector<exchange_pointer> remaining;
    std::ranges::transform(*m_inFlight, std::back_inserter(remaining),
                           [](exchange *each) { return each->shared_from_this(); });
    for (const auto &entry : remaining) {
        entry->retryTimer.stop();
        answerRetryable(entry, statusGatewayTimeout, "unknown");
    }
}

void caller_service::serve(const std::shared_ptr<http_request> &request)
{
    const auto entry = std::make_shared<exchange>();
    entry->inFlightSet = m_inFlight;
    m_inFlight->insert(entry.get());
    entry->request = request;
    entry->receivedAt = bootNow();
    entry->deadline = entry->receivedAt + parseTimeout(request->header(m_codec.deadlineHeader)) - answerReserve;
    const auto method = request->method();
    const auto path = request->path();
    const auto *queues = m_links.queues();
    entry->kind = method == "POST" ? "submit" : method == "DELETE" ? "cancel" : "status";
    if (m_isShuttingDown) {
        answerRetryable(entry, statusGatewayTimeout, "unknown");
        return;
    }
    if (queues == nullptr) {
        answerRetryable(entry, statusUnavailable, "no-configuration");
        return;
    }
    const auto *route = findQueue(*queues, request->header("Host"), path);
    if (!admit(entry, route)) {
        return;
    }
    entry->id = path.substr(route->prefix.size());
    if (m_links.isIsolated()) {
        answerRetryable(entry, statusGatewayTimeout, "isolated"); // another process may reach the store or the owner
        return;
    }
    if (entry->id.empty() && method == "GET") {
        answerWaiting(entry, *route);
        return;
    }
    if (!isJobId(entry->id)) {
        entry->id.clear();
        answer(entry, method == "POST" ? statusBadRequest : statusNotFound, "", "no-job-id");
        return;
    }
    if (method == "POST") {
        submit(entry, *route);
    } else if (method == "GET") {
        status(entry);
    } else if (method == "DELETE") {
        answerByDeadline(entry);
        cancelThroughOwner(entry);
    } else {
        answer(entry, statusMethodNotAllowed, "", "no-such-method");
    }
}

/// Decides whether the configuration allows the request, and notes its queue and workspace. If it doesn't, or this
/// process can't know, answers the request and returns false. The body isn't looked at.
bool caller_service::admit(const exchange_pointer &entry, const queue_route *route)
{
    const auto *keys = m_links.keys();
    const bool needsKey = keys != nullptr && (route == nullptr || !route->isPublic);
    if (needsKey && !m_links.isConfigurationCurrent()) {
        if (m_links.isIsolated()) {
            answerRetryable(entry, statusGatewayTimeout, "isolated");
        } else {
            answerRetryable(entry, statusUnavailable, "configuration-stale");
        }
        return false;
    }
    if (route == nullptr) {
        answer(entry, statusNotFound, "", "no-such-queue");
        return false;
    }
    entry->queue = route->queue.name;
    if (!needsKey) {
        return true;
    }
    const auto *workspace = keys->find(entry->request->header(m_codec.keyHeader));
    if (workspace == nullptr) {
        answer(entry, statusUnauthorized, "", "unknown-key");
        return false;
    }
    entry->workspace = *workspace;
    return true;
}

void caller_service::submit(const exchange_pointer &entry, const queue_route &route)
{
    accepted_job job;
    try {
        job.spec = m_codec.decodeJob(entry->request->body());
    } catch (const error &fault) {
        m_log.write("callers", "bad-body", {{"id", entry->id}, {"queue", entry->queue}, {"reason", fault.what()}});
        answer(entry, statusBadRequest, nlohmann::json {{"detail", fault.what()}}.dump(), "bad-body");
        return;
    }
    job.id = entry->id;
    job.queue = route.queue;
    job.workspace = entry->workspace;
    job.acceptedAt = m_links.storeTime();
    entry->row = encodeJob(job);
    answerByDeadline(entry);
    commitThroughOwner(entry);
}

/// Answers the request as unknown at its deadline, if nothing else has answered it by then: a step that is under way
/// may take longer, as at the owner's own process while the store is out.
void caller_service::answerByDeadline(const exchange_pointer &entry)
{
    entry->deadlineTimer.once(std::max(entry->remaining(), 0ms), [this, weakEntry = std::weak_ptr(entry)] {
        if (const auto late = weakEntry.lock()) {
            answerRetryable(late, statusGatewayTimeout, "unknown");
        }
    });
}

/// Has the owner store the job, because the owner stores many jobs in one transaction. If the owner can't be reached,
/// this process stores the job itself.
void caller_service::commitThroughOwner(const exchange_pointer &entry)
{
    if (entry->remaining() <= 0ms || ++entry->attempts > maxAttemptsPerRequest) {
        answerRetryable(entry, statusGatewayTimeout, "unknown");
        return;
    }
    m_links.storeThroughOwner(entry->id, entry->row, false, entry->boundedTimeout(ownerCommitTimeout),
                              [this, entry](const submit_result &result) {
                                  const auto outcome = result.outcome;
                                  if (outcome == store_outcome::done) {
                                      answer(entry, statusOk, "", "accepted");
                                  } else if (outcome == store_outcome::refused && result.retryAfter) {
                                      answer(entry, statusUnavailable, "", "turned-away", result.retryAfter);
                                  } else if (outcome == store_outcome::conflict) {
                                      answer(entry, statusOk, "", "accepted-before");
                                  } else if (m_links.isIsolated()) {
                                      answerRetryable(entry, statusGatewayTimeout, "isolated");
                                  } else if (m_links.isOwnerResponsive()
                                             || bootNow() < entry->receivedAt + ownerChangeTimeout) {
                                      // The owner is asked again: it stores many jobs in one transaction, while writes
                                      // of single jobs would fill a slow store's queue. If there is no owner, a new one
                                      // is expected soon.
                                      --entry->attempts;
                                      entry->retryTimer.once(retryDelay, [this, entry] { commitThroughOwner(entry); });
                                  } else {
                                      commit(entry);
                                  }
                              });
}

void caller_service::commit(const exchange_pointer &entry)
{
    if (entry->remaining() <= 0ms || ++entry->attempts > maxAttemptsPerRequest) {
        answerRetryable(entry, statusGatewayTimeout, "unknown");
        return;
    }
    m_store.commit(directAcceptance(entry->id, entry->row), entry->boundedTimeout(commitTimeout),
                   [this, entry](const commit_result &result) {
                       if (result.outcome == store_outcome::done) {
                           m_links.notifyOwner(entry->id, false);
                           answer(entry, statusOk, "", "accepted-here");
                       } else if (result.outcome == store_outcome::conflict && showsJob(result.currentRows)) {
                           m_links.notifyOwner(entry->id, false); // an earlier notice may not have been sent
                           answer(entry, statusOk, "", "accepted-before");
                       } else if (m_links.isIsolated()) {
                           answerRetryable(entry, statusGatewayTimeout, "isolated");
                       } else {
                           entry->retryTimer.once(retryDelay, [this, entry] { commitThroughOwner(entry); });
                       }
                   });
}

void caller_service::status(const exchange_pointer &entry)
{
    m_links.askOwner(entry->id, entry->boundedTimeout(ownerTimeout), [this, entry](const owner_answer &reported) {
        if (reported.status) {
            answer(entry, statusOk, m_codec.encodeStatus(*reported.status), toString(*reported.status));
        } else {
            statusFromRows(entry);
        }
    });
}

/// Answers a query by the job's rows. Used if the owner doesn't answer or doesn't have the job.
void caller_service::statusFromRows(const exchange_pointer &entry)
{
    m_store.read(liveRows(entry->id), entry->boundedTimeout(readTimeout), [this, entry](const range_result &result) {
        if (result.outcome != store_outcome::done) {
            answerRetryable(entry, statusUnavailable, "store-unreachable");
            return;
        }
        std::set<live_row> kinds;
        for (const auto &row : result.rows) {
            if (const auto key = parseLiveKey(row.place.key); key && key->id == entry->id) {
                kinds.insert(key->kind);
            }
        }
        if (kinds.contains(live_row::job)) {
            const auto status = kinds.contains(live_row::cancel) ? job_status::cancelled
                : kinds.contains(live_row::progress)             ? job_status::running
                                                                 : job_status::queued;
            answer(entry, statusOk, m_codec.encodeStatus(status), toString(status) + "-by-rows");
            return;
        }
        endedFromRows(entry, [this, entry](const std::optional<ended_job> &ended) {
            if (ended) {
                answer(entry, statusOk, m_codec.encodeStatus(ended->status), toString(ended->status) + "-by-rows");
            } else {
                answer(entry, 410, "", "no-such-job");
            }
        });
    });
}

/// Reads how the job ended. Calls @p done with std::nullopt if it hasn't ended. If the row can't be read or decoded,
/// the request is answered instead.
void caller_service::endedFromRows(const exchange_pointer &entry, std::function<void(std::optional<ended_job>)> done)
{
    const auto place = endedPlace(entry->id);
    m_store.read(rangeOf(place), entry->boundedTimeout(readTimeout),
                 [this, entry, done = std::move(done)](const range_result &result) {
                     if (result.outcome != store_outcome::done) {
                         answerRetryable(entry, statusUnavailable, "store-unreachable");
                         return;
                     }
                     try {
                         done(result.rows.empty() ? std::nullopt
                                                  : std::optional(decodeEnded(result.rows.front().value)));
                     } catch (const error &fault) {
                         m_log.write("callers", "row-unreadable", {{"id", entry->id}, {"reason", fault.what()}});
                         answerRetryable(entry, statusUnavailable, "row-unreadable");
                     }
                 });
}

void caller_service::cancelThroughOwner(const exchange_pointer &entry)
{
    m_links.storeThroughOwner(entry->id, "", true, entry->boundedTimeout(ownerCommitTimeout),
                              [this, entry](store_outcome outcome) {
                                  if (outcome == store_outcome::done || outcome == store_outcome::conflict) {
                                      answer(entry, statusOk, "", "cancelled");
                                  } else {
                                      cancel(entry);
                                  }
                              });
}

/// Stores the cancellation from this process. Used if the owner hasn't stored it.
void caller_service::cancel(const exchange_pointer &entry)
{
    if (m_links.isIsolated()) {
        answerRetryable(entry, statusGatewayTimeout, "isolated");
        return;
    }
    if (entry->remaining() <= 0ms || ++entry->attempts > maxAttemptsPerRequest) {
        answerRetryable(entry, statusGatewayTimeout, "unknown");
        return;
    }
    m_store.read(liveRows(entry->id), entry->boundedTimeout(readTimeout), [this, entry](const range_result &result) {
        if (result.outcome != store_outcome::done) {
            retryCancel(entry);
            return;
        }
        const auto job = std::ranges::find(result.rows, jobPlace(entry->id), &store_row::place);
        if (job == result.rows.end()) {
            endedFromRows(entry, [this, entry](const std::optional<ended_job> &ended) {
                answer(entry, ended ? statusOk : 410, "", ended ? "ended-before" : "no-such-job");
            });
            return;
        }
        const store_transaction mark {{{jobPlace(entry->id), job->version}}, {{cancelPlace(entry->id), "1"}}, {}};
        m_store.commit(mark, entry->boundedTimeout(commitTimeout), [this, entry](const commit_result &committed) {
            if (committed.outcome == store_outcome::done) {
                m_links.notifyOwner(entry->id, true);
                answer(entry, statusOk, "", "cancelled");
            } else {
                retryCancel(entry); // the job has just ended, or the commit has to be repeated
            }
        });
    });
}

void caller_service::retryCancel(const exchange_pointer &entry)
{
    entry->retryTimer.once(retryDelay, [this, entry] { cancel(entry); });
}

void caller_service::answerWaiting(const exchange_pointer &entry, const queue_route &route)
{
    const auto count = m_links.countWaitingJobs(route.queue.name);
    if (!count) {
        m_log.write("callers", "waiting", {{"queue", entry->queue}, {"outcome", "owner-unreachable"}});
        answerRetryable(entry, statusUnavailable, "owner-unreachable");
        return;
    }
    m_log.write("callers", "waiting",
                {{"queue", entry->queue},
                 {"outcome", "counted"},
                 {"jobs", std::to_string(count->jobs)},
                 {"owner", count->owner},
                 {"token", std::to_string(count->token)},
                 {"age_ms", std::to_string(count->age.count())}});
    answer(entry, statusOk, m_codec.encodeWaiting(count->jobs), "counted");
}

void caller_service::answer(const exchange_pointer &entry, unsigned status, const std::string &body,
                            const std::string &outcome, std::optional<std::chrono::milliseconds> retryAfter)
{
    if (std::exchange(entry->isAnswered, true)) {
        return; // answerAllAsUnknown() has answered it
    }
    entry->deadlineTimer.stop();
    m_inFlight->erase(entry.get());
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(bootNow() - entry->receivedAt);
    m_measures.observe("primrosecroft_request_seconds", "kind", entry->kind, took);
    if (entry->kind != "status" || status != statusOk) {
        // Refused keys have a line budget of their own, so that a flood of them leaves the other lines theirs.
        m_log.write("callers", status == statusUnauthorized ? "refused-key" : entry->kind,
                    {{"id", entry->id},
                     {"queue", entry->queue},
                     {"status", std::to_string(status)},
                     {"outcome", outcome},
                     {"tries", std::to_string(entry->attempts)},
                     {"ms", std::to_string(took.count() / 1'000)}});
    }
    m_measures.count("primrosecroft_requests", "outcome", entry->kind + '-' + outcome);
    if (!entry->workspace.empty()) {
        m_measures.count("primrosecroft_workspace_requests", "workspace", entry->workspace);
    }
    http_response result {status, {{"Content-Type", "application/json"}}, body.empty() ? "{}" : body};
    if (retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*retryAfter);
        result.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    entry->request->answer(result);
}

/// Answers a request that the caller may repeat soon, here or at another process.
void caller_service::answerRetryable(const exchange_pointer &entry, unsigned status, const std::string &outcome)
{
    answer(entry, status, "", outcome, defaultRetryAfter);
}

} // namespace primrosecroft
