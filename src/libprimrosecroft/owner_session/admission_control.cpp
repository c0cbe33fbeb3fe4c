#include "owner_session/admission_control.h"

#include <algorithm>
#include <string>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto backlogAge = 100ms; ///< an older backlog is measured anew

/// A commit without an answer may take effect some seconds later, and its job isn't turned away meanwhile.
constexpr auto unknownTime = 60s;

std::string text(double value)
{
    return std::to_string(static_cast<std::int64_t>(value));
}

} // namespace

admission_control::admission_control(decision_log &log)
    : m_log(log)
{
}

void admission_control::refresh(const cell_state &state, instant now)
{
    if (m_backlog.at != instant {} && now < m_backlog.at + backlogAge) {
        return;
    }
    m_backlog = backlogOf(state, now);
    for (const auto &[id, job] : m_accepting) {
        m_backlog.pools[job.pool].waiting.push_back(job.work);
    }
}

std::optional<milliseconds> admission_control::judge(const cell_state &state, const accepted_job &job, instant now)
{
    std::erase_if(m_unknown, [now](const auto &each) { return each.second + unknownTime < now; });
    if (m_unknown.contains(job.id)) {
        return std::nullopt;
    }
    if (const auto before = m_turnedAway.find(job.id);
        before != m_turnedAway.end() && isOvertaken(before->second, job.acceptedAt)) {
        return before->second.retryAfter;
    }
    return judgeByLoad(state, job, now);
}

std::optional<milliseconds> admission_control::judgeByLoad(const cell_state &state, const accepted_job &job,
                                                           instant now)
{
    auto outlook = outlookOf(state, job, now);
    if (!outlook) {
        return std::nullopt;
    }
    refresh(state, now);
    if (const auto before = m_turnedAway.find(job.id); before != m_turnedAway.end()) {
        outlook->request.waited = std::chrono::duration_cast<milliseconds>(now - before->second.firstAt);
    }
    const auto ahead = workAheadOf(state, m_backlog, *outlook, now);
    const auto verdict = decideAdmission(outlook->request, ahead);
    if (verdict.isAccepted || hasRoomNow(m_backlog, *outlook)) {
        return std::nullopt;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_backlog.at);
    m_log.write("cell", "turning-away",
                {{"id", job.id},
                 {"queue", job.queue.name},
                 {"workspace", job.workspace},
                 {"ahead_core_s", text(ahead.coreSeconds)},
                 {"later_core_s", text(ahead.laterCoreSeconds)},
                 {"rate_cores", text(ahead.rate)},
                 {"age_ms", std::to_string(age.count())},
                 {"wait_ms", std::to_string(verdict.wait.count())},
                 {"may_wait_ms", std::to_string(verdict.mayWait.count())},
                 {"waited_ms", std::to_string(outlook->request.waited.count())},
                 {"objective_ms", std::to_string(outlook->request.objective.count())},
                 {"retry_after_ms", std::to_string(verdict.retryAfter.count())}});
    return verdict.retryAfter;
}

milliseconds admission_control::firstReceivedAt(const accepted_job &job) const
{
    const auto before = m_turnedAway.find(job.id);
    if (before == m_turnedAway.end() || before->second.firstStoreTime <= 0ms) {
        return job.acceptedAt;
    }
    return std::min(job.acceptedAt, before->second.firstStoreTime);
}

void admission_control::noteAccepting(const cell_state &state, const accepted_job &job, instant now)
{
    if (auto outlook = outlookOf(state, job, now)) {
        m_backlog.pools[outlook->pool].waiting.push_back(outlook->work);
        m_accepting.insert_or_assign(job.id, std::move(*outlook));
    }
}

void admission_control::noteOutcome(const cell_state &state, const job_id &id, const submit_result &result, instant now)
{
    const bool wasAccepting = m_accepting.erase(id) > 0;
    if (result.outcome == store_outcome::lost) {
        if (wasAccepting) {
            m_unknown[id] = now;
        }
    } else if (result.retryAfter) {
        noteTurnedAway(m_turnedAway, id, state.storeTime, *result.retryAfter, now);
    } else {
        m_turnedAway.erase(id);
    }
}

} // namespace primrosecroft
