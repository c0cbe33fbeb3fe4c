#include "cell_schedule.h"

#include "detail/schedule_parts.h"

#include <algorithm>
#include <memory>
#include <ranges>

namespace primrosecroft::schedules
{

namespace detail
{

namespace
{

constexpr auto tickInterval = 250ms;
constexpr auto storeTimeout = 2'000ms;

} // namespace

bool chance(cell_schedule &cell, double probability)
{
    return std::bernoulli_distribution(probability)(cell.random);
}

milliseconds between(cell_schedule &cell, milliseconds low, milliseconds high)
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(cell.random));
}

int upTo(cell_schedule &cell, int count)
{
    return std::uniform_int_distribution<int>(0, count - 1)(cell.random);
}

void after(cell_schedule &cell, milliseconds delay, std::function<void()> event)
{
    cell.events.emplace(cell.now + delay, std::move(event));
}

void note(cell_schedule &cell, const std::string &text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(cell.now.time_since_epoch());
    cell.trace.push_back(std::to_string(at.count()) + " ms " + text);
}

void violate(cell_schedule &cell, const std::string &text)
{
    note(cell, "VIOLATION " + text);
    cell.violations.push_back(text);
}

bool has(const cell_schedule &cell, fault_kind fault)
{
    return cell.faulty && cell.settings.faults.contains(fault);
}

namespace
{

bool isLost(cell_schedule &cell)
{
    return has(cell, fault_kind::messages) && chance(cell, 0.05);
}

milliseconds networkDelay(cell_schedule &cell)
{
    if (has(cell, fault_kind::messages) && chance(cell, 0.1)) {
        return between(cell, 0ms, chance(cell, 0.3) ? 40'000ms : 4'000ms);
    }
    return between(cell, 1ms, 5ms);
}

} // namespace

instant clockOf(const cell_schedule &cell, const worker_node &worker)
{
    return instant(std::chrono::duration_cast<duration>(cell.now.time_since_epoch() * worker.clockRate));
}

namespace
{

void act(cell_schedule &cell, int index, const std::vector<scheduler_action> &actions);

} // namespace

void deliver(cell_schedule &cell, int index, int incarnation, const scheduler_message &message)
{
    auto &node = cell.schedulers.at(index);
    if (!node.alive || node.incarnation != incarnation) {
        return;
    }
    if (cell.now < node.pausedUntil) {
        cell.events.emplace(node.pausedUntil,
                            [&cell, index, incarnation, message] { deliver(cell, index, incarnation, message); });
        return;
    }
    const auto actions = step(node.state, message, cell.now);
    if (cell.settings.broken.noTakeoverWait) {
        node.state.ownership.doubtUntil = cell.now;
    }
    if (!actions.empty() && has(cell, fault_kind::pauses) && chance(cell, 0.005)) {
        node.pausedUntil = cell.now + between(cell, 1s, 50s);
        note(cell, "scheduler " + std::to_string(index) + " pauses before its sends");
        cell.events.emplace(node.pausedUntil, [&cell, index, incarnation, actions] {
            if (cell.schedulers.at(index).incarnation == incarnation && cell.schedulers.at(index).alive) {
                act(cell, index, actions);
            }
        });
        return;
    }
    act(cell, index, actions);
}

namespace
{

bool isCut(const cell_schedule &cell, int index, const worker_id &worker)
{
    return !cell.workers.at(worker).alive || cell.cuts.contains({index, worker});
}

/// One request to a worker and its answer, each lost, late or doubled on its own.
template<typename handler>
void callWorker(cell_schedule &cell, int index, const worker_id &worker, std::uint64_t request, handler handle)
{
    const auto incarnation = cell.schedulers.at(index).incarnation;
    after(cell, cell.schedulers.at(index).state.settings.ownership.requestTimeout,
          [&cell, index, incarnation, worker, request] {
              deliver(cell, index, incarnation, worker_request_lost {worker, request});
          });
    const auto copies = has(cell, fault_kind::messages) && chance(cell, 0.05) ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        ++cell.messages;
        if (isLost(cell)) {
            continue;
        }
        after(cell, networkDelay(cell), [&cell, index, incarnation, worker, handle] {
            if (isCut(cell, index, worker)) {
                return;
            }
            auto &node = cell.workers.at(worker);
            const scheduler_message answer = handle(node.model, clockOf(cell, node));
            ++cell.messages;
            if (!isLost(cell) && !isCut(cell, index, worker)) {
                after(cell, networkDelay(cell),
                      [&cell, index, incarnation, answer] { deliver(cell, index, incarnation, answer); });
            }
        });
    }
}

/// One operation on the table; exactly one of its answer and @p lost comes back.
void callStore(cell_schedule &cell, int index, const std::function<scheduler_message()> &operate,
               const scheduler_message &lost)
{
    ++cell.storeOperations;
    ++cell.storeOperationsBySecond[std::chrono::duration_cast<std::chrono::seconds>(cell.now.time_since_epoch())
                                       .count()];
    const auto incarnation = cell.schedulers.at(index).incarnation;
    const auto answer = std::make_shared<scheduler_message>(lost);
    const auto isDown = cell.storeOut || cell.storeCuts.contains(index);
    const auto delay = cell.storeSlow ? between(cell, 100ms, 3'000ms) : between(cell, 2ms, 8ms);
    const auto losesAnswer = cell.storeLosesAnswers && chance(cell, 0.3);
    if (!isDown) {
        after(cell, delay, [operate, answer, losesAnswer, delay] {
            const auto result = operate(); // takes effect, also when nobody waits any more
            if (!losesAnswer && delay < storeTimeout) {
                *answer = result;
            }
        });
    }
    const auto answered = !isDown && !losesAnswer && delay < storeTimeout;
    after(cell, answered ? delay + 2ms : storeTimeout,
          [&cell, index, incarnation, answer] { deliver(cell, index, incarnation, *answer); });
}

} // namespace

row_read readNow(const cell_schedule &cell, const demand_key &key, std::uint64_t takeover)
{
    const auto found = cell.table.rows.find(demandRowKey(key));
    if (found == cell.table.rows.end()) {
        return {key, std::nullopt, 0, takeover};
    }
    return {key, rowFromJson(found->second.value), found->second.version, takeover};
}

namespace
{

void readRow(cell_schedule &cell, int index, const demand_key &key)
{
    const auto takeover = cell.schedulers.at(index).state.takeover;
    callStore(
        cell, index, [&cell, key, takeover]() -> scheduler_message { return readNow(cell, key, takeover); },
        row_read_lost {key});
}

scheduler_message commitRow(cell_schedule &cell, const write_row &action)
{
    const auto &row = action.row;
    table_transaction transaction {{demandRowKey(row.key), action.version, toJson(row)}};
    if (row.outcome != demand_outcome::none) {
        transaction.push_back({activeRowKey(row.home, row.key), table_write::anyVersion, std::nullopt});
    }
    if (const auto versions = standins::commit(cell.table, transaction)) {
        return row_written {row.key, action.request, versions->front()};
    }
    return row_write_refused {row.key, action.request};
}

/// The whole scan in one operation; its rows arrive before its end.
void scanRows(cell_schedule &cell, int index, std::uint64_t scan)
{
    const auto incarnation = cell.schedulers.at(index).incarnation;
    const auto takeover = cell.schedulers.at(index).state.takeover;
    callStore(
        cell, index,
        [&cell, index, incarnation, scan, takeover]() -> scheduler_message {
            const auto prefix = activeRowPrefix(home);
            for (const auto &row : standins::list(cell.table, prefix, "", 100'000)) {
                const auto read = readNow(cell, row.key.substr(prefix.size()), takeover);
                after(cell, 1ms, [&cell, index, incarnation, read] { deliver(cell, index, incarnation, read); });
            }
            return scan_finished {scan, true};
        },
        scan_finished {scan, false});
}

struct action_carrier
{
    cell_schedule &cell;
    int index;

    void operator()(const send_claim &action) const
    {
        callWorker(cell, index, action.worker, action.request, [action](auto &model, instant clock) {
            return claim_answered {action.worker, action.request, standins::claim(model, action.message, clock)};
        });
    }

    void operator()(const send_exchange &action) const
    {
        callWorker(cell, index, action.worker, action.request, [action](auto &model, instant clock) {
            return exchange_answered {action.worker, action.request, standins::exchange(model, action.message, clock)};
        });
    }

    void operator()(const send_release &action) const
    {
        callWorker(cell, index, action.worker, 0, [action](auto &model, instant clock) {
            standins::release(model, action.token, clock);
            return worker_request_lost {action.worker, 0};
        });
    }

    void operator()(const write_row &action) const
    {
        callStore(
            cell, index, [&schedule = cell, action] { return commitRow(schedule, action); },
            row_write_lost {action.row.key, action.request});
    }

    void operator()(const read_row &action) const
    {
        readRow(cell, index, action.key);
    }

    void operator()(const scan_rows &action) const
    {
        scanRows(cell, index, action.scan);
    }

    void operator()(const report_placed & /*action*/) const
    {
    }

    void operator()(const report_majority &action) const
    {
        note(cell, "scheduler " + std::to_string(index) + (action.held ? " gains" : " loses") + " the majority");
    }
};

void act(cell_schedule &cell, int index, const std::vector<scheduler_action> &actions)
{
    for (const auto &action : actions) {
        std::visit(action_carrier {cell, index}, action);
    }
}

} // namespace

void notify(cell_schedule &cell, const demand_key &key)
{
    for (auto index = 0; index < static_cast<int>(cell.schedulers.size()); ++index) {
        const auto &node = cell.schedulers.at(index);
        if (node.alive && node.state.ownership.placing && !isLost(cell)) {
            readRow(cell, index, key);
        }
    }
}

void tick(cell_schedule &cell, int index)
{
    const auto &node = cell.schedulers.at(index);
    deliver(cell, index, node.incarnation, timer_ticked {});
    const auto other = 1 - index;
    if (node.alive && node.state.ownership.placing && cell.now >= node.pausedUntil && !isLost(cell)
        && other < static_cast<int>(cell.schedulers.size())) {
        deliver(cell, other, cell.schedulers.at(other).incarnation, peer_placing {});
    }
    after(cell, tickInterval, [&cell, index] { tick(cell, index); });
}

workers_configured allWorkers(const cell_schedule &cell, const worker_id &without)
{
    workers_configured result;
    auto number = 0;
    for (const auto &id : cell.workers | std::views::keys) {
        if (id != without) {
            result.workers.push_back({id, "rack" + std::to_string(number / 8), false});
        }
        ++number;
    }
    return result;
}

void configure(cell_schedule &cell, int index, const worker_id &without)
{
    deliver(cell, index, cell.schedulers.at(index).incarnation, allWorkers(cell, without));
}

worker_id anyWorker(cell_schedule &cell)
{
    return std::next(cell.workers.begin(), upTo(cell, static_cast<int>(cell.workers.size())))->first;
}

} // namespace detail

} // namespace primrosecroft::schedules
