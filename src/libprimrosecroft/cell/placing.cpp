#include "cell/detail/cell_parts.h"
#include "core/contains.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ranges>
#include <utility>

/// Placement of pending tasks on workers, and requests to the advice service.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxConfirmationAge = 2'500ms; ///< no task starts if the last confirmation of ownership is older
constexpr auto ticketMargin = 120ms; ///< time for a start to reach the worker before its ticket expires
constexpr auto ticketRenewalLead = 500ms; ///< tickets of pending tasks are renewed this long before they expire
constexpr std::size_t maxWorkersPerAdviceCall = 100;

/// Only this many steps of a pass, the first ones that need advice, may ask about workers without free capacity.
constexpr std::size_t maxStepsAskingWithoutCapacity = 10;

constexpr double adviceCapacityFactor = 1.3; ///< capacity that is asked for, relative to the capacity needed
constexpr auto adviceRetryDelay = 200ms; ///< pause after a call without an answer
constexpr double allowedShareWeight = 0.1; ///< weight of the newest answer in the smoothed share of allowed workers

/// Advice calls count as costly if each takes at least this long, without the time for each worker that it names.
/// Costly calls are also made before capacity is free.
constexpr auto costlyAdviceTime = 100ms;

constexpr std::int32_t routesKeptForCheapCalls = 2; ///< advice routes that costly calls leave free
constexpr std::int32_t cheapCallsPerRoute = 2; ///< limit of pending cheap calls for each advice route

/// Early calls are made this long, plus their duration, before the estimated end of the step's predecessors.
constexpr auto earlyAdviceLead = 150ms;

constexpr auto maxOrderingEstimate = 120s; ///< a longer estimate moves a step no further back in the queue

/// A step later than this many times the objective goes behind all others, whatever its priority. Services never do.
constexpr double farOverdueFactor = 3;

/// A step with pending tasks. Steps are sorted in the order in which they are served.
struct waiting_step
{
    step_ref ref;
    job_state *job = nullptr;
    occurrence_state *occurrence = nullptr;
    step_state *step = nullptr;
    const step_spec *spec = nullptr;
    bool isFarOverdue = false; ///< so late that its job gains nothing by being served early
    std::int32_t priority = 0; ///< 0 is served first
    /// The job can't meet its objective any more. Served after those that can, so that a backlog of late jobs doesn't
    /// make each job late that arrives after it.
    bool isLate = false;
    /// End of the job's objective, put off for long steps by the policy; the earlier is served first. The objective
    /// begins when the job arrived or, for a job with a schedule, when the step became ready.
    instant due;

    friend bool operator<(const waiting_step &left, const waiting_step &right)
    {
        return std::tie(left.isFarOverdue, left.priority, left.isLate, left.due, left.ref)
            < std::tie(right.isFarOverdue, right.priority, right.isLate, right.due, right.ref);
    }
};

/// A worker that may take tasks of a step.
struct candidate
{
    worker_state *worker = nullptr;
    std::int32_t tasksOfStep = 0; ///< runs of the step there; counted only for a limit per worker or a spread weight
    std::int32_t capacity = 0; ///< number of tasks of the step that the worker could take now
    double cost = 0; ///< the candidate with the lowest cost is chosen
};

/// Returns whether tasks of the job may still run under the leases of an earlier owner. Jobs that were accepted under
/// this ownership are never in doubt.
bool isJobInDoubt(const cell_state &state, const job_state &job, instant now)
{
    return !state.unreconciledWorkers.empty() && now < state.inDoubtUntil && job.version < state.takeOver.token
        && job.version != 0;
}

std::vector<waiting_step> waitingSteps(cell_state &state, instant now)
{
    std::vector<waiting_step> result;
    for (auto &[id, job] : state.jobs) {
        if (job.isCancelled || job.hasFailed) {
            continue;
        }
        const bool inDoubt = isJobInDoubt(state, job, now);
        for (auto &[number, occurrence] : job.occurrences) {
            if (occurrence.isComplete) {
                continue;
            }
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                auto &each = occurrence.steps[index];
                const auto &spec = job.accepted.spec.steps[index];
                // While an earlier owner's run may still exist, only a step that allows copies may start another one.
                if (!each.isReady || each.pendingTasks.empty() || (inDoubt && !spec.allowsCopies)) {
                    continue;
                }
                waiting_step waiting;
                waiting.ref = {id, number, static_cast<std::int32_t>(index)};
                waiting.job = &job;
                waiting.occurrence = &occurrence;
                waiting.step = &each;
                waiting.spec = &spec;
                waiting.priority = job.accepted.queue.priority;
                const auto objective = std::chrono::duration_cast<duration>(job.objective);
                const auto begin = job.accepted.spec.occurrences > 0 ? each.readyAt : job.arrivedAt;
                const auto orderingDelay =
                    std::min<duration>(waiting.spec->estimate, maxOrderingEstimate) * state.rules.policy.shortFirst;
                waiting.due = begin + objective + std::chrono::duration_cast<duration>(orderingDelay);
                waiting.isLate = !waiting.spec->isService && now + each.criticalPath > begin + objective;
                waiting.isFarOverdue = !waiting.spec->isService
                    && now > begin + std::chrono::duration_cast<duration>(objective * farOverdueFactor);
                result.push_back(waiting);
            }
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::int32_t countOnWorker(const step_state &step, const worker_id &worker)
{
    std::int32_t count = 0;
    for (const auto &task : step.tasks) {
        count += static_cast<std::int32_t>(std::ranges::count(task.runs, worker, &task_run::worker));
    }
    return count;
}

/// Processor time that is left if the best-effort tasks get what their steps ask for, although none is reserved for
/// them. In thousandths of a core; negative if they ask for more than the other tasks leave.
std::int64_t unclaimedCores(const worker_state &worker)
{
    return freeCapacity(worker).milliCores - worker.bestEffortCores;
}

bool isEligible(const waiting_step &waiting, const worker_state &worker)
{
    const auto &labels = worker.description.labels;
    return worker.description.pool == waiting.job->accepted.queue.pool
        && (waiting.spec->failureDomain.empty() || waiting.spec->failureDomain == worker.description.failureDomain)
        && (waiting.spec->label.empty() || std::ranges::find(labels, waiting.spec->label) != labels.end());
}

bool hasTicket(const waiting_step &waiting, const worker_id &worker, instant now)
{
    if (!waiting.job->accepted.queue.advice) {
        return true;
    }
    const auto found = waiting.step->advice.workers.find(worker);
    return found != waiting.step->advice.workers.end() && found->second.isAllowed
        && found->second.validUntil > now + ticketMargin;
}

/// Number of tasks of the step that the worker could take now.
std::int32_t capacityFor(const step_spec &spec, const worker_state &worker, std::int32_t tasksOfStep)
{
    if (spec.isBestEffort && worker.latencySensitiveCount > 0) {
        return 0; // a best-effort task would slow down the latency-sensitive ones
    }
    const auto available = freeCapacity(worker);
    const auto cores = spec.isBestEffort ? unclaimedCores(worker) : available.milliCores;
    auto count = static_cast<std::int64_t>(maxTasksPerStep);
    const auto limit = [&count](std::int64_t offered, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(0, offered / needed));
        }
    };
    limit(cores, spec.size.milliCores);
    limit(available.memoryMib, spec.size.memoryMib);
    limit(available.accelerators, spec.size.accelerators);
    if (spec.maxPerWorker > 0) {
        count = std::min<std::int64_t>(count, std::max(0, spec.maxPerWorker - tasksOfStep));
    }
    return static_cast<std::int32_t>(count);
}

candidate makeCandidate(const cell_state &state, const waiting_step &waiting, worker_state &worker)
{
    candidate result {&worker, 0, 0, 0};
    if (waiting.spec->maxPerWorker > 0 || state.rules.policy.spreadWeight > 0) {
        result.tasksOfStep = countOnWorker(*waiting.step, worker.description.id);
    }
    result.capacity = capacityFor(*waiting.spec, worker, result.tasksOfStep);
    return result;
}

/// Workers that may take new tasks now, of whatever job.
std::vector<worker_state *> usableWorkers(cell_state &state, instant now)
{
    std::vector<worker_state *> result;
    for (auto &[id, worker] : state.workers) {
        if (mayStartOn(state, worker, now)) {
            result.push_back(&worker);
        }
    }
    return result;
}

std::vector<candidate> candidatesFor(const cell_state &state, const std::vector<worker_state *> &usable,
                                     const waiting_step &waiting, instant now)
{
    std::vector<candidate> result;
    for (auto *worker : usable) {
        if (isEligible(waiting, *worker) && hasTicket(waiting, worker->description.id, now)) {
            result.push_back(makeCandidate(state, waiting, *worker));
        }
    }
    return result;
}

double fraction(std::int64_t part, std::int64_t whole)
{
    return static_cast<double>(part) / static_cast<double>(std::max<std::int64_t>(1, whole));
}

/// Number of runs of the step on those candidates that are in the rack of @p target.
std::int32_t tasksInRack(const std::vector<candidate> &candidates, const candidate &target)
{
    const auto &rack = rackOf(target.worker->description);
    std::int32_t count = 0;
    for (const auto &each : candidates) {
        count += each.tasksOfStep > 0 && rackOf(each.worker->description) == rack ? each.tasksOfStep : 0;
    }
    return count;
}

/// Cost of a task of the step on the candidate. @p rack is the preferred rack, empty for none. The weights put this
/// rack and interference between tasks first, then the worker's speed, then the deployment's placement policy.
double costOf(const placement_policy &policy, const waiting_step &waiting, const candidate &target,
              const std::vector<candidate> &candidates, const std::string &rack)
{
    constexpr double rackWeight = 100;
    constexpr double interferenceWeight = 50;
    constexpr double slownessWeight = 10;
    const auto &spec = *waiting.spec;
    const auto &worker = *target.worker;
    const auto available = freeCapacity(worker);
    double result = 0;
    if (!rack.empty() && rackOf(worker.description) != rack) {
        result += rackWeight;
    }
    if (worker.bestEffortCount > 0 && spec.targetLatency.count() > 0) {
        result += interferenceWeight;
    }
    if (worker.health.slowness != 1) {
        result += slownessWeight * std::log2(std::max(worker.health.slowness, 0.1));
    }
    const auto &whole = worker.description.capacity;
    const auto freeShare =
        fraction(spec.isBestEffort ? unclaimedCores(worker) : available.milliCores, whole.milliCores);
    // Best-effort tasks are not packed: they go where the largest share of processor time is unclaimed.
    result += policy.packingWeight * (spec.isBestEffort ? -freeShare : freeShare);
    result += policy.balanceWeight
        * std::abs(fraction(available.milliCores - spec.size.milliCores, whole.milliCores)
                   - fraction(available.memoryMib - spec.size.memoryMib, whole.memoryMib));
    result += spec.size.accelerators == 0 && whole.accelerators > 0 ? policy.strandingWeight : 0;
    if (policy.spreadWeight > 0) {
        result += policy.spreadWeight * tasksInRack(candidates, target);
    }
    return result;
}

void updateCosts(const placement_policy &policy, const waiting_step &waiting, std::vector<candidate> &candidates,
                 const std::string &rack)
{
    for (auto &each : candidates) {
        each.cost = costOf(policy, waiting, each, candidates, rack);
    }
}

/// Rack that the step's tasks prefer: the one of its data or, if the step prefers a single rack, the one whose
/// candidates have the most runs of the step and the most free capacity for it, where a run weighs far more; the rack
/// of the data is then ignored. Returns an empty string for no preference.
std::string preferredRack(const waiting_step &waiting, const std::vector<candidate> &candidates)
{
    if (!waiting.spec->prefersSameRack) {
        return waiting.spec->dataRack;
    }
    std::map<std::string, std::int64_t> capacityByRack;
    for (const auto &each : candidates) {
        auto &capacity = capacityByRack[rackOf(each.worker->description)];
        capacity += each.capacity;
        // A run of the step counts at least as much as the free capacity of any one worker.
        capacity +=
            static_cast<std::int64_t>(maxTasksPerStep) * countOnWorker(*waiting.step, each.worker->description.id);
    }
    const auto best = std::ranges::max_element(capacityByRack, {}, [](const auto &each) { return each.second; });
    return best == capacityByRack.end() ? std::string() : best->first;
}

candidate *chooseCandidate(const task_state &task, std::vector<candidate> &candidates)
{
    candidate *best = nullptr;
    for (auto &each : candidates) {
        if (each.capacity >= 1 && (best == nullptr || each.cost < best->cost)
            && !task.avoidedWorkers.contains(each.worker->description.id)
            && !contains(task.runs, each.worker->description.id, &task_run::worker)) {
            best = &each;
        }
    }
    return best;
}

void startTask(cell_state &state, const waiting_step &waiting, std::int32_t index, std::uint32_t attempt,
               candidate &target, instant now, cell_actions &actions)
{
    auto &worker = *target.worker;
    auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
    const auto deadline = *leaseDeadline(state, worker);
    recordDeadline(worker, deadline);
    const run_id id {{waiting.ref.job, waiting.ref.occurrence, waiting.ref.step, index}, attempt};
    reserve(worker, id, *waiting.spec);
    ++target.tasksOfStep;
    task_run run;
    run.worker = worker.description.id;
    run.boot = worker.description.boot;
    run.attempt = attempt;
    run.sentAt = now;
    run.lastProgressAt = now;
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

/// Updates the costs after a task of the step has started on the candidate @p target.
void updateCostsAfterStart(const placement_policy &policy, const waiting_step &waiting,
                           std::vector<candidate> &candidates, candidate &target, const std::string &rack)
{
    target.capacity = capacityFor(*waiting.spec, *target.worker, target.tasksOfStep);
    if (policy.spreadWeight > 0) {
        updateCosts(policy, waiting, candidates, rack);
    } else {
        target.cost = costOf(policy, waiting, target, candidates, rack);
    }
}

bool mayStart(const waiting_step &waiting, const task_state &task, instant now)
{
    const bool isFree = task.runs.empty() || (task.needsCopy && task.runs.size() == 1);
    return !task.isDone && isFree && task.notBefore <= now
        && static_cast<std::int32_t>(task.failedAttempts.size()) < waiting.job->accepted.queue.maxFailures;
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
        failLostTask(state, {waiting.job, waiting.occurrence, waiting.step, waiting.spec, &task}, now, actions);
        return false;
    }
    if (!std::exchange(task.mayHaveBegun, true)) {
        markUnsaved(state, *waiting.job);
    }
    return task.isStartStored;
}

/// Lets the task run on any worker again if it avoids all candidates.
void clearAvoidedWorkersIfAll(const std::vector<candidate> &candidates, task_state &task)
{
    if (!task.avoidedWorkers.empty() && std::ranges::all_of(candidates, [&](const candidate &each) {
            return task.avoidedWorkers.contains(each.worker->description.id);
        })) {
        task.avoidedWorkers.clear();
    }
}

/// Starts all members of the gang at once, or none.
void placeGang(cell_state &state, const waiting_step &waiting, std::vector<candidate> &candidates, instant now,
               cell_actions &actions)
{
    auto &step = *waiting.step;
    if (step.pendingTasks.size() != step.tasks.size()
        || static_cast<std::int32_t>(step.failedGangs.size()) >= waiting.job->accepted.queue.maxFailures
        || !std::ranges::all_of(step.tasks, [now](const task_state &task) { return task.notBefore <= now; })) {
        return;
    }
    std::int64_t totalCapacity = 0;
    for (const auto &each : candidates) {
        totalCapacity += each.capacity;
    }
    if (totalCapacity < static_cast<std::int64_t>(step.tasks.size())) {
        return;
    }
    if (!ensureAttemptReserved(state, *waiting.job, step, step.gangAttempt + 1)) {
        return;
    }
    const auto mayAllStart =
        std::ranges::count_if(step.tasks,
                              [&](task_state &task) { return ensureStartStored(state, waiting, task, now, actions); })
        == std::ssize(step.tasks);
    if (!mayAllStart) {
        return;
    }
    const auto rack = preferredRack(waiting, candidates);
    updateCosts(state.rules.policy, waiting, candidates, rack);
    const auto attempt = ++step.gangAttempt;
    // No worker is avoided for a member, because the capacity counted above includes all candidates.
    static const task_state unrestrictedTask;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        auto *target = chooseCandidate(unrestrictedTask, candidates);
        startTask(state, waiting, static_cast<std::int32_t>(index), attempt, *target, now, actions);
        updateCostsAfterStart(state.rules.policy, waiting, candidates, *target, rack);
    }
    step.pendingTasks.clear();
}

void placeStep(cell_state &state, const waiting_step &waiting, std::vector<candidate> &candidates, instant now,
               cell_actions &actions)
{
    if (std::ranges::none_of(candidates, [](const candidate &each) { return each.capacity > 0; })) {
        return;
    }
    if (waiting.spec->isGang) {
        placeGang(state, waiting, candidates, now, actions);
        return;
    }
    const auto rack = preferredRack(waiting, candidates);
    updateCosts(state.rules.policy, waiting, candidates, rack);
    std::vector<std::int32_t> stillPending;
    bool isFull = false;
    for (const auto index : waiting.step->pendingTasks) {
        auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
        candidate *target = nullptr;
        if (!isFull && mayStart(waiting, task, now)
            && ensureAttemptReserved(state, *waiting.job, *waiting.step, task.lastAttempt + 1)
            && ensureStartStored(state, waiting, task, now, actions)) {
            clearAvoidedWorkersIfAll(candidates, task);
            target = chooseCandidate(task, candidates);
            isFull = target == nullptr && task.avoidedWorkers.empty();
        }
        if (target == nullptr) {
            stillPending.push_back(index);
            continue;
        }
        startTask(state, waiting, index, task.lastAttempt + 1, *target, now, actions);
        updateCostsAfterStart(state.rules.policy, waiting, candidates, *target, rack);
    }
    waiting.step->pendingTasks = std::move(stillPending);
}

/// Workers to ask the advice service about, best first: those with free capacity before those without, and within
/// both groups those known to be allowed before those not asked about yet.
struct advice_choice
{
    std::vector<worker_id> workers;
    bool isUrgent = false; ///< unused: a task could start at once if it had a ticket
};

advice_choice chooseWorkersToAsk(cell_state &state, const std::vector<worker_state *> &usable,
                                 const waiting_step &waiting, std::int32_t needed, bool mayAskWithoutCapacity,
                                 instant now)
{
    struct advice_option
    {
        int order = 0; ///< 0 and 1: free capacity, 2 and 3: none; even: known to be allowed
        std::int32_t capacity = 0;
        worker_id id;
    };
    std::vector<advice_option> options;
    const auto &known = waiting.step->advice.workers;
    double covered = 0; // number of tasks that workers with tickets, and those chosen here, can take
    for (auto *worker : usable) {
        if (!isEligible(waiting, *worker)) {
            continue;
        }
        const auto &id = worker->description.id;
        const auto capacity = makeCandidate(state, waiting, *worker).capacity;
        const auto found = known.find(id);
        const bool isKnown = found != known.end();
        if (isKnown && !found->second.isAllowed) {
            continue;
        }
        if (isKnown && found->second.validUntil > now + ticketRenewalLead) {
            covered += capacity;
            continue;
        }
        if (capacity > 0) {
            options.push_back({isKnown ? 0 : 1, capacity, id});
        } else if (mayAskWithoutCapacity) {
            options.push_back({isKnown ? 2 : 3, 1, id});
        }
    }
    std::ranges::sort(options, [](const advice_option &left, const advice_option &right) {
        return std::tie(left.order, right.capacity, left.id) < std::tie(right.order, left.capacity, right.id);
    });
    const auto share = std::max(0.05, state.advice[waiting.job->accepted.queue.name].allowedShare);
    advice_choice result;
    const double wanted = needed * adviceCapacityFactor;
    if (covered >= needed) {
        return result;
    }
    for (const auto &each : options) {
        if (covered >= wanted || result.workers.size() >= maxWorkersPerAdviceCall) {
            break;
        }
        covered += each.capacity * (each.order % 2 == 0 ? 1 : share);
        result.workers.push_back(each.id);
        result.isUrgent = result.isUrgent || each.order < 2;
    }
    return result;
}

void requestAdvice(cell_state &state, const std::vector<worker_state *> &usable, const waiting_step &waiting,
                   bool mayAskWithoutCapacity, instant now, cell_actions &actions)
{
    auto &advice = waiting.step->advice;
    const auto &policy = *waiting.job->accepted.queue.advice;
    if (advice.isRequestPending || now < advice.retryAt) {
        return;
    }
    const bool isCostly = policy.decide >= costlyAdviceTime;
    const auto needed = static_cast<std::int32_t>(waiting.step->isReady ? waiting.step->pendingTasks.size()
                                                                        : waiting.step->tasks.size());
    const auto choice = chooseWorkersToAsk(state, usable, waiting, needed, isCostly && mayAskWithoutCapacity, now);
    if (choice.workers.empty()) {
        return;
    }
    auto &pendingCalls = isCostly ? state.costlyAdviceCalls : state.cheapAdviceCalls;
    const auto maxPendingCalls =
        isCostly ? std::max(1, state.adviceRoutes - routesKeptForCheapCalls) : state.adviceRoutes * cheapCallsPerRoute;
    if (pendingCalls >= maxPendingCalls) {
        return; // an answer that waits in the service's queue for longer than its ticket is valid is useless
    }
    ++pendingCalls;
    advice.isRequestPending = true;
    const auto cost = policy.decide + policy.perWorker * static_cast<std::int64_t>(choice.workers.size());
    actions.emplace_back(ask_advice {waiting.ref, choice.workers, cost, isCostly});
}

/// Requests tickets for steps whose predecessors are about to end, so that their tasks can start without delay.
void requestEarlyAdvice(cell_state &state, const std::vector<worker_state *> &usable, instant now,
                        cell_actions &actions)
{
    for (auto &[id, job] : state.jobs) {
        if (!job.accepted.queue.advice || job.isCancelled || job.hasFailed) {
            continue;
        }
        const auto &policy = *job.accepted.queue.advice;
        // The duration of the call is estimated for a call that names 20 workers.
        const auto lead = policy.decide + policy.perWorker * 20 + earlyAdviceLead;
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t index = 0; !occurrence.isComplete && index < occurrence.steps.size(); ++index) {
                auto &each = occurrence.steps[index];
                const auto &spec = job.accepted.spec.steps[index];
                if (each.isReady || each.advice.isRequestPending || !each.advice.workers.empty()) {
                    continue;
                }
                const bool isReadySoon = std::ranges::all_of(spec.after, [&](std::int32_t predecessor) {
                    const auto &earlier = occurrence.steps[static_cast<std::size_t>(predecessor)];
                    const auto &earlierSpec = job.accepted.spec.steps[static_cast<std::size_t>(predecessor)];
                    return earlier.isReady && earlier.pendingTasks.empty()
                        && std::ranges::all_of(earlier.tasks, [&](const task_state &task) {
                               return task.isDone || std::ranges::any_of(task.runs, [&](const task_run &run) {
                                          return run.sentAt + earlierSpec.estimate < now + lead;
                                      });
                           });
                });
                if (!isReadySoon) {
                    continue;
                }
                waiting_step waiting;
                waiting.ref = {id, number, static_cast<std::int32_t>(index)};
                waiting.job = &job;
                waiting.occurrence = &occurrence;
                waiting.step = &each;
                waiting.spec = &spec;
                requestAdvice(state, usable, waiting, false, now, actions);
            }
        }
    }
}

} // namespace

void placeTasks(cell_state &state, instant now, cell_actions &actions)
{
    if (state.confirmedAt + maxConfirmationAge < now) {
        return;
    }
    const auto usable = usableWorkers(state, now);
    std::size_t stepsNeedingAdvice = 0;
    for (const auto &waiting : waitingSteps(state, now)) {
        auto candidates = candidatesFor(state, usable, waiting, now);
        placeStep(state, waiting, candidates, now, actions);
        if (waiting.job->accepted.queue.advice && !waiting.step->pendingTasks.empty()) {
            requestAdvice(state, usable, waiting, stepsNeedingAdvice < maxStepsAskingWithoutCapacity, now, actions);
            ++stepsNeedingAdvice;
        }
    }
    requestEarlyAdvice(state, usable, now, actions);
}

void handleAdviceAnswer(cell_state &state, const advice_answered &message, instant now)
{
    --(message.isCostly ? state.costlyAdviceCalls : state.cheapAdviceCalls);
    const auto view = findTask(state, {message.step.job, message.step.occurrence, message.step.step, 0});
    if (!view) {
        return;
    }
    auto &advice = view->step->advice;
    advice.isRequestPending = false;
    if (!message.isAnswered) {
        advice.retryAt = now + adviceRetryDelay;
        return;
    }
    for (const auto &id : message.asked) {
        advice.workers.try_emplace(id);
    }
    for (const auto &each : message.allowed) {
        advice.workers[each.worker] = {true, each.ticket, now + message.valid};
    }
    auto &share = state.advice[view->job->accepted.queue.name].allowedShare;
    if (!message.asked.empty()) {
        const auto newest = static_cast<double>(message.allowed.size()) / static_cast<double>(message.asked.size());
        share += (newest - share) * allowedShareWeight;
    }
}

} // namespace primrosecroft::detail
