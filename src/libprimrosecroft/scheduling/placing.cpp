#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

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

bool reserveOne(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    const auto racks = tasksByRack(state, demand);
    const auto avoided = failedWorkers(demand.tasks.at(index));
    const auto worker = chooseWorker(state.workers, {demand.wanted.spec.size, &racks, &avoided}, state.settings.policy);
    if (worker) {
        reserve(state, demand, {index, *worker});
    }
    return worker.has_value();
}

/// True when all tasks of the demand that wait got a worker.
bool placeEach(scheduler_state &state, demand_record &demand)
{
    for (const auto index : waitingTasks(demand)) {
        if (!reserveOne(state, demand, index)) {
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
    const auto firstFailed =
        std::ranges::find_if_not(waiting, [&](std::int32_t index) { return reserveOne(state, demand, index); });
    if (firstFailed != waiting.end()) {
        std::ranges::for_each(waiting.begin(), firstFailed, [&](std::int32_t index) {
            auto &task = demand.tasks.at(index);
            vacate(state, task.worker, task.attempt);
            task = {task_phase::waiting, {}, 0, task.failedOn};
        });
        return false;
    }
    std::ranges::for_each(waiting, [&](std::int32_t index) { startOrRecord(state, demand, index); });
    return true;
}

} // namespace

waiting_rank rankOf(const demand_record &demand)
{
    return {demand.wanted.spec.priority == demand_priority::normal, demand.sequence, demand.wanted.key};
}

void orderStart(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    auto &task = demand.tasks.at(index);
    const auto &spec = demand.wanted.spec;
    task.phase = task_phase::starting;
    state.records.at(task.worker)
        .starts.push_back({{demand.wanted.key, index},
                           task.attempt,
                           spec.size,
                           spec.declaredRunTime,
                           spec.kind == demand_kind::service});
}

void placeWaiting(scheduler_state &state, instant now)
{
    if (!state.ownership.placing || !std::exchange(state.placementDue, false)) {
        return;
    }
    for (auto &[id, worker] : state.workers) {
        worker.schedulable = holds(state.ownership.workers.at(id), now) && !state.records.at(id).draining;
    }
    const auto ranks = state.waiting;
    for (const auto &rank : ranks) {
        auto &demand = state.demands.at(rank.key);
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
