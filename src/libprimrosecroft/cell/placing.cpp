#include "cell/backlog.h"
#include "cell/detail/advice_requests.h"
#include "cell/detail/candidates.h"
#include "cell/detail/cell_parts.h"
#include "cell/detail/serving_order.h"
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

/// A suspect that has waited this long for a worker on which a trial may begin goes to any other one.
constexpr auto maxTrialWait = 2s;

/// Likewise for a worker on which nothing else runs.
constexpr auto maxIsolationWait = 3s;

/// A task goes to a worker that it avoids once it has waited this long for another one to get room. Sooner, it might
/// use up its attempts on a bad worker; a job of which nothing runs has to go on within 3 s.
constexpr auto maxAvoidance = 2s;

constexpr auto backlogInterval = 200ms; ///< between two measurements of what waits

task_view viewOf(const waiting_step &waiting, task_state &task)
{
    return {waiting.job, waiting.occurrence, waiting.step, waiting.spec, &task};
}

/// Sends the start of a task to the worker and reserves its capacity there.
void startTask(cell_state &state, const waiting_step &waiting, std::int32_t index, std::uint32_t attempt,
               worker_state &worker, instant now, cell_actions &actions)
{
    auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
    const auto deadline = *leaseDeadline(state, worker);
    recordDeadline(worker, deadline, now);
    const run_id id {{waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, index}, attempt};
    reserve(state, worker, id, viewOf(waiting, task));
    task_run run;
    run.worker = worker.description.id;
    run.boot = worker.description.boot;
    run.attempt = attempt;
    run.sentAt = now;
    run.lastProgressAt = now;
    run.isCounted = task.losses.isNextCounted;
    noteStart(worker, now);
    task.runs.push_back(run);
    task.needsCopy = false;
    task.lastAttempt = attempt;
    std::string ticket;
    if (const auto found = waiting.step->advice.workers.find(run.worker); found != waiting.step->advice.workers.end()) {
        ticket = found->second.ticket;
    }
    actions.emplace_back(send_start {run.worker, worker.description.address, run.boot, id,
                                     waiting.job->accepted.spec.payload, deadline, task.checkpoint, ticket});
    actions.emplace_back(
        report_placed {id, run.worker, std::chrono::duration_cast<std::chrono::milliseconds>(now - task.pendingSince)});
}

/// Makes the latest run of the task a trial, which keeps other starts away from its worker.
void beginTrial(usable_workers &usable, const waiting_step &waiting, std::int32_t index, cell_actions &actions)
{
    auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
    auto &run = task.runs.back();
    run.isTrial = true;
    const auto position = *usable.find(run.worker);
    const run_id id {{waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, index}, run.attempt};
    usable.at(position).worker->trials.insert(id);
    usable.refresh(position);
    actions.emplace_back(report_trial {id, run.worker, trial_event::begun, task.losses.counts});
}

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

/// Returns whether the task may start under the rule for at-most-once tasks, which does not concern other tasks. The
/// start has to be stored first, which this function schedules. If an earlier owner has stored it, the task may have
/// run already, so this function fails the job.
bool ensureStartStored(cell_state &state, const waiting_step &waiting, task_state &task, instant now,
                       cell_actions &actions)
{
    if (!waiting.spec->isAtMostOnce) {
        return true;
    }
    if (task.wasBegunBefore) {
        failLostTask(state, viewOf(waiting, task), now, actions);
        return false;
    }
    if (!std::exchange(task.mayHaveBegun, true)) {
        markUnsaved(state, *waiting.job);
    }
    return task.isStartStored;
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

/// As ensureLossesStored() for each member of the gang, so that one commit stores what is counted ahead of them all.
bool ensureGangLossesStored(cell_state &state, const waiting_step &waiting, instant now, cell_actions &actions)
{
    task_ref ref {waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, 0};
    bool areStored = true;
    for (auto &task : waiting.step->tasks) {
        areStored = ensureLossesStored(state, ref, viewOf(waiting, task), now, actions) && areStored;
        ++ref.index;
    }
    return areStored;
}

/// No worker is avoided for a member of a gang, because the capacity counted for it includes all candidates.
const task_state &unrestrictedTask()
{
    static const task_state task;
    return task;
}

/// Returns the indices of the gang's members that may be why workers were lost.
std::vector<std::int32_t> suspectsOf(const cell_state &state, const step_state &gang)
{
    std::vector<std::int32_t> result;
    for (std::int32_t index = 0; index < std::ssize(gang.tasks); ++index) {
        if (isSuspect(state, gang.tasks[static_cast<std::size_t>(index)])) {
            result.push_back(index);
        }
    }
    return result;
}

/// Number of tasks of the step that the candidates could take now.
std::int64_t totalCapacity(const std::vector<candidate> &candidates)
{
    std::int64_t total = 0;
    for (const auto &each : candidates) {
        total += each.capacity;
    }
    return total;
}

/// Chooses a worker of its own for the trial of each suspect of a gang. Returns none if the other members don't fit on
/// the rest, or there are too few.
std::vector<usable_workers::position> workersForTrials(const usable_workers &usable, std::vector<candidate> candidates,
                                                       std::size_t suspects, std::size_t members,
                                                       candidate_choice choice)
{
    std::vector<usable_workers::position> result;
    while (result.size() < suspects) {
        auto *target = chooseCandidate(usable, unrestrictedTask(), candidates, choice);
        if (target == nullptr) {
            return {};
        }
        result.push_back(target->worker);
        target->capacity = 0; // the worker takes nothing else before it has survived the trial
    }
    return totalCapacity(candidates) < static_cast<std::int64_t>(members - suspects) ? decltype(result)() : result;
}

/// How the members of a gang are placed.
struct gang_plan
{
    bool mayStart = false;
    std::vector<std::int32_t> suspects {}; ///< indices of the members whose start is a trial
    std::vector<usable_workers::position> workers {}; ///< one for each suspect; empty if they share workers with others
};

/// Plans the start of a gang with suspects. Each has its trial on a worker of its own, or where only the gang can be
/// why that worker is lost, or, after a while, none. Leaves only the candidates to which the plan is limited.
gang_plan planTrials(const usable_workers &usable, const step_state &gang, const std::vector<std::int32_t> &suspects,
                     std::vector<candidate> &candidates, instant now)
{
    const auto members = gang.tasks.size();
    const auto pendingSince = std::ranges::max_element(gang.tasks, {}, &task_state::pendingSince)->pendingSince;
    const bool isLong = std::ranges::any_of(suspects, [&gang](std::int32_t index) {
        return needsLongTrial(gang.tasks[static_cast<std::size_t>(index)].losses);
    });
    if (isLong) {
        auto workers = workersForTrials(usable, candidates, suspects.size(), members, candidate_choice::isolated);
        if (!workers.empty() || pendingSince + maxIsolationWait > now) {
            return {!workers.empty(), suspects, std::move(workers)};
        }
    }
    auto workers = workersForTrials(usable, candidates, suspects.size(), members, candidate_choice::forTrial);
    if (!workers.empty()) {
        return {true, suspects, std::move(workers)};
    }
    auto survivors = candidates;
    std::erase_if(survivors, [&usable](const candidate &each) { return !usable.at(each.worker).hasSurvivedAll; });
    if (totalCapacity(survivors) >= std::ssize(gang.tasks)) {
        candidates = std::move(survivors);
        return {true, suspects, {}};
    }
    return {pendingSince + maxTrialWait <= now && totalCapacity(candidates) >= std::ssize(gang.tasks)};
}

/// Starts all members of the gang at once, or none.
void placeGang(cell_state &state, usable_workers &usable, const waiting_step &waiting, step_candidates &options,
               instant now, cell_actions &actions)
{
    const auto &policy = state.rules.policy;
    auto &step = *waiting.step;
    if (step.pendingTasks.size() != step.tasks.size() || !ensureGangLossesStored(state, waiting, now, actions)
        || static_cast<std::int32_t>(step.failedGangs.size()) >= waiting.job->accepted.queue.maxFailures
        || !std::ranges::all_of(step.tasks, [now](const task_state &task) { return task.notBefore <= now; })
        || totalCapacity(options.candidates) < std::ssize(step.tasks)) {
        return;
    }
    rateCandidates(policy, usable, waiting, options);
    const auto suspects = suspectsOf(state, step);
    const auto plan = suspects.empty() ? gang_plan {true} : planTrials(usable, step, suspects, options.candidates, now);
    if (!plan.mayStart || !ensureAttemptReserved(state, *waiting.job, step, step.gangAttempt + 1)) {
        return;
    }
    const auto mayAllStart =
        std::ranges::count_if(step.tasks,
                              [&](task_state &task) { return ensureStartStored(state, waiting, task, now, actions); })
        == std::ssize(step.tasks);
    if (!mayAllStart) {
        return;
    }
    const auto attempt = ++step.gangAttempt;
    const auto start = [&](std::int32_t index, candidate &target, bool isTrial) {
        startTask(state, waiting, index, attempt, *usable.at(target.worker).worker, now, actions);
        if (isTrial) {
            beginTrial(usable, waiting, index, actions);
        }
        updateAfterStart(policy, usable, waiting, options, target);
    };
    for (std::size_t number = 0; number < plan.workers.size(); ++number) {
        const auto target = std::ranges::find(options.candidates, plan.workers[number], &candidate::worker);
        start(plan.suspects[number], *target, true);
    }
    for (std::int32_t index = 0; index < std::ssize(step.tasks); ++index) {
        if (step.tasks[static_cast<std::size_t>(index)].runs.empty()) {
            start(index, *chooseCandidate(usable, unrestrictedTask(), options.candidates), false);
        }
    }
    if (plan.workers.empty()) {
        std::ranges::for_each(plan.suspects, [&](std::int32_t index) { beginTrial(usable, waiting, index, actions); });
    }
    step.pendingTasks.clear();
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
