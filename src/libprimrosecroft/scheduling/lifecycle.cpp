#include "scheduling/detail/scheduling_parts.h"

#include "core/contains.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

bool isLive(const task_record &task)
{
    return task.phase == task_phase::starting || task.phase == task_phase::running
        || task.phase == task_phase::stopping;
}

bool isOver(const demand_record &demand)
{
    return demand.wanted.cancelled || demand.wanted.outcome != demand_outcome::none;
}

void recordEnd(demand_record &demand, std::int32_t index, task_end end)
{
    demand.wanted.ended[index] = end;
    demand.tasks.at(index) = {task_phase::ended, {}, 0, {}};
}

void taskFailed(scheduler_state &state, demand_record &demand, std::int32_t index, const worker_id &worker)
{
    auto &task = demand.tasks.at(index);
    task.failedOn.insert(worker);
    const auto spent = static_cast<std::int32_t>(task.failedOn.size()) >= state.settings.workersBeforeFailing
        || task.failedOn.size() >= state.workers.size();
    if (!demand.wanted.spec.repeatable || spent) {
        demand.wanted.reason =
            "task " + std::to_string(index) + " failed on " + std::to_string(task.failedOn.size()) + " workers";
        recordEnd(demand, index, task_end::failed);
        return;
    }
    makeWaiting(state, demand, task);
}

void forget(scheduler_state &state, const worker_id &worker, attempt_id attempt)
{
    state.records.at(worker).forgets.insert(attempt);
}

/// Applies an end that belongs to the task's own attempt, or to a task not placed since the take-over.
void applyEnd(scheduler_state &state, demand_record &demand, const worker_id &worker, const ended_attempt &ended)
{
    const auto index = ended.task.index;
    auto &task = demand.tasks.at(index);
    const auto isOurs = task.attempt == ended.attempt || task.phase == task_phase::doubtful;
    if (task.phase == task_phase::ended || !isOurs) {
        const auto isRecorded = !demand.wanted.ended.contains(index) || demand.committed.ended.contains(index);
        if (isRecorded) {
            forget(state, worker, ended.attempt);
        }
        return;
    }
    const auto endless = demand.wanted.spec.kind == demand_kind::service;
    if (ended.end == attempt_end::succeeded && !endless) {
        recordEnd(demand, index, task_end::done);
        demand.forgetWhenCommitted.emplace_back(worker, ended.attempt);
        return;
    }
    if (ended.end == attempt_end::failed || ended.end == attempt_end::succeeded) {
        if (endless) {
            makeWaiting(state, demand, task);
            forget(state, worker, ended.attempt);
            return;
        }
        taskFailed(state, demand, index, worker);
        if (task.phase == task_phase::ended) {
            demand.forgetWhenCommitted.emplace_back(worker, ended.attempt);
        } else {
            forget(state, worker, ended.attempt);
        }
        return;
    }
    if (task.phase == task_phase::doubtful && ended.end == attempt_end::lapsed) {
        // Another attempt may run where we haven't looked yet.
        forget(state, worker, ended.attempt);
        return;
    }
    taskLost(state, demand, index);
    forget(state, worker, ended.attempt);
}

void stopLiveTasks(scheduler_state &state, demand_record &demand)
{
    for (auto &task : demand.tasks) {
        if (task.phase == task_phase::starting || task.phase == task_phase::running) {
            orderStop(state, task.worker, task.attempt);
            task.phase = task_phase::stopping;
        }
    }
}

/// A gang with a member that can't run gives up all others and waits to start together again.
void reviewGang(scheduler_state &state, demand_record &demand)
{
    const auto waits =
        std::ranges::any_of(demand.tasks, [](const task_record &task) { return task.phase == task_phase::waiting; });
    if (waits && std::ranges::any_of(demand.tasks, isLive)) {
        stopLiveTasks(state, demand);
    }
}

void concludeIfOver(demand_record &demand)
{
    auto &row = demand.wanted;
    if (row.outcome != demand_outcome::none) {
        return;
    }
    const auto uncertain = std::ranges::any_of(demand.tasks, [](const task_record &task) {
        return isLive(task) || task.phase == task_phase::doubtful || task.phase == task_phase::recording;
    });
    const auto hasEnd = [&row](task_end end) { return contains(row.ended | std::views::values, end); };
    const auto allEnded = row.ended.size() == demand.tasks.size();
    if (hasEnd(task_end::unknown) && !uncertain) {
        row.outcome = demand_outcome::unknown;
    } else if (hasEnd(task_end::failed) && !uncertain) {
        row.outcome = demand_outcome::failed;
    } else if (allEnded) {
        row.outcome = demand_outcome::done;
    } else if (row.cancelled && !uncertain) {
        row.outcome = demand_outcome::cancelled;
    }
}

void forgetCommitted(scheduler_state &state, demand_record &demand)
{
    if (demand.wanted != demand.committed) {
        return;
    }
    for (const auto &[worker, attempt] : std::exchange(demand.forgetWhenCommitted, {})) {
        if (state.records.contains(worker)) {
            forget(state, worker, attempt);
        }
    }
}

void startRecorded(scheduler_state &state, demand_record &demand)
{
    for (const auto index : std::views::iota(0, static_cast<std::int32_t>(demand.tasks.size()))) {
        auto &task = demand.tasks.at(index);
        const auto recorded = demand.committed.started.find(index);
        if (task.phase != task_phase::recording || recorded == demand.committed.started.end()
            || demand.wanted.started != demand.committed.started) {
            continue;
        }
        if (recorded->second != task.attempt) {
            // Another scheduler recorded a start of its own.
            vacate(state, task.worker, task.attempt);
            demand.wanted.reason = "task " + std::to_string(index) + " may have been started before";
            recordEnd(demand, index, task_end::unknown);
            continue;
        }
        if (isOver(demand)) {
            vacate(state, task.worker, task.attempt);
            task = {task_phase::waiting, {}, 0, task.failedOn};
            continue;
        }
        orderStart(state, demand, index);
    }
}

/// True when the demand needs no more attention and was removed.
bool reviewDemand(scheduler_state &state, demand_record &demand, action_list &actions)
{
    startRecorded(state, demand);
    const auto failed = std::ranges::any_of(demand.wanted.ended | std::views::values,
                                            [](task_end end) { return end != task_end::done; });
    if (isOver(demand) || failed) {
        stopLiveTasks(state, demand);
        state.waiting.erase(rankOf(demand));
    } else if (demand.wanted.spec.kind == demand_kind::gang) {
        reviewGang(state, demand);
    }
    concludeIfOver(demand);
    forgetCommitted(state, demand);
    const auto isClosed = demand.committed.outcome != demand_outcome::none && demand.wanted == demand.committed;
    if (isClosed && !std::ranges::any_of(demand.tasks, isLive)) {
        state.waiting.erase(rankOf(demand));
        return true;
    }
    writeIfChanged(state, demand, actions);
    return false;
}

/// Until the workers' lists were looked through, any task may run somewhere.
void addTasks(demand_record &demand)
{
    const auto &row = demand.wanted;
    demand.tasks.resize(row.spec.tasks);
    for (const auto index : std::views::iota(0, row.spec.tasks)) {
        demand.tasks.at(index).phase = row.ended.contains(index) ? task_phase::ended : task_phase::doubtful;
    }
}

/// Tasks and ends that workers listed before the demand's row was read.
void adoptOrphans(scheduler_state &state, const demand_key &key)
{
    for (auto &[worker, record] : state.records) {
        const auto occupied = record.occupied;
        for (const auto &[attempt, each] : occupied) {
            if (each.task.demand == key) {
                adoptTask(state, worker, {each.task, attempt, each.size});
            }
        }
        const auto ends = record.unclaimedEnds;
        for (const auto &[attempt, each] : ends) {
            if (each.task.demand == key) {
                record.unclaimedEnds.erase(attempt);
                endAttempt(state, worker, each);
            }
        }
    }
}

/// What runs for a demand that has ended, or that nobody accepted, is stopped and forgotten.
void dropOrphans(scheduler_state &state, const demand_key &key)
{
    for (auto &[worker, record] : state.records) {
        for (const auto &[attempt, each] : record.occupied) {
            if (each.task.demand == key) {
                orderStop(state, worker, attempt);
            }
        }
        for (const auto &[attempt, each] : record.unclaimedEnds) {
            if (each.task.demand == key) {
                record.forgets.insert(attempt);
            }
        }
        std::erase_if(record.unclaimedEnds, [&key](const auto &entry) { return entry.second.task.demand == key; });
    }
}

void learnNewRow(scheduler_state &state, const row_read &message, instant now)
{
    auto &demand = state.demands[message.key];
    demand.wanted = *message.row;
    demand.committed = *message.row;
    demand.version = message.version;
    demand.verified = true;
    demand.learnedAt = now;
    demand.sequence = ++state.lastSequence;
    addTasks(demand);
    adoptOrphans(state, message.key);
    if (state.ownership.placing && !state.inDoubt) {
        loseDoubtfulTasks(state, demand);
    }
}

void refreshRow(scheduler_state &state, demand_record &demand, const row_read &message)
{
    demand.verified = true;
    demand.committed = *message.row;
    demand.version = message.version;
    demand.wanted = merge(*message.row, demand.wanted);
    for (const auto index : demand.committed.ended | std::views::keys) {
        auto &task = demand.tasks.at(index);
        if (isLive(task)) {
            orderStop(state, task.worker, task.attempt);
        }
        if (task.phase != task_phase::ended) {
            task = {task_phase::ended, {}, 0, {}};
        }
    }
    for (const auto index : demand.committed.started | std::views::keys) {
        if (demand.tasks.at(index).phase == task_phase::waiting) {
            taskLost(state, demand, index); // another scheduler recorded its start
        }
    }
    if (state.ownership.placing && !state.inDoubt) {
        loseDoubtfulTasks(state, demand);
    }
    if (std::ranges::any_of(demand.tasks, [](const task_record &task) { return task.phase == task_phase::waiting; })) {
        state.waiting.insert(rankOf(demand));
    }
    state.placementDue = true;
}

} // namespace

void occupy(scheduler_state &state, const worker_id &worker, attempt_id attempt, const occupation &what)
{
    if (state.records.at(worker).occupied.emplace(attempt, what).second) {
        state.workers.at(worker).free -= what.size;
    }
}

void vacate(scheduler_state &state, const worker_id &worker, attempt_id attempt)
{
    const auto record = state.records.find(worker);
    if (record == state.records.end()) {
        return;
    }
    const auto found = record->second.occupied.find(attempt);
    if (found == record->second.occupied.end()) {
        return;
    }
    state.workers.at(worker).free += found->second.size;
    record->second.occupied.erase(found);
    state.placementDue = true;
}

void makeWaiting(scheduler_state &state, demand_record &demand, task_record &task)
{
    task = {task_phase::waiting, {}, 0, task.failedOn};
    state.waiting.insert(rankOf(demand));
    state.placementDue = true;
}

void taskLost(scheduler_state &state, demand_record &demand, std::int32_t index)
{
    auto &task = demand.tasks.at(index);
    if (demand.wanted.started.contains(index) && task.phase != task_phase::recording) {
        demand.wanted.reason = "the end of task " + std::to_string(index) + " was lost";
        recordEnd(demand, index, task_end::unknown);
        return;
    }
    makeWaiting(state, demand, task);
}

void loseDoubtfulTasks(scheduler_state &state, demand_record &demand)
{
    for (const auto index : std::views::iota(0, static_cast<std::int32_t>(demand.tasks.size()))) {
        if (demand.tasks.at(index).phase == task_phase::doubtful) {
            taskLost(state, demand, index);
        }
    }
}

void learnRow(scheduler_state &state, const row_read &message, instant now)
{
    state.touched.insert(message.key);
    state.storeFailing = false;
    const auto known = state.demands.find(message.key);
    const auto isOpen = message.row && message.row->outcome == demand_outcome::none;
    if (message.takeover != state.takeover) {
        return; // it may have been read before another scheduler's changes
    }
    if (!isOpen) {
        rememberClosed(state, message.key, message.version, now);
        if (known != state.demands.end()) {
            state.waiting.erase(rankOf(known->second));
            state.demands.erase(known);
        }
        dropOrphans(state, message.key);
        return;
    }
    if (known == state.demands.end()) {
        const auto closed = state.closed.find(message.key);
        if (closed == state.closed.end() || closed->second.version < message.version) {
            learnNewRow(state, message, now);
        }
        return;
    }
    if (message.version >= known->second.version) {
        refreshRow(state, known->second, message);
    }
}

void adoptTask(scheduler_state &state, const worker_id &worker, const task_listing &listing)
{
    occupy(state, worker, listing.attempt, {listing.task, listing.size});
    const auto found = state.demands.find(listing.task.demand);
    if (found == state.demands.end()) {
        return; // adopted or stopped when its row is read
    }
    state.touched.insert(listing.task.demand);
    auto &demand = found->second;
    if (listing.task.index >= static_cast<std::int32_t>(demand.tasks.size())) {
        orderStop(state, worker, listing.attempt);
        return;
    }
    auto &task = demand.tasks.at(listing.task.index);
    if (task.attempt == listing.attempt && isLive(task)) {
        if (task.phase == task_phase::stopping) {
            orderStop(state, worker, listing.attempt);
        } else {
            task.phase = task_phase::running;
        }
        return;
    }
    if (task.phase == task_phase::doubtful || task.phase == task_phase::waiting) {
        task = {task_phase::running, worker, listing.attempt, task.failedOn};
        return;
    }
    orderStop(state, worker, listing.attempt);
}

void endAttempt(scheduler_state &state, const worker_id &worker, const ended_attempt &ended)
{
    vacate(state, worker, ended.attempt);
    auto &record = state.records.at(worker);
    std::erase_if(record.starts, [&ended](const start_order &order) { return order.attempt == ended.attempt; });
    const auto found = state.demands.find(ended.task.demand);
    if (found == state.demands.end()) {
        if (state.scanned) {
            record.forgets.insert(ended.attempt);
        } else {
            record.unclaimedEnds.emplace(ended.attempt, ended);
        }
        return;
    }
    state.touched.insert(ended.task.demand);
    if (ended.task.index < static_cast<std::int32_t>(found->second.tasks.size())) {
        applyEnd(state, found->second, worker, ended);
    }
}

void loseAttempt(scheduler_state &state, const worker_id &worker, attempt_id attempt)
{
    const auto &occupied = state.records.at(worker).occupied;
    const auto found = occupied.find(attempt);
    if (found == occupied.end()) {
        return;
    }
    const auto task = found->second.task;
    vacate(state, worker, attempt);
    const auto demand = state.demands.find(task.demand);
    if (demand == state.demands.end()) {
        return;
    }
    state.touched.insert(task.demand);
    const auto &record = demand->second.tasks.at(task.index);
    if (record.attempt == attempt && (isLive(record) || record.phase == task_phase::recording)) {
        taskLost(state, demand->second, task.index);
    }
}

void orderStop(scheduler_state &state, const worker_id &worker, attempt_id attempt)
{
    auto &record = state.records.at(worker);
    std::erase_if(record.starts, [attempt](const start_order &order) { return order.attempt == attempt; });
    record.stops.insert(attempt);
}

/// Keeps a read that was under way when the demand ended from starting it anew.
void rememberClosed(scheduler_state &state, const demand_key &key, std::int64_t version, instant now)
{
    constexpr auto latestRead = std::chrono::seconds(60);
    auto &closed = state.closed[key];
    closed = {std::max(closed.version, version), now + latestRead};
}

void reviewDemands(scheduler_state &state, instant now, action_list &actions)
{
    const auto touched = std::exchange(state.touched, {});
    for (const auto &key : touched) {
        const auto found = state.demands.find(key);
        if (found != state.demands.end() && reviewDemand(state, found->second, actions)) {
            rememberClosed(state, key, found->second.version, now);
            state.demands.erase(found);
        }
    }
}

void requestScan(scheduler_state &state, instant now, action_list &actions)
{
    if (!state.ownership.placing || state.scanning || now < state.nextScan) {
        return;
    }
    state.scanning = true;
    actions.emplace_back(scan_rows {++state.lastScan});
}

void finishScan(scheduler_state &state, const scan_finished &message, instant now, action_list &actions)
{
    if (message.scan != state.lastScan || !state.scanning) {
        return;
    }
    state.scanning = false;
    if (!message.complete) {
        state.nextScan = now + state.settings.storeRetryInterval;
        return;
    }
    state.nextScan = now + state.settings.scanInterval;
    std::erase_if(state.closed, [now](const auto &entry) { return entry.second.forgetAt <= now; });
    const auto isFirst = !std::exchange(state.scanned, true);
    std::set<demand_key> unknown;
    for (const auto &record : state.records | std::views::values) {
        std::ranges::transform(record.occupied | std::views::values, std::inserter(unknown, unknown.end()),
                               [](const occupation &each) { return each.task.demand; });
        std::ranges::transform(record.unclaimedEnds | std::views::values, std::inserter(unknown, unknown.end()),
                               [](const ended_attempt &each) { return each.task.demand; });
    }
    std::erase_if(unknown, [&state](const demand_key &key) { return state.demands.contains(key); });
    for (const auto &[key, demand] : state.demands) {
        if (isFirst && !demand.verified) {
            unknown.insert(key);
        }
    }
    std::ranges::transform(unknown, std::back_inserter(actions), [](const demand_key &key) { return read_row {key}; });
}

} // namespace primrosecroft::detail
