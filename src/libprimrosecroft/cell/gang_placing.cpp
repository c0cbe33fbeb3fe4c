#include "cell/detail/gang_placing.h"

#include "cell/detail/starts.h"
#include "cell/detail/trials.h"
#include "cell/detail/worker_loss.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

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

/// Chooses a worker of its own for the trial of each suspect of a gang. Returns none if there are too few, or the other
/// members don't fit on the rest.
std::vector<usable_workers::position> workersForTrials(const usable_workers &usable, std::vector<candidate> candidates,
                                                       std::size_t suspects, std::size_t members,
                                                       candidate_choice choice)
{
    if (suspects > candidates.size()) {
        return {};
    }
    std::vector<usable_workers::position> result;
    while (result.size() < suspects) {
        auto *target = chooseCandidate(usable, unrestrictedTask(), candidates, choice);
        if (target == nullptr) {
            return {};
        }
        result.push_back(target->worker);
        target->capacity = 0; // the worker takes nothing else before it has survived the trial
    }
    if (totalCapacity(candidates) < static_cast<std::int64_t>(members - suspects)) {
        return {};
    }
    return result;
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

} // namespace

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

} // namespace primrosecroft::detail
