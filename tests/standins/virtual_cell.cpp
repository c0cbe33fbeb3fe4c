#include "virtual_cell.h"

#include <algorithm>
#include <iomanip>
#include <ranges>
#include <sstream>

namespace primrosecroft::standins
{

namespace
{

using namespace std::chrono_literals;

void later(virtual_cell &cell, duration after, std::function<void()> run)
{
    cell.events.push({cell.now + after, ++cell.lastEvent, std::move(run)});
}

worker_id numbered(const std::string &prefix, std::size_t number)
{
    constexpr int digits = 4;
    std::ostringstream text;
    text << prefix << std::setw(digits) << std::setfill('0') << number;
    return text.str();
}

/// Sends to a worker's model and brings its answer back, or says that none came.
template<typename ask>
void callWorker(virtual_cell &cell, const worker_id &worker, std::uint64_t request, const ask &askModel)
{
    later(cell, cell.workerLatency, [&cell, worker, request, askModel] {
        if (cell.unreachable.contains(worker)) {
            later(cell, cell.scheduler.settings.ownership.requestTimeout,
                  [&cell, worker, request] { deliver(cell, worker_request_lost {worker, request}); });
            return;
        }
        const scheduler_message answer = askModel(cell.workers.at(worker));
        later(cell, cell.workerLatency, [&cell, answer] { deliver(cell, answer); });
    });
}

struct action_runner
{
    virtual_cell &cell;

    void operator()(const send_claim &action) const
    {
        callWorker(cell, action.worker, action.request, [target = &cell, action](worker_model &worker) {
            return claim_answered {action.worker, action.request, claim(worker, action.message, target->now)};
        });
    }

    void operator()(const send_exchange &action) const
    {
        ++cell.exchanges;
        cell.startsSent += action.message.starts.size();
        cell.stopsSent += action.message.stops.size();
        callWorker(cell, action.worker, action.request, [target = &cell, action](worker_model &worker) {
            return exchange_answered {action.worker, action.request, exchange(worker, action.message, target->now)};
        });
    }

    void operator()(const send_release &action) const
    {
        release(cell.workers.at(action.worker), action.token, cell.now);
    }

    void operator()(const write_row &action) const
    {
        later(cell, cell.storeLatency, [target = &cell, action] {
            auto &held = target->rows[action.row.key];
            if (held.version != action.version) {
                deliver(*target, row_write_refused {action.row.key, action.request});
                return;
            }
            held = {action.row, held.version + 1};
            target->ended += action.row.outcome == demand_outcome::none ? 0 : 1;
            deliver(*target, row_written {action.row.key, action.request, held.version});
        });
    }

    void operator()(const read_row &action) const
    {
        later(cell, cell.storeLatency, [target = &cell, key = action.key, takeover = cell.scheduler.takeover] {
            const auto found = target->rows.find(key);
            if (found == target->rows.end()) {
                deliver(*target, row_read {key, std::nullopt, 0, takeover});
            } else {
                deliver(*target, row_read {key, found->second.row, found->second.version, takeover});
            }
        });
    }

    void operator()(const scan_rows &action) const
    {
        later(cell, cell.storeLatency, [target = &cell, scan = action.scan, takeover = cell.scheduler.takeover] {
            const auto rows = target->rows;
            for (const auto &[key, held] : rows) {
                if (held.row.outcome == demand_outcome::none) {
                    deliver(*target, row_read {key, held.row, held.version, takeover});
                }
            }
            deliver(*target, scan_finished {scan, true});
        });
    }

    void operator()(const report_placed &action) const
    {
        cell.placed.emplace(action.task, placed_task {action.worker, cell.now, action.waited});
    }

    void operator()(const report_majority & /*action*/) const
    {
    }
};

} // namespace

void addWorkers(virtual_cell &cell, std::size_t count, const resources &total, std::size_t rackSize)
{
    const auto first = cell.workers.size();
    for (const auto number : std::views::iota(first, first + count)) {
        const auto id = numbered("w", number);
        cell.workers[id].total = total;
        cell.scheduler.records[id].rack = numbered("r", number / rackSize);
    }
}

void takeOver(virtual_cell &cell)
{
    workers_configured message;
    std::ranges::transform(cell.scheduler.records, std::back_inserter(message.workers),
                           [](const auto &entry) { return configured_worker {entry.first, entry.second.rack, false}; });
    deliver(cell, message);
    const auto deadline = cell.now + 1min;
    while (cell.now < deadline && !(cell.scheduler.scanned && holdsAll(cell.scheduler.ownership, cell.now))) {
        runUntil(cell, cell.now + cell.tick);
    }
}

void submit(virtual_cell &cell, const demand_key &key, const demand_spec &spec)
{
    demand_row row;
    row.key = key;
    row.home = "home";
    row.spec = spec;
    cell.rows[key] = {row, 1};
    deliver(cell, row_read {key, row, 1, cell.scheduler.takeover});
}

void cancel(virtual_cell &cell, const demand_key &key)
{
    auto &held = cell.rows.at(key);
    held.row.cancelled = true;
    ++held.version;
    deliver(cell, row_read {key, held.row, held.version, cell.scheduler.takeover});
}

void runUntil(virtual_cell &cell, instant end)
{
    while (true) {
        const auto next = cell.events.empty() ? instant::max() : cell.events.top().when;
        if (std::min(next, cell.nextTick) > end) {
            break;
        }
        if (cell.nextTick <= next) {
            cell.now = std::max(cell.now, cell.nextTick);
            cell.nextTick = cell.now + cell.tick;
            deliver(cell, timer_ticked {});
            continue;
        }
        const auto event = cell.events.top();
        cell.events.pop();
        cell.now = event.when;
        event.run();
    }
    cell.now = end;
}

void deliver(virtual_cell &cell, const scheduler_message &message)
{
    const auto actions = cell.run(cell.scheduler, message, cell.now);
    std::ranges::for_each(actions,
                          [&cell](const scheduler_action &action) { std::visit(action_runner {cell}, action); });
}

std::size_t runningTasks(const virtual_cell &cell, const demand_key &key)
{
    std::size_t result = 0;
    for (const auto &worker : cell.workers | std::views::values) {
        result += static_cast<std::size_t>(
            std::ranges::count_if(worker.running | std::views::values,
                                  [&key](const running_attempt &each) { return each.order.task.demand == key; }));
    }
    return result;
}

resources inUse(const virtual_cell &cell)
{
    resources result;
    std::ranges::for_each(cell.workers | std::views::values,
                          [&result](const worker_model &worker) { result += inUse(worker); });
    return result;
}

resources capacity(const virtual_cell &cell)
{
    resources result;
    std::ranges::for_each(cell.workers | std::views::values,
                          [&result](const worker_model &worker) { result += worker.total; });
    return result;
}

} // namespace primrosecroft::standins
