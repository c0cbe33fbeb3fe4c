#include "cell_schedule.h"
#include "figure.h"

#include <algorithm>
#include <functional>
#include <ranges>

/// Recovery of one failure domain of today's size, in virtual time.
namespace
{

using namespace primrosecroft;
using namespace primrosecroft::schedules;
using namespace std::chrono_literals;

constexpr auto workersOfDomain = 17;
constexpr auto services = 10;
constexpr auto batches = 18; ///< so that 9 of 17 workers hold all
constexpr auto manyBatches = 80; ///< whose ends wait for the store
constexpr auto tasksOfService = 5;
constexpr auto mostStoreOperations = 100.0; ///< a second, at the store's return

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

demand_spec oneTask(std::chrono::milliseconds runTime)
{
    demand_spec spec;
    spec.size = {1'000, 1'024, 0};
    spec.declaredRunTime = runTime;
    return spec;
}

void fill(cell_schedule &cell, int batchCount)
{
    schedule_settings settings;
    settings.seed = 1;
    settings.workers = workersOfDomain;
    settings.callers = false;
    begin(cell, settings);
    runUntil(cell, cell.now + 20s);
    auto service = oneTask(0s);
    service.kind = demand_kind::service;
    service.tasks = tasksOfService;
    auto batch = oneTask(300s);
    for (auto number = 0; number < services; ++number) {
        submit(cell, service);
    }
    for (auto number = 0; number < batchCount; ++number) {
        batch.repeatable = number % 2 == 0;
        submit(cell, batch);
    }
    runUntil(cell, cell.now + 20s);
}

std::uint64_t attemptsOf(const cell_schedule &cell)
{
    std::uint64_t result = 0;
    std::ranges::for_each(cell.attempts | std::views::values, [&result](const auto &each) { result += each.size(); });
    return result;
}

int placingScheduler(const cell_schedule &cell)
{
    const auto placing = [](const scheduler_node &node) { return node.alive && node.state.ownership.placing; };
    return static_cast<int>(std::ranges::find_if(cell.schedulers, placing) - cell.schedulers.begin());
}

/// Runs until @p isRecovered says so, and prints what it took from @p cell's present on.
void measure(cell_schedule &cell, const std::string &name, std::uint64_t neededStarts,
             const std::function<bool()> &isRecovered)
{
    const auto start = cell.now;
    const auto messages = cell.messages;
    const auto operations = cell.storeOperations;
    const auto attempts = attemptsOf(cell);
    while (!isRecovered() && cell.now < start + 600s) {
        runUntil(cell, cell.now + 50ms);
    }
    const auto took = cell.now - start;
    const auto messagesSpent = static_cast<double>(cell.messages - messages);
    const auto operationsSpent = static_cast<double>(cell.storeOperations - operations);
    runUntil(cell, cell.now + 60s);
    const auto started = attemptsOf(cell) - attempts;
    bench::printFigure(name + ".recovered", seconds(took), "s");
    bench::printFigure(name + ".messages", messagesSpent, "");
    bench::printFigure(name + ".store_operations", operationsSpent, "");
    bench::printFigure(name + ".needless_restarts", static_cast<double>(started) - static_cast<double>(neededStarts),
                       "", bench::bound_side::atMost, 0);
    bench::printFigure(name + ".violations", static_cast<double>(cell.violations.size()), "", bench::bound_side::atMost,
                       0);
}

/// The demands that wait while nobody places are the affected ones.
void schedulerDies()
{
    cell_schedule cell;
    fill(cell, batches);
    killScheduler(cell, placingScheduler(cell));
    const auto waiting = 20;
    for (auto number = 0; number < waiting; ++number) {
        submit(cell, oneTask(600s));
    }
    const auto expected = runningTasks(cell).size() + waiting;
    measure(cell, "scheduler_death", waiting, [&] { return runningTasks(cell).size() == expected; });
}

void workersDie(const std::string &name, int count)
{
    cell_schedule cell;
    fill(cell, batches);
    const auto before = runningTasks(cell);
    for (auto &[id, node] : cell.workers | std::views::take(count)) {
        node.alive = false;
    }
    const auto lost = before.size() - runningTasks(cell).size();
    bench::printFigure(name + ".tasks_lost", static_cast<double>(lost), "");
    // Half of the batch tasks must not be repeated: they end as unknown.
    const auto alive = runningTasks(cell);
    std::uint64_t repeatable = 0;
    for (const auto &task : before | std::views::keys) {
        if (!alive.contains(task) && rowOf(cell, task.demand).spec.repeatable) {
            ++repeatable;
        }
    }
    const auto expected = alive.size() + repeatable;
    measure(cell, name, repeatable, [&] { return runningTasks(cell).size() == expected; });
}

/// All batch tasks end during the outage; their ends are recorded after it.
void storeIsOut()
{
    cell_schedule cell;
    fill(cell, manyBatches);
    const auto attempts = attemptsOf(cell);
    cell.storeOut = true;
    runUntil(cell, cell.now + 1h);
    bench::printFigure("store_outage.services_running", static_cast<double>(runningTasks(cell).size()), "",
                       bench::bound_side::atLeast, services * tasksOfService);
    bench::printFigure("store_outage.store_operations_meanwhile", static_cast<double>(cell.storeOperations), "");
    cell.storeOut = false;
    const auto returned = std::chrono::duration_cast<std::chrono::seconds>(cell.now.time_since_epoch()).count();
    measure(cell, "store_return", 0, [&cell] {
        return std::ranges::all_of(std::views::iota(services + 1, services + manyBatches + 1), [&cell](int number) {
            return rowOf(cell, "d" + std::to_string(number)).outcome == demand_outcome::done;
        });
    });
    std::uint64_t most = 0;
    for (const auto &[second, count] : cell.storeOperationsBySecond) {
        most = second >= returned ? std::max(most, count) : most;
    }
    bench::printFigure("store_return.operations_a_second", static_cast<double>(most), "/s", bench::bound_side::atMost,
                       mostStoreOperations);
    bench::printFigure("store_outage.needless_restarts", static_cast<double>(attemptsOf(cell) - attempts), "",
                       bench::bound_side::atMost, 0);
}

} // namespace

int main()
{
    schedulerDies();
    workersDie("worker_death", 1);
    workersDie("rack_death", 8);
    storeIsOut();
    return primrosecroft::bench::figuresOver() == 0 ? 0 : 1;
}
