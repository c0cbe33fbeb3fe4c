#include "cell/detail/advice_requests.h"

#include "cell/detail/advice_claims.h"
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
constexpr double leastRoom = 0.25; ///< a worker with less than this part of a task's room to expect isn't asked about
constexpr double leastAllowedShare = 0.05; ///< of workers, that is expected even if fewer were allowed lately
constexpr double gangAheadFactor = 3; ///< allowed workers to know ahead for each member: all need room at the same time
constexpr auto adviceRetryDelay = 200ms; ///< pause after a call without an answer
constexpr double allowedShareWeight = 0.1; ///< weight of the newest answer in the smoothed share of allowed workers

/// Advice calls count as costly if each takes at least this long, without the time for each worker that it names.
/// Costly calls are also made before capacity is free.
constexpr auto costlyAdviceTime = 100ms;

/// Advice routes that costly calls leave free: a share of all, so that cheap calls don't wait behind them in the
/// service's queues, however large the cell is.
constexpr std::int32_t routesForEachCheapOne = 4;
constexpr std::int32_t minRoutesForCheapCalls = 2;
constexpr std::int32_t aheadRouteShare = 4; ///< calls for steps that can't start use up to one in so many routes
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

/// Returns whether a call may be made ahead. The other routes are left to calls of steps that can start.
bool mayCallAhead(const cell_state &state, const advice_policy &policy)
{
    return isCostly(policy) && state.costlyAdviceCalls < std::max(1, state.adviceRoutes / aheadRouteShare);
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
    bool isLast = false; ///< it didn't answer its last list request, or no pending task goes there by choice
    bool isKnown = false; ///< it is known to be allowed
    double room = 0; ///< tasks that it may take, less what other steps are expected to use
    usable_workers::position worker = 0;
};

/// Returns whether a task of the step has room on the worker while nothing else runs there.
bool fitsOnEmpty(const worker_description &worker, const step_spec &spec)
{
    return worker.capacity.milliCores >= spec.size.milliCores && worker.capacity.memoryMib >= spec.size.memoryMib
        && worker.capacity.accelerators >= spec.size.accelerators;
}

/// Orders heaps of options, of which the best is on top.
bool isWorse(const advice_option &left, const advice_option &right)
{
    return std::tie(right.isLast, left.isKnown, left.room, right.worker)
        < std::tie(left.isLast, right.isKnown, right.room, left.worker);
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

/// The workers that a step may ask about.
struct advice_choice
{
    std::vector<advice_option> options;
    double covered = 0; ///< tasks of the step for which it needn't ask about any
};

/// Tells how many tasks workers are expected to take once they have been asked about: those not known yet are allowed
/// with a certain chance.
class expected_room
{
public:
    /// @p allowedShare is the chance.
    explicit expected_room(double allowedShare)
        : m_allowedShare(std::max(leastAllowedShare, allowedShare))
    {
    }

    double chanceOf(const advice_option &option) const
    {
        return option.isKnown ? 1 : m_allowedShare;
    }

    double of(const std::vector<advice_option> &options) const
    {
        double result = 0;
        for (const auto &each : options) {
            result += each.room * chanceOf(each);
        }
        return result;
    }

private:
    double m_allowedShare;
};

expected_room expectedRoomFor(const cell_state &state, const waiting_step &waiting)
{
    const auto found = state.advice.find(waiting.job->accepted.queue.name);
    return expected_room(found == state.advice.end() ? advice_stats {}.allowedShare : found->second.allowedShare);
}

/// Workers with room now, less what other steps are expected to use. Those with valid tickets cover tasks.
advice_choice workersWithRoom(const usable_workers &usable, const usable_workers::group &eligible,
                              const waiting_step &waiting, instant now)
{
    const auto knowledge = knowledgeOf(usable, eligible, waiting.step->advice, now);
    const step_capacity capacity(usable, waiting);
    const auto priority = waiting.job->accepted.queue.priority;
    advice_choice result;
    for (const auto position : eligible.workers) {
        const auto known = knowledge[position];
        const auto available = known == worker_knowledge::refused ? 0 : capacity.of(position);
        if (available == 0) {
            continue;
        }
        const auto &worker = *usable.at(position).worker;
        const bool isChoice = mayTakeAny(waiting, worker.description.id);
        if (known == worker_knowledge::valid) {
            result.covered += isChoice ? available : 0;
            continue;
        }
        const auto room = available * unclaimedShare(worker, priority);
        if (room >= leastRoom) {
            result.options.push_back(
                {!isChoice || worker.isUnresponsive, known == worker_knowledge::renewable, room, position});
        }
    }
    return result;
}

/// Unknown workers that are large enough, whatever runs there. Those known to be allowed cover tasks: their tickets are
/// only renewed once they have room.
advice_choice workersLargeEnough(const usable_workers &usable, const usable_workers::group &eligible,
                                 const waiting_step &waiting, instant now)
{
    const auto knowledge = knowledgeOf(usable, eligible, waiting.step->advice, now);
    advice_choice result;
    for (const auto position : eligible.workers) {
        const auto &worker = *usable.at(position).worker;
        const auto known = knowledge[position];
        if (known == worker_knowledge::refused || !fitsOnEmpty(worker.description, *waiting.spec)) {
            continue;
        }
        if (known != worker_knowledge::unknown) {
            ++result.covered;
        } else if (!worker.isUnresponsive) {
            result.options.push_back({false, false, 1, position});
        }
    }
    return result;
}

/// Takes the best options until @p wanted tasks are expected to be covered, and then up to @p maxForChance in all while
/// it isn't unlikely that all of them are refused.
std::vector<advice_option> bestOptions(advice_choice choice, const expected_room &expected, double wanted,
                                       std::size_t maxForChance)
{
    auto &[options, covered] = choice;
    double refusalChance = covered > 0 ? 0 : 1; // of all
    std::vector<advice_option> result;
    std::ranges::make_heap(options, isWorse);
    while (!options.empty() && result.size() < maxWorkersPerAdviceCall) {
        if (covered >= wanted && (refusalChance <= maxRefusalChance || result.size() >= maxForChance)) {
            break;
        }
        std::ranges::pop_heap(options, isWorse);
        const auto chance = expected.chanceOf(options.back());
        covered += options.back().room * chance;
        refusalChance *= 1 - chance;
        result.push_back(options.back());
        options.pop_back();
    }
    return result;
}

/// Workers to ask about so that @p needed tasks start now. None if tickets cover them, or if a gang can't start even if
/// all workers not known are allowed: what is usual of a queue may not hold for one of its steps, which would wait for
/// ever. Each call makes some known, so there are few of them in vain.
std::vector<advice_option> workersForStart(const cell_state &state, usable_workers &usable, const waiting_step &waiting,
                                           std::int32_t needed, instant now)
{
    auto &eligible = usable.groupOf(waiting);
    if (!usable.mayFit(eligible, *waiting.spec)) {
        return {};
    }
    auto choice = workersWithRoom(usable, eligible, waiting, now);
    const auto possible = choice.covered + expected_room(1).of(choice.options);
    if (choice.covered >= needed || (waiting.spec->isGang && possible < needed)) {
        return {};
    }
    const auto &policy = *waiting.job->accepted.queue.advice;
    const double factor = isCostly(policy) ? costlyCapacityFactor : cheapCapacityFactor;
    return bestOptions(std::move(choice), expectedRoomFor(state, waiting), needed * factor,
                       maxWorkersForChance(policy));
}

/// Workers to ask about ahead, so that it is known which are allowed when they get room.
std::vector<advice_option> workersAhead(const cell_state &state, usable_workers &usable, const waiting_step &waiting,
                                        std::int32_t needed, instant now)
{
    auto choice = workersLargeEnough(usable, usable.groupOf(waiting), waiting, now);
    const auto wanted = needed * (waiting.spec->isGang ? gangAheadFactor : costlyCapacityFactor);
    if (choice.covered >= wanted) {
        return {};
    }
    return bestOptions(std::move(choice), expectedRoomFor(state, waiting), wanted, 0);
}

/// Claims the room that the step is expected to use on the workers that it asks about.
void claimRoom(cell_state &state, const usable_workers &usable, const waiting_step &waiting, std::int32_t needed,
               const std::vector<advice_option> &asked)
{
    const auto expected = expectedRoomFor(state, waiting);
    const auto used = std::min(1.0, needed / std::max(1.0, expected.of(asked)));
    const auto priority = waiting.job->accepted.queue.priority;
    std::map<worker_id, double> shares;
    for (const auto &each : asked) {
        const auto &worker = *usable.at(each.worker).worker;
        shares[worker.description.id] = used * expected.chanceOf(each) * unclaimedShare(worker, priority);
    }
    claim(state, waiting.ref(), priority, std::move(shares));
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
bool isReadySoon(const occurrence_state &occurrence, const step_spec &spec, instant now, instant soon)
{
    return std::ranges::all_of(spec.after, [&](std::int32_t predecessor) {
        const auto &earlier = occurrence.steps[static_cast<std::size_t>(predecessor)];
        return earlier.isReady && earlier.pendingTasks.empty()
            && std::ranges::all_of(earlier.tasks, [&](const task_state &task) {
                   return task.isDone || std::ranges::any_of(task.runs, [&](const task_run &run) {
                              return now + remainingTime(earlier, run, now) < soon;
                          });
               });
    });
}

} // namespace

void requestAdvice(cell_state &state, usable_workers &usable, const waiting_step &waiting, advice_purpose purpose,
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
    if (purpose == advice_purpose::ahead && !mayCallAhead(state, policy)) {
        return;
    }
    const auto asked = purpose == advice_purpose::start ? workersForStart(state, usable, waiting, needed, now)
                                                        : workersAhead(state, usable, waiting, needed, now);
    if (asked.empty()) {
        return;
    }
    claimRoom(state, usable, waiting, needed, asked);
    ++pendingCalls(state, policy);
    advice.isRequestPending = true;
    std::vector<worker_id> workers;
    std::ranges::transform(asked, std::back_inserter(workers),
                           [&](const advice_option &each) { return usable.at(each.worker).worker->description.id; });
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
                if (isCandidate && isReadySoon(occurrence, job.accepted.spec.steps[index], now, soon)) {
                    requestAdvice(state, usable, waitingStepOf(job, number, occurrence, index), advice_purpose::start,
                                  now, actions);
                }
            }
        }
    }
}

void handleAdviceAnswer(cell_state &state, const advice_answered &message, instant now)
{
    releaseClaims(state, message.step);
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
