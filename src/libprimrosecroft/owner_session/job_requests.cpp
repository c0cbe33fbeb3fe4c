#include "owner_session/job_requests.h"

#include "core/error.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

job_requests::job_requests(const runner_context &context, owned_commits &commits,
                           std::function<void(const job_id &id)> readJob)
    : m_context(context)
    , m_admission(context.log)
    , m_acceptances({[&commits](store_transaction transaction, owned_commits::commit_handler done) {
                         commits.commit(std::move(transaction), std::move(done));
                     },
                     [this](const std::string &row, row_version version) { addAcceptedJob(row, version); },
                     std::move(readJob), &context.state.acceptanceBar},
                    context.log)
{
}

void job_requests::submit(const job_id &id, const std::string &row, stored_handler done)
{
    if (m_context.state.jobs.contains(id) || m_context.state.finishedJobs.contains(id)) {
        done(store_outcome::conflict);
        return;
    }
    if (m_acceptances.isPending(id)) {
        m_acceptances.add(id, row, std::move(done));
        return;
    }
    accepted_job job;
    try {
        job = decodeJobOf(id, row);
    } catch (const error &fault) {
        m_context.log.write("cell", "row-unreadable", {{"id", id}, {"reason", fault.what()}});
        done(store_outcome::refused);
        return;
    }
    const auto now = bootNow();
    if (const auto retryAfter = m_admission.judge(m_context.state, job, now)) {
        m_acceptances.turnAway(id, *retryAfter, noted(id, std::move(done)));
        return;
    }
    m_admission.noteAccepting(m_context.state, job, now);
    const auto firstReceivedAt = m_admission.firstReceivedAt(job);
    if (firstReceivedAt == job.acceptedAt) {
        m_acceptances.add(id, row, noted(id, std::move(done)));
        return;
    }
    job.acceptedAt = firstReceivedAt; // a caller that was turned away keeps its place in the order
    m_acceptances.add(id, encodeJob(job), noted(id, std::move(done)));
}

/// Tells admission the outcome before @p done.
stored_handler job_requests::noted(const job_id &id, stored_handler done)
{
    return [this, id, done = std::move(done)](const submit_result &result) {
        m_admission.noteOutcome(m_context.state, id, result, bootNow());
        done(result);
    };
}

bool job_requests::isBeingAccepted(const job_id &id) const
{
    return m_acceptances.isSending(id);
}

/// Adds a job whose row has just been committed, without reading it from the store.
void job_requests::addAcceptedJob(const std::string &row, row_version version)
{
    m_context.apply(job_arrived {decodeJob(row), {}, version, false});
    m_context.requestPass();
}

void job_requests::cancel(const job_id &id, stored_handler done)
{
    if (m_context.state.finishedJobs.contains(id)) {
        done(store_outcome::conflict);
        return;
    }
    if (!m_context.state.jobs.contains(id)) {
        done(store_outcome::refused);
        return;
    }
    m_cancellations[id].push_back(std::move(done));
    m_context.apply(job_cancelled {id});
    m_context.requestPass();
}

void job_requests::handleJobEnd(const job_id &id)
{
    if (auto node = m_cancellations.extract(id)) {
        std::ranges::for_each(node.mapped(), [](const auto &done) { done(store_outcome::done); });
    }
}

void job_requests::close()
{
    m_acceptances.close();
    for (auto &[id, handlers] : std::exchange(m_cancellations, {})) {
        std::ranges::for_each(handlers, [](const auto &done) { done(store_outcome::lost); });
    }
}

} // namespace primrosecroft
