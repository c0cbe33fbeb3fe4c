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
    occupy(state, chosen.worker, task.attempt, {{demand.wanted.key, chosen.index}, demand.wanted.spec.size});
}

void startOrRecord(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    if (demand.wanted.spec.repeatable) {
        orderStart(state, demand, index);
        return;
    }
    demand.wanted.started.insert(index);
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

bool isBlocked(const scheduler_state &state, const resources &size)
{
    return std::ranges::any_of(state.blocked, [&size](const resources &each) { return fits(each, size); });
}

/// Notes a size that fits nowhere; larger ones noted before are implied by it.
void block(scheduler_state &state, const resources &size)
{
    std::erase_if(state.blocked, [&size](const resources &each) { return fits(size, each); });
    state.blocked.push_back(size);
}

using rack_counts = std::map<std::string, std::int32_t>;

bool reserveOne(scheduler_state &state, demand_record &demand, std::int32_t index, rack_counts &racks)
{
    const auto &size = demand.wanted.spec.size;
    if (isBlocked(state, size)) {
        return false;
    }
    const auto avoided = failedWorkers(demand.tasks.at(index));
    const auto worker = chooseWorker(state.workers, {size, &racks, &avoided}, state.settings.policy);
    if (worker) {
        reserve(state, demand, {index, *worker});
        ++racks[state.records.at(*worker).rack];
    } else if (avoided.empty()) {
        block(state, size);
    }
    return worker.has_value();
}

/// True when all tasks of the demand that wait got a worker.
bool placeEach(scheduler_state &state, demand_record &demand)
{
    auto racks = tasksByRack(state, demand);
    for (const auto index : waitingTasks(demand)) {
        if (!reserveOne(state, demand, index, racks)) {
            return false;
        }
        startOrRecord(state, demand, index);
    }
    return true;
}

/// All members get a worker or none does.
bool placeGang(scheduler_state &state, demand_record &demand)
{
    const auto waiting = waitingTasks(demand);
    const auto ended =
        std::ranges::count_if(demand.tasks, [](const task_record &task) { return task.phase == task_phase::ended; });
    if (waiting.size() + static_cast<std::size_t>(ended) != demand.tasks.size()) {
        return false; // members still stop from an earlier try
    }
    auto racks = tasksByRack(state, demand);
    const auto blocked = state.blocked;
    const auto firstFailed =
        std::ranges::find_if_not(waiting, [&](std::int32_t index) { return reserveOne(state, demand, index, racks); });
    if (firstFailed != waiting.end()) {
        std::ranges::for_each(waiting.begin(), firstFailed, [&](std::int32_t index) {
            auto &task = demand.tasks.at(index);
            vacate(state, task.worker, task.attempt);
            task = {task_phase::waiting, {}, 0, task.failedOn};
        });
        if (firstFailed != waiting.begin()) {
            state.blocked = blocked; // its siblings took the room
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
    return {spec.priority == demand_priority::normal, demand.queuedAs, demand.sequence, demand.wanted.key, spec.size};
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
    std::erase_if(state.blocked, [&room](const resources &size) { return fits(size, room); });
    state.placementDue = true;
}

void refreshSchedulable(scheduler_state &state, instant now)
{
    state.nextWalk = now + walkInterval;
    for (auto &[id, worker] : state.workers) {
        const auto &held = state.ownership.workers.at(id);
        const auto isSchedulable = holds(held, now) && !state.records.at(id).draining;
        if (isSchedulable && !std::exchange(worker.schedulable, isSchedulable)) {
            roomGained(state, id);
        }
        worker.schedulable = isSchedulable;
        if (holds(held, now)) {
            state.nextWalk = std::min(state.nextWalk, held.heldUntil);
        }
    }
}

void placeWaiting(scheduler_state &state)
{
    if (!state.ownership.placing || !std::exchange(state.placementDue, false)) {
        return;
    }
    for (auto next = state.waiting.begin(); next != state.waiting.end();) {
        const auto rank = next++;
        if (isBlocked(state, rank->size)) {
            continue;
        }
        auto &demand = state.demands.at(rank->key);
        if (!demand.verified || demand.wanted.cancelled) {
            continue;
        }
        const auto isGang = demand.wanted.spec.kind == demand_kind::gang;
        if (isGang ? placeGang(state, demand) : placeEach(state, demand)) {
            state.waiting.erase(rank);
        }
    }
}

} // namespace primrosecroft::detail
