#include "owner_link.h"

#include "jobs/job_rows.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto noticeTimeout = 500ms;
constexpr int maxNoticeAttempts = 2; ///< after that the notice goes to the owner's inbox in the store
constexpr auto submissionTimeout = 900ms; ///< for each attempt; repeated only while the owner is responsive
constexpr auto inboxTimeout = 900ms;

submit_result resultOf(const wire::JobReport &report)
{
    const auto outcome = static_cast<store_outcome>(report.outcome);
    return outcome == store_outcome::refused && report.__isset.retryAfterMs
        ? submit_result::turnedAway(std::chrono::milliseconds(report.retryAfterMs))
        : submit_result(outcome);
}

} // namespace

owner_link::owner_link(peer_hub &peers, cell_runner &runner, primrosecroft::store &rows, owner_view owner,
                       decision_log &log)
    : m_peers(peers)
    , m_runner(runner)
    , m_rows(rows)
    , m_owner(std::move(owner))
    , m_log(log)
{
}

void owner_link::notify(const job_id &id, bool cancelled, int attempt)
{
    if (m_owner.isHere()) {
        m_runner.notice(id, cancelled);
        return;
    }
    const auto address = m_owner.address();
    if (!address || attempt > maxNoticeAttempts) {
        // A new owner reads all rows of jobs when it takes over. The current one reads its inbox, which covers an owner
        // that runs but can't be reached from here.
        store_transaction inbox;
        inbox.writes.push_back({inboxPlace(id), "1"});
        m_rows.commit(inbox, inboxTimeout, [this, id](const commit_result &result) {
            m_log.write("cell", "inbox", {{"id", id}, {"stored", result.outcome == store_outcome::done ? "1" : "0"}});
        });
        return;
    }
    wire::Message message;
    message.jobNotice.id = id;
    message.jobNotice.cancelled = cancelled;
    message.__isset.jobNotice = true;
    m_peers.ask(*address, message, noticeTimeout,
                [this, id, cancelled, attempt](const std::optional<wire::Message> &reply) {
                    if (!reply || !reply->__isset.jobReport || !reply->jobReport.known) {
                        notify(id, cancelled, attempt + 1);
                    }
                });
}

void owner_link::handleNotice(const wire::JobNotice &notice, const std::function<void(wire::Message)> &reply)
{
    const bool isOwner = m_owner.isHere();
    if (isOwner) {
        m_runner.notice(notice.id, notice.cancelled);
    }
    wire::Message message;
    message.jobReport.known = isOwner;
    message.__isset.jobReport = true;
    reply(message);
}

owner_answer owner_link::answerFor(const job_id &id) const
{
    owner_answer answer;
    if (const auto *state = m_runner.state(); state != nullptr) {
        answer.isReached = true;
        answer.status = statusOf(*state, id);
    }
    return answer;
}

void owner_link::ask(const job_id &id, std::chrono::milliseconds timeout, std::function<void(owner_answer)> done)
{
    const auto address = m_owner.address();
    if (!address) {
        done(answerFor(id));
        return;
    }
    wire::Message message;
    message.jobQuery.id = id;
    message.__isset.jobQuery = true;
    m_peers.ask(*address, message, timeout, [done = std::move(done)](const std::optional<wire::Message> &reply) {
        owner_answer answer;
        if (reply && reply->__isset.jobReport) {
            answer.isReached = true;
            if (reply->jobReport.known) {
                answer.status = statusFromString(reply->jobReport.state);
            }
        }
        done(answer);
    });
}

void owner_link::handleQuery(const wire::JobQuery &query, const std::function<void(wire::Message)> &reply)
{
    const auto answer = answerFor(query.id);
    wire::Message message;
    message.jobReport.known = answer.status.has_value();
    if (answer.status) {
        message.jobReport.__set_state(toString(*answer.status));
    }
    if (query.withTasks && m_runner.state() != nullptr) {
        std::vector<wire::TaskReport> tasks;
        for (const auto &location : taskLocations(*m_runner.state(), query.id)) {
            auto &task = tasks.emplace_back();
            task.index = location.index;
            task.state = location.state;
            task.__set_worker(location.worker);
        }
        message.jobReport.__set_tasks(tasks);
    }
    message.__isset.jobReport = true;
    reply(message);
}

void owner_link::storeHere(const job_id &id, const std::string &row, bool cancelled, stored_handler done)
{
    if (cancelled) {
        m_runner.cancel(id, std::move(done));
    } else {
        m_runner.submit(id, row, std::move(done));
    }
}

void owner_link::store(const job_id &id, const std::string &row, bool cancelled, std::chrono::milliseconds timeout,
                       stored_handler done)
{
    if (m_owner.isHere()) {
        storeHere(id, row, cancelled, std::move(done));
        return;
    }
    const auto address = m_owner.address();
    if (!address) {
        done(store_outcome::refused);
        return;
    }
    wire::Message message;
    message.jobSubmission.id = id;
    message.jobSubmission.row = row;
    message.jobSubmission.cancelled = cancelled;
    message.__isset.jobSubmission = true;
    const auto attemptTimeout = std::min<std::chrono::milliseconds>(timeout, submissionTimeout);
    m_peers.ask(*address, message, attemptTimeout,
                [this, address, id, row, cancelled, remainingTime = timeout - attemptTimeout,
                 done = std::move(done)](const std::optional<wire::Message> &reply) {
                    if (reply && reply->__isset.jobReport && reply->jobReport.__isset.outcome) {
                        done(resultOf(reply->jobReport));
                    } else if (remainingTime > 0ms && m_owner.address() == address && m_owner.isResponsive()) {
                        // The owner is responsive, so the store must be slow. The repeated request finds the submission
                        // that is still in progress.
                        store(id, row, cancelled, remainingTime, done);
                    } else {
                        done(store_outcome::lost);
                    }
                });
}

void owner_link::handleSubmission(const wire::JobSubmission &submission,
                                  const std::function<void(wire::Message)> &reply)
{
    storeHere(submission.id, submission.row, submission.cancelled, [reply](const submit_result &result) {
        wire::Message message;
        message.jobReport.known = true;
        message.jobReport.__set_outcome(static_cast<std::int32_t>(result.outcome));
        if (result.retryAfter) {
            message.jobReport.__set_retryAfterMs(result.retryAfter->count());
        }
        message.__isset.jobReport = true;
        reply(message);
    });
}

} // namespace primrosecroft
