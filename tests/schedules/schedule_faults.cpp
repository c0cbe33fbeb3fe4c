#include "detail/schedule_parts.h"

#include "core/contains.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::schedules
{

namespace detail
{

namespace
{

void cutWorkers(cell_schedule &cell)
{
    const auto index = upTo(cell, static_cast<int>(cell.schedulers.size()));
    for (const auto &id : cell.workers | std::views::keys) {
        if (chance(cell, 0.5)) {
            cell.cuts.insert({index, id});
            note(cell, "cut scheduler " + std::to_string(index) + " from " + id);
            after(cell, between(cell, 2s, 60s), [&cell, index, id] { cell.cuts.erase({index, id}); });
        }
    }
}

void cutStore(cell_schedule &cell)
{
    const auto index = upTo(cell, static_cast<int>(cell.schedulers.size()));
    cell.storeCuts.insert(index);
    note(cell, "cut scheduler " + std::to_string(index) + " from the store");
    after(cell, between(cell, 2s, 60s), [&cell, index] { cell.storeCuts.erase(index); });
}

void spoilStore(cell_schedule &cell)
{
    const auto kind = upTo(cell, 3);
    auto *fault = kind == 0 ? &cell.storeOut : kind == 1 ? &cell.storeSlow : &cell.storeLosesAnswers;
    *fault = true;
    note(cell, "the store is " + std::string(cell.storeOut ? "out" : cell.storeSlow ? "slow" : "losing answers"));
    after(cell, between(cell, 2s, 60s), [fault] { *fault = false; });
}

void pauseScheduler(cell_schedule &cell)
{
    const auto index = upTo(cell, static_cast<int>(cell.schedulers.size()));
    note(cell, "scheduler " + std::to_string(index) + " pauses");
    cell.schedulers.at(index).pausedUntil = cell.now + between(cell, 1s, 60s);
}

void killOne(cell_schedule &cell)
{
    const auto index = upTo(cell, static_cast<int>(cell.schedulers.size()));
    killScheduler(cell, index);
    after(cell, between(cell, 500ms, 30s), [&cell, index] { restartScheduler(cell, index); });
}

void restartWorker(cell_schedule &cell)
{
    const auto id = anyWorker(cell);
    note(cell, id + " restarts");
    auto &node = cell.workers.at(id);
    standins::worker_model fresh;
    fresh.total = node.model.total;
    fresh.startLife = node.model.startLife;
    fresh.barsForgotten = node.model.barsForgotten;
    fresh.bootedAt = clockOf(cell, node);
    node.model = fresh;
}

void changeWorkers(cell_schedule &cell)
{
    const auto id = anyWorker(cell);
    const auto back = between(cell, 6s, 90s);
    for (auto index = 0; index < static_cast<int>(cell.schedulers.size()); ++index) {
        after(cell, between(cell, 0s, 4s), [&cell, index, id] {
            note(cell, "scheduler " + std::to_string(index) + " is told to do without " + id);
            configure(cell, index, id);
        });
        after(cell, back + between(cell, 0s, 4s), [&cell, index] { configure(cell, index, ""); });
    }
}

void cancelOne(cell_schedule &cell)
{
    const auto key = "d" + std::to_string(upTo(cell, cell.lastDemand) + 1);
    auto row = rowOf(cell, key);
    if (row.outcome != demand_outcome::none) {
        return;
    }
    row.cancelled = true;
    note(cell, "cancel " + key);
    standins::commit(cell.table, {{demandRowKey(key), table_write::anyVersion, toJson(row)}});
    notify(cell, key);
}

demand_spec anySpec(cell_schedule &cell)
{
    demand_spec spec;
    const auto kind = upTo(cell, 10);
    spec.kind = kind == 0 ? demand_kind::service : kind < 8 ? demand_kind::batch : demand_kind::gang;
    spec.tasks = spec.kind == demand_kind::gang ? 3 : 1 + upTo(cell, 2);
    spec.size = {1'000, 1'024, 0};
    spec.declaredRunTime = between(cell, 200ms, chance(cell, 0.5) ? 3s : 20s);
    spec.repeatable = spec.kind == demand_kind::service || !chance(cell, 0.5);
    return spec;
}

void noteAttempt(cell_schedule &cell, const worker_id &worker, const standins::running_attempt &each)
{
    const auto &task = each.order.task;
    auto &seen = cell.attempts[task];
    if (!seen.insert(each.order.attempt).second) {
        violate(cell, "promise 5: an attempt of " + toString(task) + " was started twice");
    }
    note(cell, toString(task) + " starts on " + worker);
    const auto row = rowOf(cell, task.demand);
    if (!row.spec.repeatable && seen.size() > 1) {
        violate(cell, "promise 5: " + toString(task) + " was started twice");
    }
    if (!row.spec.repeatable && !row.started.contains(task.index)) {
        violate(cell, "promise 5: " + toString(task) + " runs without being recorded");
    }
    if (row.ended.contains(task.index)) {
        violate(cell, "promise 5: " + toString(task) + " was started after its end was recorded");
    }
}

/// The scheduler that the worker obeys has all that runs there in its books.
void checkBooks(cell_schedule &cell, const worker_id &id, const standins::worker_model &model)
{
    for (const auto &node : cell.schedulers) {
        const auto held = node.state.ownership.workers.find(id);
        if (!node.alive || !node.state.ownership.placing || held == node.state.ownership.workers.end()
            || !holds(held->second, cell.now) || held->second.token != model.token) {
            continue;
        }
        const auto &record = node.state.records.at(id);
        auto inUse = model.total;
        for (const auto &each : record.occupied | std::views::values) {
            inUse -= each.size;
        }
        if (!(inUse == node.state.workers.at(id).free) || !fits({}, inUse)) {
            violate(cell, "promise 1: " + id + " has wrong free amounts in the books");
        }
        for (const auto &[attempt, each] : model.running) {
            if (!record.occupied.contains(attempt)) {
                violate(cell, "promise 1: " + toString(each.order.task) + " on " + id + " is missing in the books");
            }
        }
    }
}

} // namespace

void injectFaults(cell_schedule &cell)
{
    if (!cell.faulty) {
        return;
    }
    static const std::map<fault_kind, void (*)(cell_schedule &)> injectors {
        {fault_kind::pauses, pauseScheduler},    {fault_kind::kills, killOne},
        {fault_kind::workerCuts, cutWorkers},    {fault_kind::storeCuts, cutStore},
        {fault_kind::storeFaults, spoilStore},   {fault_kind::workerRestarts, restartWorker},
        {fault_kind::workerSets, changeWorkers},
    };
    for (const auto fault : cell.settings.faults) {
        const auto found = injectors.find(fault);
        if (found != injectors.end() && chance(cell, 0.5)) {
            found->second(cell);
        }
    }
    after(cell, between(cell, 4s, 25s), [&cell] { injectFaults(cell); });
}

void callNow(cell_schedule &cell)
{
    if (!cell.faulty) {
        return;
    }
    if (cell.lastDemand > 0 && chance(cell, 0.15)) {
        cancelOne(cell);
    } else {
        submit(cell, anySpec(cell));
    }
    after(cell, between(cell, 1s, 8s), [&cell] { callNow(cell); });
}

void check(cell_schedule &cell)
{
    std::map<task_id, worker_id> places;
    std::set<attempt_id> running;
    for (auto &[id, node] : cell.workers) {
        if (!node.alive) {
            continue;
        }
        standins::advance(node.model, clockOf(cell, node));
        if (!fits(standins::inUse(node.model), node.model.total)) {
            violate(cell, "promise 1: " + id + " runs more than it has");
        }
        for (const auto &each : node.model.running | std::views::values) {
            running.insert(each.order.attempt);
            if (!cell.running.contains(each.order.attempt)) {
                noteAttempt(cell, id, each);
            }
            const auto [other, isNew] = places.emplace(each.order.task, id);
            if (!isNew) {
                violate(cell, "promise 2: " + toString(each.order.task) + " runs on " + other->second + " and " + id);
            }
        }
        checkBooks(cell, id, node.model);
    }
    cell.running = std::move(running);
}

} // namespace detail

void submit(cell_schedule &cell, const demand_spec &spec)
{
    const auto key = "d" + std::to_string(++cell.lastDemand);
    demand_row row;
    row.key = key;
    row.home = detail::home;
    row.spec = spec;
    standins::commit(cell.table,
                     {{demandRowKey(key), table_write::noRow, toJson(row)},
                      {activeRowKey(row.home, key), table_write::anyVersion, ""}});
    detail::note(cell, "submit " + key + ' ' + toJson(spec));
    detail::notify(cell, key);
}

void killScheduler(cell_schedule &cell, int index)
{
    detail::note(cell, "scheduler " + std::to_string(index) + " dies");
    cell.schedulers.at(index).alive = false;
}

void restartScheduler(cell_schedule &cell, int index)
{
    auto &node = cell.schedulers.at(index);
    detail::note(cell, "scheduler " + std::to_string(index) + " starts");
    scheduler_settings settings;
    settings.process = "schedd" + std::to_string(index);
    settings.rank = static_cast<std::uint32_t>(index);
    settings.seed = cell.random();
    node = {makeScheduler(settings), true, node.incarnation + 1, cell.now};
    detail::configure(cell, index, "");
}

void healAll(cell_schedule &cell)
{
    cell.faulty = false;
    cell.cuts.clear();
    cell.storeCuts.clear();
    cell.storeOut = cell.storeSlow = cell.storeLosesAnswers = false;
    for (auto index = 0; index < static_cast<int>(cell.schedulers.size()); ++index) {
        if (!cell.schedulers.at(index).alive) {
            restartScheduler(cell, index);
        }
        detail::configure(cell, index, "");
    }
}

void settle(cell_schedule &cell)
{
    using namespace std::chrono_literals;
    constexpr auto quiet = 240s;
    detail::note(cell, "faults end");
    healAll(cell);
    runUntil(cell, cell.now + quiet);
    if (!cell.violations.empty()) {
        return;
    }
    const auto running = runningTasks(cell);
    for (const auto number : std::views::iota(1, cell.lastDemand + 1)) {
        const auto row = rowOf(cell, "d" + std::to_string(number));
        const auto runs = std::ranges::all_of(std::views::iota(0, row.spec.tasks),
                                              [&](std::int32_t index) { return running.contains({row.key, index}); });
        const auto goesOn = row.spec.kind == demand_kind::service && !row.cancelled && runs;
        if (row.outcome == demand_outcome::none && !goesOn) {
            detail::violate(cell, "liveness: " + row.key + " neither ends nor runs");
        }
    }
}

std::map<task_id, worker_id> runningTasks(const cell_schedule &cell)
{
    std::map<task_id, worker_id> result;
    for (const auto &[id, node] : cell.workers) {
        for (const auto &each : node.model.running | std::views::values) {
            if (node.alive) {
                result.emplace(each.order.task, id);
            }
        }
    }
    return result;
}

demand_row rowOf(const cell_schedule &cell, const demand_key &key)
{
    return rowFromJson(cell.table.rows.at(demandRowKey(key)).value);
}

std::string describe(const cell_schedule &cell)
{
    std::string text = "seed " + std::to_string(cell.settings.seed) + '\n';
    for (const auto &line : cell.trace) {
        text += line + '\n';
    }
    return text;
}

void begin(cell_schedule &cell, const schedule_settings &settings)
{
    using namespace std::chrono_literals;
    cell.settings = settings;
    cell.random.seed(settings.seed);
    for (const auto number : std::views::iota(1, settings.workers + 1)) {
        auto &node = cell.workers[(number < 10 ? "w0" : "w") + std::to_string(number)];
        node.model.total = {8'000, 16'384, 0};
        node.model.barsForgotten = !settings.broken.forgottenStart;
        node.clockRate = 1.0 + 0.01 * (detail::upTo(cell, 3) - 1);
        if (settings.broken.oldStampsStart) {
            node.model.startLife = 24h;
        }
    }
    cell.schedulers.resize(static_cast<std::size_t>(settings.schedulers));
    for (const auto index : std::views::iota(0, settings.schedulers)) {
        restartScheduler(cell, index);
        detail::tick(cell, index);
    }
    if (settings.callers) {
        detail::callNow(cell);
    }
    detail::injectFaults(cell);
}

void runUntil(cell_schedule &cell, instant until)
{
    while (!cell.events.empty() && cell.events.begin()->first <= until && cell.violations.empty()) {
        const auto next = cell.events.extract(cell.events.begin());
        cell.now = next.key();
        try {
            next.mapped()();
        } catch (const std::exception &fault) {
            detail::violate(cell, std::string("exception: ") + fault.what());
        }
        detail::check(cell);
    }
    cell.now = std::max(cell.now, until);
}

void runSchedule(cell_schedule &cell, const schedule_settings &settings)
{
    begin(cell, settings);
    runUntil(cell, cell.now + settings.faultsEnd);
    if (cell.violations.empty()) {
        settle(cell);
    }
}

} // namespace primrosecroft::schedules
