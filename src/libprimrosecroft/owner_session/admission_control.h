#pragma once

#include "admission/submit_result.h"
#include "admission/turned_away.h"
#include "cell/backlog.h"
#include "observability/decision_log.h"

#include <map>
#include <optional>

namespace primrosecroft
{

/**
 * Keeps what the owner's admission has to know between two submissions: the backlog, the jobs whose acceptance is in
 * flight, those that may be stored although nobody was told so, and those that were turned away.
 */
class admission_control
{
public:
    explicit admission_control(decision_log &log);

    /// Returns the time after which the caller may come back if the job, which isn't known here, is to be turned away.
    std::optional<std::chrono::milliseconds> judge(const cell_state &state, const accepted_job &job, instant now);

    /// When the job first reached the system, on the store's clock: earlier than this request if it was turned away.
    std::chrono::milliseconds firstReceivedAt(const accepted_job &job) const;

    /// Records that the job's acceptance is in flight.
    void noteAccepting(const cell_state &state, const accepted_job &job, instant now);

    /// Records the outcome of a submission.
    void noteOutcome(const cell_state &state, const job_id &id, const submit_result &result, instant now);

private:
    void refresh(const cell_state &state, instant now);
    std::optional<std::chrono::milliseconds> judgeByLoad(const cell_state &state, const accepted_job &job, instant now);

    decision_log &m_log;
    cell_backlog m_backlog;
    std::map<job_id, job_outlook> m_accepting; ///< jobs whose acceptance is in flight
    std::map<job_id, instant> m_unknown; ///< jobs whose outcome was lost, so they may be stored now or later
    turned_away_jobs m_turnedAway;
};

} // namespace primrosecroft
