#include "cell/backlog.h"
#include "cell/detail/advice_requests.h"
#include "cell/detail/candidates.h"
#include "cell/detail/cell_parts.h"
#include "cell/detail/gang_placing.h"
#include "cell/detail/serving_order.h"
#include "cell/detail/starts.h"
#include "cell/detail/trials.h"
#include "cell/detail/worker_loss.h"
#include "cell/detail/workspace_limits.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

/// Placement of pending tasks on workers, in the order in which steps are served.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxConfirmationAge = 2'500ms; ///< no task starts if the last confirmation of ownership is older

/// Only this many steps of a pass, the first ones that need advice, may ask ahead.
constexpr std::size_t maxStepsAskingAhead = 10;

/// A task goes to a worker that it avoids once it has waited this long for another one to get room. Sooner, it might
/// use up its attempts on a bad worker; a job of which nothing runs has to go on within 3 s.
constexpr auto maxAvoidance = 2s;

constexpr auto backlogInterval = 200ms; ///< between two measurements of what waits

bool mayStart(const waiting_step &waiting, const task_state &task, instant now)
{
    // A suspect in a trial has no copy, which might crash another worker.
    const bool mayHaveCopy =
        task.needsCopy && task.runs.size() == 1 && !task.runs.front().isCounted && !needsLongTrial(task.losses);
    const bool isFree = task.runs.empty() || mayHaveCopy;
    return !waiting.job->hasFailed && !task.isDone && isFree && task.notBefore <= now
        && static_cast<std::int32_t>(task.failedAttempts.size()) < waiting.job->accepted.queue.maxFailures;
}

/// Returns whether the suspect still waits for a worker on which a trial may begin.
bool mayWaitForTrial(const task_state &task, instant now)
{
    return task.pendingSince + maxTrialWait > now;
}

/// Chooses a worker for the task. A suspect gets one on which a trial may begin, and none while its step awaits the
/// outcome of another one's. Returns nullptr if there is none.
candidate *chooseTarget(const cell_state &state, const usable_workers &usable, const waiting_step &waiting,
                        const task_state &task, std::vector<candidate> &candidates, instant now)
{
    if (!isSuspect(state, task)) {
        return chooseCandidate(usable, task, candidates);
    }
    if (isAwaitingTrial(*waiting.step)) {
        return nullptr;
    }
    if (needsLongTrial(task.losses)) {
        auto *isolated = chooseCandidate(usable, task, candidates, candidate_choice::isolated);
        if (isolated != nullptr || task.pendingSince + maxIsolationWait > now) {
            return isolated;
        }
    }
    auto *target = chooseCandidate(usable, task, candidates, candidate_choice::forTrial);
    return target != nullptr || mayWaitForTrial(task, now) ? target : chooseCandidate(usable, task, candidates);
}

/// Chooses a worker as chooseTarget() does; for a task that has waited for long enough also one that it avoids, if no
/// other has room.
candidate *chooseAnyTarget(const cell_state &state, const usable_workers &usable, const waiting_step &waiting,
                           task_state &task, std::vector<candidate> &candidates, instant now)
{
    auto *target = chooseTarget(state, usable, waiting, task, candidates, now);
    const bool avoidsFurther =
        task.avoidedWorkers.empty() || !task.runs.empty() || task.pendingSince + maxAvoidance > now;
    if (target != nullptr || avoidsFurther) {
        return target;
    }
    const auto avoided = std::exchange(task.avoidedWorkers, {});
    target = chooseTarget(state, usable, waiting, task, candidates, now);
    task.avoidedWorkers = avoided;
    return target;
}

/// Lets the task run on any worker again if it avoids all those that are allowed.
void clearAvoidedWorkersIfAll(const usable_workers &usable, const std::vector<usable_workers::position> &allowed,
                              task_state &task)
{
    if (!task.avoidedWorkers.empty() && std::ranges::all_of(allowed, [&](usable_workers::position each) {
            return task.avoidedWorkers.contains(usable.at(each).worker->description.id);
        })) {
        task.avoidedWorkers.clear();
    }
}

/// Starts tasks of the step, @p startable at most.
void placeStep(cell_state &state, usable_workers &usable, const waiting_step &waiting, std::int64_t startable,
               instant now, cell_actions &actions)
{
    const auto &policy = state.rules.policy;
    auto options = candidatesFor(policy, usable, waiting, now);
    if (options.candidates.empty()) {
        return;
    }
    if (waiting.spec->isGang) {
        placeGang(state, usable, waiting, options, now, actions);
        return;
    }
    rateCandidates(policy, usable, waiting, options);
    std::vector<std::int32_t> stillPending;
    bool isFull = false;
    for (const auto index : waiting.step->pendingTasks) {
        auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
        candidate *target = nullptr;
        const task_ref ref {waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, index};
        if (!isFull && startable > 0 && mayStart(waiting, task, now)
            && ensureLossesStored(state, ref, viewOf(waiting, task), now, actions)
            && ensureAttemptReserved(state, *waiting.job, *waiting.step, task.lastAttempt + 1)
            && ensureStartStored(state, waiting, task, now, actions)) {
            clearAvoidedWorkersIfAll(usable, options.allowed, task);
            target = chooseAnyTarget(state, usable, waiting, task, options.candidates, now);
            // A worker that the task avoids, on which it runs or can have no trial may have room for the next one.
            isFull = target == nullptr && task.avoidedWorkers.empty() && task.runs.empty() && !isSuspect(state, task);
        }
        if (target == nullptr) {
            stillPending.push_back(index);
            continue;
        }
        const bool isTrial = isSuspect(state, task) && usable.at(target->worker).hasSurvivedAll;
        startTask(state, waiting, index, task.lastAttempt + 1, *usable.at(target->worker).worker, now, actions);
        --startable;
        if (isTrial) {
            beginTrial(usable, waiting, index, actions);
        }
        updateAfterStart(policy, usable, waiting, options, *target);
    }
    waiting.step->pendingTasks = std::move(stillPending);
}

/// Records after a pass how much work still waits in each pool.
void recordBacklog(cell_state &state, instant now)
{
    if (now < state.nextBacklogAt) {
        return;
    }
    state.nextBacklogAt = now + backlogInterval;
    for (const auto &[name, pool] : backlogOf(state, now).pools) {
        const auto work =
            std::transform_reduce(pool.waiting.begin(), pool.waiting.end(), 0.0, std::plus<>(),
                                  [](const waiting_work &each) { return each.readyIn > 0ms ? 0 : each.coreSeconds; });
        recordWaitingWork(state.rates[name], work, pool.capacity, now);
    }
}

} // namespace

void placeTasks(cell_state &state, instant now, cell_actions &actions)
{
    if (state.confirmedAt + maxConfirmationAge < now) {
        return;
    }
    usable_workers usable(state, now);
    updateUnseenBounds(state);
    std::vector<waiting_step> ahead; // they ask once all that can start have asked
    for (const auto &queued : queuedSteps(state, now)) {
        const auto &waiting = queued.waiting;
        if (waiting.job->hasFailed) {
            continue; // in this pass
        }
        if (const auto startable = startableTasks(state, *waiting.job, *waiting.spec); startable > 0) {
            placeStep(state, usable, waiting, startable, now, actions);
        }
        if (waiting.job->hasFailed || waiting.step->pendingTasks.empty()) {
            continue;
        }
        if (startableTasks(state, *waiting.job, *waiting.spec) == 0) {
            reportLimit(state, waiting, now, actions);
        } else if (waiting.job->accepted.queue.advice) {
            requestAdvice(state, usable, waiting, advice_purpose::start, now, actions);
            if (ahead.size() < maxStepsAskingAhead) {
                ahead.push_back(waiting);
            }
        }
    }
    for (const auto &waiting : ahead) {
        if (!waiting.job->hasFailed) {
            requestAdvice(state, usable, waiting, advice_purpose::ahead, now, actions);
        }
    }
    requestEarlyAdvice(state, usable, now, actions);
    recordBacklog(state, now);
}

} // namespace primrosecroft::detail
