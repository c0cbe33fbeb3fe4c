#include "figure.h"
#include "scheduling/scheduler.h"
#include "workers/worker_messages.h"

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <malloc.h>
#include <numeric>
#include <ranges>

/**
 * Slopes for docs/CAPACITY.md: what one scheduler's state and its steps cost as
 * workers and running tasks grow. Sizes are those of one failure domain, today
 * and in two years (an eighth of 1,100 workers and of 11,000 tasks).
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;

constexpr instant start = instant {} + 1h;
constexpr int measuredRounds = 20;

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

worker_id workerName(std::size_t number)
{
    return "grangemouth-w" + std::to_string(number);
}

/// Bytes of messages to and from workers, by the JSON that carries them.
struct traffic
{
    std::size_t sent = 0;
    std::size_t received = 0;
    std::size_t messages = 0;
};

/// Answers each action as healthy workers and a healthy table would.
void answerAll(scheduler_state &state, std::vector<scheduler_action> actions, instant now, traffic &counted)
{
    while (!actions.empty()) {
        std::vector<scheduler_action> next;
        const auto feed = [&](const scheduler_message &message) {
            std::ranges::copy(step(state, message, now), std::back_inserter(next));
        };
        for (const auto &action : actions) {
            if (const auto *claim = std::get_if<send_claim>(&action)) {
                claim_answer answer;
                answer.granted = true;
                answer.token = 1;
                answer.total = {32'000, 65'536, 2};
                feed(claim_answered {claim->worker, claim->request, answer});
            } else if (const auto *exchange = std::get_if<send_exchange>(&action)) {
                exchange_answer answer;
                answer.accepted = true;
                std::ranges::transform(
                    exchange->message.starts, std::back_inserter(answer.starts),
                    [](const start_order &order) { return start_answer {order.attempt, start_result::running}; });
                counted.sent += toJson(exchange->message).size();
                counted.received += toJson(answer).size();
                ++counted.messages;
                feed(exchange_answered {exchange->worker, exchange->request, answer});
            } else if (const auto *scan = std::get_if<scan_rows>(&action)) {
                feed(scan_finished {scan->scan, true});
            }
        }
        actions = std::move(next);
    }
}

scheduler_state makeHolding(std::size_t workers, traffic &counted)
{
    scheduler_settings settings;
    settings.process = "grangemouth-e1-schedd";
    auto state = makeScheduler(settings);
    workers_configured message;
    std::ranges::transform(std::views::iota(std::size_t {0}, workers), std::back_inserter(message.workers),
                           [](std::size_t number) {
                               return configured_worker {workerName(number), "r" + std::to_string(number / 8), false};
                           });
    answerAll(state, step(state, message, start), start, counted);
    answerAll(state, step(state, timer_ticked {}, start), start, counted);
    return state;
}

void addTasks(scheduler_state &state, std::size_t tasks, traffic &counted)
{
    for (const auto number : std::views::iota(std::size_t {0}, tasks)) {
        demand_row row;
        row.key = "clydemuir-morning.wash-" + std::to_string(number);
        row.home = "grangemouth";
        row.spec.team = "wash-plant";
        row.spec.size = {1'000, 2'048, 0};
        row.spec.declaredRunTime = 1h;
        answerAll(state, step(state, row_read {row.key, row, 1, state.takeover}, start), start, counted);
    }
}

void measure(std::size_t workers, std::size_t tasks)
{
    const auto name = "scheduler_" + std::to_string(workers) + "w_" + std::to_string(tasks) + "t_";
    traffic counted;
    const auto before = heapInUse();
    auto state = makeHolding(workers, counted);
    const auto withWorkers = heapInUse();
    addTasks(state, tasks, counted);
    const auto withTasks = heapInUse();
    bench::printFigure(name + "bytes_a_worker",
                       static_cast<double>(withWorkers - before) / static_cast<double>(workers), "B");
    bench::printFigure(name + "bytes_a_task", static_cast<double>(withTasks - withWorkers) / static_cast<double>(tasks),
                       "B");
    bench::printFigure(name + "state", static_cast<double>(withTasks - before) / 1e6, "MB", bench::bound_side::atMost,
                       20);
    // A round of renewals, with ticks as often as the daemon has them.
    traffic idle;
    auto now = start;
    const auto began = std::chrono::steady_clock::now();
    for (int round = 0; round < measuredRounds; ++round) {
        for (int tick = 0; tick < 60; ++tick) {
            now += 50ms;
            answerAll(state, step(state, timer_ticked {}, now), now, idle);
        }
    }
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    const std::chrono::duration<double> covered = now - start;
    bench::printFigure(name + "idle_core", 100 * took / covered, "%", bench::bound_side::atMost, 3.7);
    bench::printFigure(name + "idle_exchanges", static_cast<double>(idle.messages) / covered.count(), "1/s");
    bench::printFigure(name + "idle_json_sent", static_cast<double>(idle.sent) / covered.count(), "B/s",
                       bench::bound_side::atMost, 3'000);
    bench::printFigure(name + "idle_json_received", static_cast<double>(idle.received) / covered.count(), "B/s",
                       bench::bound_side::atMost, 3'000);
}

} // namespace

int main()
{
    measure(17, 220);
    measure(17, 500);
    measure(50, 1'400);
    measure(138, 1'375);
    measure(138, 2'750);
    return bench::figuresOver() == 0 ? 0 : 2;
}
