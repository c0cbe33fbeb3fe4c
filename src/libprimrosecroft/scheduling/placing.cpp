#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// How often all workers are looked at for leases that lapse and renewals that are due.
constexpr auto walkInterval = 50ms;

struct assignment
{
    std::int32_t index = 0;
    worker_id worker;
    instant when;
};

/// What a pass over the waiting demands knows of the one in hand.
struct placing_pass
{
    instant now;
    bool usesHeld = false;
    std::map<std::string, std::int32_t> racks; ///< tasks of the demand by rack
};

std::map<std::string, std::int32_t> tasksByRack(const scheduler_state &state, const demand_record &demand)
{
    std::map<std::string, std::int32_t> result;
    for (const auto &task : demand.tasks) {
        const auto record = state.records.find(task.worker);
        if (record != state.records.end()) {
            ++result[record->second.rack];
        }
    }
    return result;
}

std::map<worker_id, std::int32_t> failedWorkers(const task_record &task)
{
    std::map<worker_id, std::int32_t> result;
    std::ranges::for_each(task.failedOn, [&result](const worker_id &worker) { result.emplace(worker, 1); });
    return result;
}

attempt_id nextAttempt(scheduler_state &state)
{
    // Stays below 2^53, so that any JSON reader keeps it whole.
    constexpr std::uint64_t incarnationBits = 30;
    constexpr std::uint64_t counterBits = 23;
    const auto incarnation = state.settings.seed & ((std::uint64_t {1} << incarnationBits) - 1);
    return (incarnation << counterBits) + ++state.lastAttempt;
}

/// Takes capacity for the task; the start follows at once, or after it is recorded.
void reserve(scheduler_state &state, demand_record &demand, const assignment &chosen)
{
    auto &task = demand.tasks.at(chosen.index);
    task.worker = chosen.worker;
    task.attempt = nextAttempt(state);
    task.phase = task_phase::recording;
    occupy(state, chosen.worker, task.attempt,
           {{demand.wanted.key, chosen.index}, demand.wanted.spec.size, chosen.when});
}

void startOrRecord(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    if (demand.wanted.spec.repeatable) {
        orderStart(state, demand, index);
        return;
    }
    demand.wanted.started[index] = demand.tasks.at(index).attempt;
    state.touched.insert(demand.wanted.key);
}

std::vector<std::int32_t> waitingTasks(const demand_record &demand)
{
    std::vector<std::int32_t> result;
    std::ranges::copy_if(std::views::iota(0, static_cast<std::int32_t>(demand.tasks.size())),
                         std::back_inserter(result),
                         [&demand](std::int32_t index) { return demand.tasks.at(index).phase == task_phase::waiting; });
    return result;
}

bool isBlocked(const scheduler_state &state, const resources &size, bool usesHeld)
{
    const auto implies = [&size](const resources &each) { return fits(each, size); };
    return std::ranges::any_of(state.blocked, implies)
        || (!usesHeld && std::ranges::any_of(state.blockedByHeld, implies));
}

/// Notes a size that fits nowhere; larger ones noted before are implied by it.
void block(scheduler_state &state, const resources &size, bool usesHeld)
{
    auto &sizes = usesHeld ? state.blocked : state.blockedByHeld;
    std::erase_if(sizes, [&size](const resources &each) { return fits(size, each); });
    sizes.push_back(size);
}

/// Only what can be repeated, ends by itself and isn't pressing is risked on a doubtful worker.
bool mayProbe(const demand_spec &spec)
{
    return spec.repeatable && spec.kind == demand_kind::batch && spec.priority == demand_priority::normal;
}

bool reserveOne(scheduler_state &state, demand_record &demand, std::int32_t index, placing_pass &pass)
{
    const auto &size = demand.wanted.spec.size;
    if (isBlocked(state, size, pass.usesHeld)) {
        return false;
    }
    ++state.counts.choices;
    state.counts.candidates += state.workers.size();
    const auto avoided = failedWorkers(demand.tasks.at(index));
    const auto worker =
        chooseWorker(state.workers, {size, &pass.racks, &avoided, pass.usesHeld, mayProbe(demand.wanted.spec)},
                     state.settings.policy);
    if (worker) {
        reserve(state, demand, {index, *worker, pass.now});
        noteProbe(state, *worker, demand.tasks.at(index).attempt);
        ++pass.racks[state.records.at(*worker).rack];
    } else if (avoided.empty()) {
        block(state, size, pass.usesHeld);
    }
    return worker.has_value();
}

/// True when all tasks of the demand that wait got a worker.
bool placeEach(scheduler_state &state, demand_record &demand, placing_pass pass)
{
    for (const auto index : waitingTasks(demand)) {
        if (!reserveOne(state, demand, index, pass)) {
            return false;
        }
        startOrRecord(state, demand, index);
    }
    return true;
}

/// All members get a worker or none does.
bool placeGang(scheduler_state &state, demand_record &demand, placing_pass pass)
{
    const auto waiting = waitingTasks(demand);
    const auto ended =
        std::ranges::count_if(demand.tasks, [](const task_record &task) { return task.phase == task_phase::ended; });
    if (waiting.size() + static_cast<std::size_t>(ended) != demand.tasks.size()) {
        return false; // members still stop from an earlier try
    }
    const auto blocked = state.blocked;
    const auto blockedByHeld = state.blockedByHeld;
    const auto firstFailed =
        std::ranges::find_if_not(waiting, [&](std::int32_t index) { return reserveOne(state, demand, index, pass); });
    if (firstFailed != waiting.end()) {
        std::ranges::for_each(waiting.begin(), firstFailed, [&](std::int32_t index) {
            auto &task = demand.tasks.at(index);
            vacate(state, task.worker, task.attempt);
            task = {task_phase::waiting, {}, 0, task.failedOn, task.evictions};
        });
        if (firstFailed != waiting.begin()) {
            state.blocked = blocked; // its siblings took the room
            state.blockedByHeld = blockedByHeld;
        }
        state.placementDue = false;
        return false;
    }
    std::ranges::for_each(waiting, [&](std::int32_t index) { startOrRecord(state, demand, index); });
    return true;
}

} // namespace

waiting_rank rankOf(const demand_record &demand)
{
    const auto &spec = demand.wanted.spec;
    return {spec.priority == demand_priority::normal,
            demand.queuedAs,
            demand.sequence,
            demand.wanted.key,
            spec.size,
            spec.kind == demand_kind::gang};
}

void orderStart(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    auto &task = demand.tasks.at(index);
    const auto &spec = demand.wanted.spec;
    task.phase = task_phase::starting;
    state.ordered.insert(task.worker);
    state.records.at(task.worker)
        .starts.push_back({{demand.wanted.key, index},
                           task.attempt,
                           spec.size,
                           spec.declaredRunTime,
                           spec.kind == demand_kind::service});
}

void roomGained(scheduler_state &state, const worker_id &worker)
{
    const auto &room = state.workers.at(worker).free;
    const auto hasRoom = [&room](const resources &size) { return fits(size, room); };
    std::erase_if(state.blocked, hasRoom);
    std::erase_if(state.blockedByHeld, hasRoom);
    state.placementDue = true;
}

void refreshSchedulable(scheduler_state &state, instant now)
{
    state.nextWalk = now + walkInterval;
    state.placementDue = state.placementDue || !state.evictions.empty() || state.reservation;
    for (auto &[id, worker] : state.workers) {
        const auto &held = state.ownership.workers.at(id);
        const auto was = std::exchange(worker.schedulable, holds(held, now) && !state.records.at(id).draining);
        reviewHealth(state, id, now);
        if (worker.schedulable && !was) {
            roomGained(state, id);
        }
        if (holds(held, now)) {
            state.nextWalk = std::min(state.nextWalk, held.heldUntil);
        }
    }
}

void placeWaiting(scheduler_state &state, instant now)
{
    if (!state.ownership.placing || !std::exchange(state.placementDue, false)) {
        return;
    }
    reviewEvictions(state, now);
    reviewReservation(state);
    for (auto next = state.waiting.begin(); next != state.waiting.end();) {
        const auto rank = next++;
        ++state.counts.visited;
        if (!rank->gang && rank->normal && isBlocked(state, rank->size, true)) {
            continue;
        }
        auto &demand = state.demands.at(rank->key);
        if (!demand.verified || demand.wanted.cancelled) {
            continue;
        }
        const placing_pass pass {now, mayUseHeld(state, demand, now), tasksByRack(state, demand)};
        if (rank->gang ? placeGang(state, demand, pass) : placeEach(state, demand, pass)) {
            state.waiting.erase(rank);
        } else if (rank->gang) {
            reserveForGang(state, *rank, now);
        } else if (!rank->normal) {
            preemptFor(state, demand, now);
        }
    }
}

} // namespace primrosecroft::detail
