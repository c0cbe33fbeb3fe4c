#pragma once

#include "cell/detail/waiting_step.h"

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

/// The order in which waiting steps are served.
namespace primrosecroft::detail
{

/// Where a step stands among those that wait; the lower one is served first.
struct serving_rank
{
    bool isOther = true; ///< false for a service with a task that has waited for longer than maxServiceWait
    bool isFarOverdue = false; ///< its job can't end within maxObjectives any more, whatever is done for it
    bool isBeyondRate = false; ///< its workspace sends more than its rate, which mustn't delay what others send
    std::int32_t priority = 0; ///< 0 is served first
    /// The job can't meet its objective any more. Served after those that can, so that a backlog of late jobs doesn't
    /// make each job late that arrives after it, until it has to start for the job to end within maxObjectives.
    bool isLate = false;
    /// End of the job's objective, put off for long steps by the policy; the earlier is served first. The objective
    /// begins when the job arrived or, for a job with a schedule, when the step became ready.
    instant due;

    friend auto operator<=>(const serving_rank &, const serving_rank &) = default;
};

/// Returns whether tasks of the job may still run under the leases of an earlier owner. Jobs that were accepted under
/// this ownership are never in doubt.
bool isJobInDoubt(const cell_state &state, const job_state &job, instant now);

serving_rank servingRankOf(const cell_state &state, const job_state &job, const step_state &step, const step_spec &spec,
                           instant now);

/// A step with pending tasks. Steps are sorted in the order in which they are served.
struct queued_step
{
    waiting_step waiting;
    serving_rank rank;

    friend bool operator<(const queued_step &left, const queued_step &right)
    {
        return std::tie(left.rank, left.waiting.job->accepted.id, left.waiting.occurrenceNumber, left.waiting.index)
            < std::tie(right.rank, right.waiting.job->accepted.id, right.waiting.occurrenceNumber, right.waiting.index);
    }
};

/// The ready steps with pending tasks that may start under this ownership, in the order in which they are served.
std::vector<queued_step> queuedSteps(cell_state &state, instant now);

} // namespace primrosecroft::detail
