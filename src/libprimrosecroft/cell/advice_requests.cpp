#include "cell/detail/advice_requests.h"

#include "cell/detail/workspace_limits.h"
#include "core/contains.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto ticketRenewalLead = 500ms; ///< tickets of pending tasks are renewed this long before they expire
constexpr std::size_t maxWorkersPerAdviceCall = 100;
/// Capacity that is asked for, relative to the capacity needed. Much for cheap calls, in which a further worker costs
/// little: while an answer is under way, other steps take some of the capacity.
constexpr double costlyCapacityFactor = 1.3;
constexpr double cheapCapacityFactor = 3;
/// A costly call names further workers with free capacity until it is this unlikely that all of them are refused: each
/// answer in vain costs the step a whole call.
constexpr double maxRefusalChance = 0.05;
constexpr std::int64_t costShareOfFurtherWorkers = 10; ///< they add at most one part in this many to a call's duration
constexpr auto adviceRetryDelay = 200ms; ///< pause after a call without an answer
constexpr double allowedShareWeight = 0.1; ///< weight of the newest answer in the smoothed share of allowed workers

/// Advice calls count as costly if each takes at least this long, without the time for each worker that it names.
/// Costly calls are also made before capacity is free.
constexpr auto costlyAdviceTime = 100ms;

/// Advice routes that costly calls leave free: a share of all, so that cheap calls don't wait behind them in the
/// service's queues, however large the cell is.
constexpr std::int32_t routesForEachCheapOne = 4;
constexpr std::int32_t minRoutesForCheapCalls = 2;
constexpr std::int32_t cheapCallsPerRoute = 2; ///< limit of pending cheap calls for each advice route

/// Early calls are made this long, plus their duration, before the estimated end of the step's predecessors.
constexpr auto earlyAdviceLead = 150ms;

bool isCostly(const advice_policy &policy)
{
    return policy.decide >= costlyAdviceTime;
}

std::int32_t &pendingCalls(cell_state &state, const advice_policy &policy)
{
    return isCostly(policy) ? state.costlyAdviceCalls : state.cheapAdviceCalls;
}

/// Returns whether another call may be pending. An answer that waits in the service's queue for longer than its ticket
/// is valid is useless.
bool mayCall(cell_state &state, const advice_policy &policy)
{
    const auto routesForCheapCalls = std::max(minRoutesForCheapCalls, state.adviceRoutes / routesForEachCheapOne);
    const auto maxPendingCalls = isCostly(policy) ? std::max(1, state.adviceRoutes - routesForCheapCalls)
                                                  : state.adviceRoutes * cheapCallsPerRoute;
    return pendingCalls(state, policy) < maxPendingCalls;
}

bool isWaitingForAnswer(const step_advice &advice, instant now)
{
    return advice.isRequestPending || now < advice.retryAt;
}

/// Returns whether a pending task of the step may go to the worker: it doesn't avoid it, nor runs there already.
/// Members of gangs go everywhere.
bool mayTakeAny(const waiting_step &waiting, const worker_id &worker)
{
    return waiting.spec->isGang || std::ranges::any_of(waiting.step->pendingTasks, [&](std::int32_t index) {
               const auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
               return !task.avoidedWorkers.contains(worker) && !contains(task.runs, worker, &task_run::worker);
           });
}

/// What is known of a worker for the tasks of a step.
enum class worker_knowledge : std::uint8_t
{
    unknown,
    refused,
    renewable, ///< allowed, but its ticket has expired or soon does
    valid,
};

/// A worker to ask about.
struct advice_option
{
    int order = 0; ///< 0 and 1: free capacity, 2 and 3: none; even: known to be allowed; more by lastResort: asked last
    std::int32_t capacity = 0;
    usable_workers::position worker = 0;
};

/// Added to the order of workers that didn't answer their last list request, or to which no pending task goes while it
/// has another choice.
constexpr int lastResort = 4;

/// Returns whether a task of the step has room on the worker while nothing else runs there.
bool fitsOnEmpty(const worker_description &worker, const step_spec &spec)
{
    return worker.capacity.milliCores >= spec.size.milliCores && worker.capacity.memoryMib >= spec.size.memoryMib
        && worker.capacity.accelerators >= spec.size.accelerators;
}

/// Orders heaps of options, of which the best is on top.
bool isWorse(const advice_option &left, const advice_option &right)
{
    return std::tie(right.order, left.capacity, right.worker) < std::tie(left.order, right.capacity, left.worker);
}

/// Capacity of the usable workers for a step.
class step_capacity
{
public:
    step_capacity(const usable_workers &usable, const waiting_step &waiting)
        : m_usable(usable)
        , m_spec(*waiting.spec)
        , m_runs(waiting.spec->maxPerWorker > 0 ? usable.countRuns(*waiting.step) : std::vector<std::int32_t>())
    {
    }

    std::int32_t of(usable_workers::position worker) const
    {
        return capacityFor(m_spec, m_usable.at(worker), m_runs.empty() ? 0 : m_runs[worker]);
    }

private:
    const usable_workers &m_usable;
    const step_spec &m_spec;
    std::vector<std::int32_t> m_runs;
};

/// What is known of each usable worker that may run the step, by position.
std::vector<worker_knowledge> knowledgeOf(const usable_workers &usable, const usable_workers::group &eligible,
                                          const step_advice &advice, instant now)
{
    std::vector<worker_knowledge> result(usable.size(), worker_knowledge::unknown);
    for (const auto &[id, advised] : advice.workers) {
        const auto worker = usable.find(id);
        if (!worker || !eligible.isMember[*worker]) {
            continue;
        }
        const bool isValid = advised.validUntil > now + ticketRenewalLead;
        result[*worker] = !advised.isAllowed ? worker_knowledge::refused
            : isValid                        ? worker_knowledge::valid
                                             : worker_knowledge::renewable;
    }
    return result;
}

/// Number of workers that a call may name for a better chance that one of them is allowed.
std::size_t maxWorkersForChance(const advice_policy &policy)
{
    if (!isCostly(policy)) {
        return 0; // cheap calls name many workers anyway
    }
    const auto affordable = policy.perWorker.count() > 0 ? policy.decide / costShareOfFurtherWorkers / policy.perWorker
                                                         : static_cast<std::int64_t>(maxWorkersPerAdviceCall);
    return static_cast<std::size_t>(std::clamp<std::int64_t>(affordable, 0, maxWorkersPerAdviceCall));
}

/// Workers to ask the advice service about, best first: those with free capacity before those without, and within
/// both groups those known to be allowed before those not asked about yet. Those too small for a task are left out.
/// Workers that didn't answer their last list request come last, and so do those that all pending tasks avoid or on
/// which they run. Returns no worker if those with tickets have capacity for @p needed tasks.
std::vector<worker_id> chooseWorkersToAsk(cell_state &state, usable_workers &usable, const waiting_step &waiting,
                                          std::int32_t needed, bool mayAskWithoutCapacity, instant now)
{
    auto &eligible = usable.groupOf(waiting);
    if (!mayAskWithoutCapacity && !usable.mayFit(eligible, *waiting.spec)) {
        return {};
    }
    const auto knowledge = knowledgeOf(usable, eligible, waiting.step->advice, now);
    const step_capacity capacity(usable, waiting);
    std::vector<advice_option> options;
    double covered = 0; // number of tasks that workers with tickets, and those chosen here, can take
    for (const auto worker : eligible.workers) {
        const auto known = knowledge[worker];
        if (known == worker_knowledge::refused) {
            continue;
        }
        const auto available = capacity.of(worker);
        const bool isChoice = mayTakeAny(waiting, usable.at(worker).worker->description.id);
        if (known == worker_knowledge::valid) {
            covered += isChoice ? available : 0;
            continue;
        }
        const bool isLast = !isChoice || usable.at(worker).worker->isUnresponsive;
        const int order = (known == worker_knowledge::renewable ? 0 : 1) + (isLast ? lastResort : 0);
        if (available > 0) {
            options.push_back({order, available, worker});
        } else if (mayAskWithoutCapacity && fitsOnEmpty(usable.at(worker).worker->description, *waiting.spec)) {
            options.push_back({order + 2, 1, worker});
        }
    }
    std::vector<worker_id> result;
    if (covered >= needed) {
        return result;
    }
    const auto share = std::max(0.05, state.advice[waiting.job->accepted.queue.name].allowedShare);
    const auto &policy = *waiting.job->accepted.queue.advice;
    const double wanted = needed * (isCostly(policy) ? costlyCapacityFactor : cheapCapacityFactor);
    const auto maxForChance = maxWorkersForChance(policy);
    double refusalChance = covered > 0 ? 0 : 1; // of all workers with free capacity
    std::ranges::make_heap(options, isWorse);
    while (!options.empty() && result.size() < maxWorkersPerAdviceCall) {
        const bool isForChance = covered >= wanted;
        if (isForChance
            && (options.front().order > 1 || refusalChance <= maxRefusalChance || result.size() >= maxForChance)) {
            break;
        }
        std::ranges::pop_heap(options, isWorse);
        const auto &best = options.back();
        const double chance = best.order % 2 == 0 ? 1 : share;
        covered += best.capacity * chance;
        refusalChance *= best.order > 1 ? 1 : 1 - chance;
        result.push_back(usable.at(best.worker).worker->description.id);
        options.pop_back();
    }
    return result;
}

/// Number of tasks for which the step needs workers: those that wait, as far as the limit of its workspace lets them
/// run.
std::int32_t neededTasks(const cell_state &state, const waiting_step &waiting)
{
    const auto &step = *waiting.step;
    const auto waitingTasks = step.isReady ? std::ssize(step.pendingTasks) : std::ssize(step.tasks);
    const auto allowed = step.isReady ? startableTasks(state, *waiting.job, *waiting.spec)
                                      : concurrentTasks(state, waiting.job->accepted, *waiting.spec);
    return static_cast<std::int32_t>(std::min<std::int64_t>(waitingTasks, allowed));
}

/// Returns whether each predecessor of the step is expected to end before @p soon.
bool isReadySoon(const job_state &job, const occurrence_state &occurrence, const step_spec &spec, instant soon)
{
    return std::ranges::all_of(spec.after, [&](std::int32_t predecessor) {
        const auto &earlier = occurrence.steps[static_cast<std::size_t>(predecessor)];
        const auto &earlierSpec = job.accepted.spec.steps[static_cast<std::size_t>(predecessor)];
        return earlier.isReady && earlier.pendingTasks.empty()
            && std::ranges::all_of(earlier.tasks, [&](const task_state &task) {
                   return task.isDone || std::ranges::any_of(task.runs, [&](const task_run &run) {
                              return run.sentAt + earlierSpec.estimate < soon;
                          });
               });
    });
}

} // namespace

void requestAdvice(cell_state &state, usable_workers &usable, const waiting_step &waiting, bool mayAskWithoutCapacity,
                   instant now, cell_actions &actions)
{
    auto &advice = waiting.step->advice;
    const auto &policy = *waiting.job->accepted.queue.advice;
    if (isWaitingForAnswer(advice, now) || !mayCall(state, policy)) {
        return;
    }
    const auto needed = neededTasks(state, waiting);
    if (needed == 0) {
        return; // the limit of its workspace lets none start
    }
    const auto workers =
        chooseWorkersToAsk(state, usable, waiting, needed, isCostly(policy) && mayAskWithoutCapacity, now);
    if (workers.empty()) {
        return;
    }
    ++pendingCalls(state, policy);
    advice.isRequestPending = true;
    const auto cost = policy.decide + policy.perWorker * static_cast<std::int64_t>(workers.size());
    actions.emplace_back(ask_advice {waiting.ref(), workers, cost, isCostly(policy)});
}

void requestEarlyAdvice(cell_state &state, usable_workers &usable, instant now, cell_actions &actions)
{
    for (auto &[id, job] : state.jobs) {
        if (!job.accepted.queue.advice || job.isCancelled || job.hasFailed) {
            continue;
        }
        const auto &policy = *job.accepted.queue.advice;
        const auto soon = now + policy.decide + policy.perWorker * workersPerAdviceCall + earlyAdviceLead;
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t index = 0; !occurrence.isComplete && index < occurrence.steps.size(); ++index) {
                const auto &each = occurrence.steps[index];
                const bool isCandidate = !each.isReady && each.advice.workers.empty() && mayCall(state, policy)
                    && !isWaitingForAnswer(each.advice, now);
                if (isCandidate && isReadySoon(job, occurrence, job.accepted.spec.steps[index], soon)) {
                    requestAdvice(state, usable, waitingStepOf(job, number, occurrence, index), false, now, actions);
                }
            }
        }
    }
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
        advice.workers[each.worker] = {true, each.ticket, std::min(now, message.issuedAt) + message.valid};
    }
    auto &share = state.advice[view->job->accepted.queue.name].allowedShare;
    if (!message.asked.empty()) {
        const auto newest = static_cast<double>(message.allowed.size()) / static_cast<double>(message.asked.size());
        share += (newest - share) * allowedShareWeight;
    }
}

} // namespace primrosecroft::detail
