#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds longestProbePause = 10min;

/// A demand that failed on so many other workers is itself at fault.
constexpr std::size_t otherWorkersToBlameDemand = 2;

/// Healthy workers other than @p worker where a task of the demand failed.
std::size_t failedElsewhere(const scheduler_state &state, const demand_key &key, const worker_id &worker)
{
    const auto demand = state.demands.find(key);
    if (demand == state.demands.end()) {
        return 0;
    }
    std::set<worker_id> others;
    for (const auto &task : demand->second.tasks) {
        others.insert(task.failedOn.begin(), task.failedOn.end());
    }
    others.erase(worker);
    return others.size();
}

bool mayQuarantineOneMore(const scheduler_state &state)
{
    const auto count = static_cast<std::size_t>(std::ranges::count_if(
        state.records | std::views::values, [](const worker_record &record) { return record.health.quarantined; }));
    const auto most =
        static_cast<std::size_t>(state.settings.mostQuarantined * static_cast<double>(state.workers.size()));
    return count < std::max<std::size_t>(most, 1);
}

/// Failures at the worker no longer count against the tasks that met them.
void clearBlame(scheduler_state &state, const worker_id &worker)
{
    for (const auto &key : state.records.at(worker).health.failedDemands) {
        const auto demand = state.demands.find(key);
        if (demand == state.demands.end()) {
            continue;
        }
        for (auto &task : demand->second.tasks) {
            task.failedOn.erase(worker);
        }
    }
}

void quarantine(scheduler_state &state, const worker_id &worker)
{
    auto &health = state.records.at(worker).health;
    health.quarantined = true;
    health.pause = state.settings.probePause;
    health.probeAt = {}; // counted from the next review
    state.workers.at(worker).schedulable = false;
    clearBlame(state, worker);
    health.failedDemands.clear();
}

void noteFailure(scheduler_state &state, const worker_id &worker, const ended_attempt &ended)
{
    auto &health = state.records.at(worker).health;
    if (health.quarantined) {
        if (health.probe == ended.attempt) {
            health.pause = std::min(health.pause * 2, longestProbePause);
            health.probeAt = {};
        }
        return;
    }
    health.failedDemands.insert(ended.task.demand);
    const auto unrelated = std::ranges::count_if(health.failedDemands, [&](const demand_key &key) {
        return failedElsewhere(state, key, worker) < otherWorkersToBlameDemand;
    });
    if (static_cast<std::size_t>(unrelated) >= state.settings.demandsBeforeQuarantine && mayQuarantineOneMore(state)) {
        quarantine(state, worker);
    }
}

} // namespace

void noteEnd(scheduler_state &state, const worker_id &worker, const ended_attempt &ended)
{
    auto &record = state.records.at(worker);
    if (!record.occupied.contains(ended.attempt)) {
        return; // reported before
    }
    if (ended.end == attempt_end::failed) {
        noteFailure(state, worker, ended);
    } else if (ended.end == attempt_end::succeeded
               && (!record.health.quarantined || record.health.probe == ended.attempt)) {
        record.health = {};
        state.nextWalk = {};
    }
    if (record.health.probe == ended.attempt) {
        record.health.probe.reset();
    }
}

bool isQuarantined(const scheduler_state &state, const worker_id &worker)
{
    const auto record = state.records.find(worker);
    return record != state.records.end() && record->second.health.quarantined;
}

void reviewHealth(scheduler_state &state, const worker_id &worker, instant now)
{
    auto &record = state.records.at(worker);
    auto &placed = state.workers.at(worker);
    auto &health = record.health;
    placed.onProbation = health.quarantined;
    if (!health.quarantined) {
        return;
    }
    if (health.probeAt == instant {}) {
        health.probeAt = now + health.pause;
    }
    if (health.probe && !record.occupied.contains(*health.probe)) {
        health.probe.reset(); // it was lost, which says nothing
    }
    placed.schedulable = placed.schedulable && !health.probe && now >= health.probeAt;
}

void noteProbe(scheduler_state &state, const worker_id &worker, attempt_id attempt)
{
    auto &placed = state.workers.at(worker);
    if (placed.onProbation) {
        state.records.at(worker).health.probe = attempt;
        placed.schedulable = false;
    }
}

} // namespace primrosecroft::detail
