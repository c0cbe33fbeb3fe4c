#include "cell/detail/serving_order.h"

#include "admission/admission.h"
#include "cell/detail/workspace_limits.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxOrderingEstimate = 120s; ///< a longer estimate moves a step no further back in the queue

/// A step that has to start within this part of its objective for its job to end within maxObjectives goes before
/// others again, so that jobs that are late don't wait for as long as others arrive.
constexpr double lastCallPart = 0.5;

/// A service's task that has waited this long goes before all other work: its users have no service meanwhile, and in a
/// backlog of more urgent queues it would wait as long as that lasts.
constexpr auto maxServiceWait = 2s;

/// Returns whether the job may have been stored after another process took over. If so, that owner hasn't read it with
/// the stored state, so it would take a run of it for an unknown one, and start the task itself.
bool mayBelongToLaterOwner(const cell_state &state, const job_state &job)
{
    return job.version > state.confirmedVersion;
}

/// Returns whether a task of the service has waited for longer than maxServiceWait.
bool isServiceOverdue(const step_state &step, const step_spec &spec, instant now)
{
    return spec.isService && std::ranges::any_of(step.pendingTasks, [&](std::int32_t index) {
               return step.tasks[static_cast<std::size_t>(index)].awaySince + maxServiceWait <= now;
           });
}

} // namespace

bool isJobInDoubt(const cell_state &state, const job_state &job, instant now)
{
    return !state.unreconciledWorkers.empty() && now < state.inDoubtUntil && job.version < state.takeOver.token
        && job.version != 0;
}

serving_rank servingRankOf(const cell_state &state, const job_state &job, const step_state &step, const step_spec &spec,
                           instant now)
{
    const auto objective = std::chrono::duration_cast<duration>(job.objective);
    const auto begin = job.accepted.spec.occurrences > 0 ? step.readyAt : job.arrivedAt;
    const auto orderingDelay =
        std::min<duration>(step.forecast.median, maxOrderingEstimate) * state.rules.policy.shortFirst;
    serving_rank result;
    result.isOther = !isServiceOverdue(step, spec, now);
    result.isBeyondRate = job.isBeyondRate;
    result.priority = job.accepted.queue.priority;
    result.due = begin + objective + std::chrono::duration_cast<duration>(orderingDelay);
    if (spec.isService) {
        return result;
    }
    const auto latestStart = begin + std::max(objective, maxObjectives * objective - duration(step.criticalPath));
    const auto lastCall = latestStart - std::chrono::duration_cast<duration>(objective * lastCallPart);
    result.isFarOverdue = now > latestStart;
    result.isLate = now + step.criticalPath > begin + objective && (result.isFarOverdue || now < lastCall);
    return result;
}

std::vector<queued_step> queuedSteps(cell_state &state, instant now)
{
    std::vector<queued_step> result;
    for (auto &[id, job] : state.jobs) {
        if (job.isCancelled || job.hasFailed || mayBelongToLaterOwner(state, job)) {
            continue;
        }
        const bool inDoubt = isJobInDoubt(state, job, now);
        for (auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isComplete) {
                continue;
            }
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                const auto waiting = waitingStepOf(job, number, occurrence, index);
                // While an earlier owner's run may still exist, only a step that allows copies may start another one.
                // Not under a limit, for which a task counts as two unseen runs at most, whatever the number of owners.
                const bool mayCopy = waiting.spec->allowsCopies && !hasLimit(state, job.accepted.workspace);
                if (waiting.step->isReady && !waiting.step->pendingTasks.empty() && (!inDoubt || mayCopy)) {
                    result.push_back({waiting, servingRankOf(state, job, *waiting.step, *waiting.spec, now)});
                }
            }
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace primrosecroft::detail
