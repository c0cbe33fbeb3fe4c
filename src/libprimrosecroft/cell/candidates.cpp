#include "cell/detail/candidates.h"

#include "cell/detail/cell_parts.h"
#include "core/contains.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto ticketMargin = 120ms; ///< time for a start to reach the worker before its ticket expires

/// Returns whether candidates without free capacity matter for the cost of the others.
bool needsFullCandidates(const placement_policy &policy, const step_spec &spec)
{
    return spec.prefersSameRack || policy.spreadWeight > 0;
}

/// Workers of the group for which the step has tickets, or all of them if its queue needs none.
std::vector<usable_workers::position> allowedWorkers(const usable_workers &usable, const usable_workers::group &workers,
                                                     const waiting_step &waiting, instant now)
{
    if (!waiting.job->accepted.queue.advice) {
        return workers.workers;
    }
    std::vector<usable_workers::position> result;
    for (const auto &[id, advised] : waiting.step->advice.workers) {
        if (!advised.isAllowed || advised.validUntil <= now + ticketMargin) {
            continue;
        }
        if (const auto worker = usable.find(id); worker && workers.isMember[*worker]) {
            result.push_back(*worker);
        }
    }
    return result;
}

const worker_state &stateOf(const usable_workers &usable, const candidate &each)
{
    return *usable.at(each.worker).worker;
}

double fraction(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
}

/// Number of runs of the step on those candidates that are in the rack of @p target.
std::int32_t tasksInRack(const usable_workers &usable, const std::vector<candidate> &candidates,
                         const candidate &target)
{
    const auto &rack = rackOf(stateOf(usable, target).description);
    std::int32_t count = 0;
    for (const auto &each : candidates) {
        const bool isInRack = each.tasksOfStep > 0 && rackOf(stateOf(usable, each).description) == rack;
        count += isInRack ? each.tasksOfStep : 0;
    }
    return count;
}

/// Cost of a task of the step on the candidate. The weights put workers that answer first: a start without an answer
/// holds its task until the lease has expired. Then come the preferred rack and interference between tasks, then the
/// worker's speed, then the deployment's placement policy.
double costOf(const placement_policy &policy, const usable_workers &usable, const waiting_step &waiting,
              const candidate &target, const step_candidates &options)
{
    constexpr double unresponsiveWeight = 1'000;
    constexpr double rackWeight = 100;
    constexpr double interferenceWeight = 50;
    constexpr double slownessWeight = 10;
    const auto &spec = *waiting.spec;
    const auto &each = usable.at(target.worker);
    const auto *worker = each.worker;
    const auto &available = each.available;
    double result = worker->isUnresponsive ? unresponsiveWeight : 0;
    if (!options.rack.empty() && rackOf(worker->description) != options.rack) {
        result += rackWeight;
    }
    if (worker->bestEffortCount > 0 && spec.targetLatency.count() > 0) {
        result += interferenceWeight;
    }
    if (worker->health.slowness != 1) {
        result += slownessWeight * std::log2(std::max(worker->health.slowness, 0.1));
    }
    const auto &whole = worker->description.capacity;
    const auto freeShare = fraction(spec.isBestEffort ? each.unclaimedCores : available.milliCores, whole.milliCores);
    // Best-effort tasks are not packed: they go where the largest share of processor time is unclaimed.
    result += policy.packingWeight * (spec.isBestEffort ? -freeShare : freeShare);
    result += policy.balanceWeight
        * std::abs(fraction(available.milliCores - spec.size.milliCores, whole.milliCores)
                   - fraction(available.memoryMib - spec.size.memoryMib, whole.memoryMib));
    result += spec.size.accelerators == 0 && whole.accelerators > 0 ? policy.strandingWeight : 0;
    if (policy.spreadWeight > 0) {
        result += policy.spreadWeight * tasksInRack(usable, options.candidates, target);
    }
    return result;
}

void updateCosts(const placement_policy &policy, const usable_workers &usable, const waiting_step &waiting,
                 step_candidates &options)
{
    for (auto &each : options.candidates) {
        each.cost = costOf(policy, usable, waiting, each, options);
    }
}

/// Rack that the step's tasks prefer: the one of its data or, if the step prefers a single rack, the one whose
/// candidates have the most runs of the step and the most free capacity for it, where a run weighs far more; the rack
/// of the data is then ignored. Returns an empty string for no preference.
std::string preferredRack(const usable_workers &usable, const waiting_step &waiting,
                          const std::vector<candidate> &candidates)
{
    if (!waiting.spec->prefersSameRack) {
        return waiting.spec->dataRack;
    }
    std::map<std::string, std::int64_t> capacityByRack;
    for (const auto &each : candidates) {
        auto &capacity = capacityByRack[rackOf(stateOf(usable, each).description)];
        capacity += each.capacity;
        // A run of the step counts at least as much as the free capacity of any one worker.
        capacity += static_cast<std::int64_t>(maxTasksPerStep) * each.tasksOfStep;
    }
    const auto best = std::ranges::max_element(capacityByRack, {}, [](const auto &each) { return each.second; });
    return best == capacityByRack.end() ? std::string() : best->first;
}

} // namespace

bool needsRunCounts(const placement_policy &policy, const step_spec &spec)
{
    return spec.maxPerWorker > 0 || needsFullCandidates(policy, spec);
}

step_candidates candidatesFor(const placement_policy &policy, usable_workers &usable, const waiting_step &waiting,
                              instant now)
{
    const auto &spec = *waiting.spec;
    step_candidates result;
    auto &eligible = usable.groupOf(waiting);
    if (!usable.mayFit(eligible, spec)) {
        return result;
    }
    result.allowed = allowedWorkers(usable, eligible, waiting, now);
    const auto runs = needsRunCounts(policy, spec) ? usable.countRuns(*waiting.step) : std::vector<std::int32_t>();
    bool hasCapacity = false;
    for (const auto worker : result.allowed) {
        const auto tasksOfStep = runs.empty() ? 0 : runs[worker];
        const auto capacity = capacityFor(spec, usable.at(worker), tasksOfStep);
        hasCapacity = hasCapacity || capacity > 0;
        if (capacity > 0 || needsFullCandidates(policy, spec)) {
            result.candidates.push_back({worker, tasksOfStep, capacity, 0});
        }
    }
    if (!hasCapacity) {
        result.candidates.clear();
    }
    return result;
}

void rateCandidates(const placement_policy &policy, const usable_workers &usable, const waiting_step &waiting,
                    step_candidates &options)
{
    options.rack = preferredRack(usable, waiting, options.candidates);
    updateCosts(policy, usable, waiting, options);
}

candidate *chooseCandidate(const usable_workers &usable, const task_state &task, std::vector<candidate> &candidates,
                           candidate_choice choice)
{
    constexpr double lossWeight = 10; // for each run that a failed trial would take with it
    const bool isForTrial = choice != candidate_choice::all;
    const auto costFor = [&](const candidate &each) {
        return each.cost
            + (isForTrial ? lossWeight * static_cast<double>(stateOf(usable, each).reservations.size()) : 0);
    };
    candidate *best = nullptr;
    for (auto &each : candidates) {
        if (each.capacity < 1 || (best != nullptr && costFor(each) >= costFor(*best))
            || (isForTrial && !usable.at(each.worker).hasSurvivedAll)
            || (choice == candidate_choice::isolated && !stateOf(usable, each).reservations.empty())) {
            continue;
        }
        const auto &id = stateOf(usable, each).description.id;
        if (!task.avoidedWorkers.contains(id) && !contains(task.runs, id, &task_run::worker)) {
            best = &each;
        }
    }
    return best;
}

void updateAfterStart(const placement_policy &policy, usable_workers &usable, const waiting_step &waiting,
                      step_candidates &options, candidate &target)
{
    ++target.tasksOfStep;
    usable.refresh(target.worker);
    target.capacity = capacityFor(*waiting.spec, usable.at(target.worker), target.tasksOfStep);
    if (policy.spreadWeight > 0) {
        updateCosts(policy, usable, waiting, options);
    } else {
        target.cost = costOf(policy, usable, waiting, target, options);
    }
}

} // namespace primrosecroft::detail
