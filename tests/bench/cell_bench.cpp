#include "cell_emulation.h"
#include "figure.h"
#include "owned_cell.h"

#include <chrono>
#include <malloc.h>
#include <string>

/**
 * Measures the time and memory that the owner's core takes as the numbers of workers and jobs grow, and the virtual
 * time for which a cell is without an owner after its owner was killed. The numbers of workers are those of the
 * deployments today, after their growth, and in two years.
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

constexpr int rounds = 20;

double millisecondsSince(std::chrono::steady_clock::time_point startedAt)
{
    return fractional_milliseconds(std::chrono::steady_clock::now() - startedAt).count();
}

owned_cell makeCellOf(int workers)
{
    owned_cell cell;
    for (int number = 0; number < workers; ++number) {
        cell.addWorker(owned_cell::makeWorker("w" + std::to_string(number), "r" + std::to_string(number / 8),
                                              {32'000, 65'536, 0}));
    }
    return cell;
}

step_spec makeStep(std::int32_t count)
{
    step_spec step;
    step.count = count;
    step.size = {2'500, 4'700, 0};
    step.estimate = 800ms;
    return step;
}

/// One scheduling pass over all waiting tasks. A worker has capacity for 12 of them, and all workers together have
/// capacity for all, so that every task starts.
void measurePlacementPass(int workers, int tasks, double bound)
{
    constexpr int tasksPerStep = 10;
    auto cell = makeCellOf(workers);
    for (int number = 0; number < tasks / tasksPerStep; ++number) {
        cell.addJob(owned_cell::makeJob("job" + std::to_string(number), {makeStep(tasksPerStep)}));
    }
    const auto startedAt = std::chrono::steady_clock::now();
    const auto starts = cell.runSchedulingPass();
    const auto name = "placement_" + std::to_string(workers) + "w_" + std::to_string(tasks) + "t";
    bench::printFigure(name, millisecondsSince(startedAt), "ms", bench::bound_side::atMost, bound);
    bench::printFigure(name + "_starts", static_cast<double>(starts.size()), "");
}

/// A scheduling pass while all workers are full, so that no task can start.
void measureFullPass(int workers, int waiting, double bound)
{
    auto cell = makeCellOf(workers);
    for (int number = 0; number < workers * 2; ++number) {
        cell.addJob(owned_cell::makeJob("running" + std::to_string(number), {makeStep(6)}));
    }
    cell.runSchedulingPass();
    for (int number = 0; number < waiting; ++number) {
        cell.addJob(owned_cell::makeJob("waiting" + std::to_string(number), {makeStep(10)}));
    }
    cell.runSchedulingPass();
    const auto startedAt = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        cell.advance(6ms);
        cell.runSchedulingPass();
    }
    bench::printFigure("full_pass_" + std::to_string(workers) + "w_" + std::to_string(waiting) + "j",
                       millisecondsSince(startedAt) / rounds, "ms", bench::bound_side::atMost, bound);
}

void measureMemory(int workers, int jobs)
{
    const auto before = mallinfo2().uordblks;
    auto cell = makeCellOf(workers);
    const auto withWorkers = mallinfo2().uordblks;
    for (int number = 0; number < jobs; ++number) {
        cell.addJob(owned_cell::makeJob("job" + std::to_string(number), {makeStep(10), makeStep(10)}));
    }
    const auto withJobs = mallinfo2().uordblks;
    const auto name = "state_" + std::to_string(workers) + "w_" + std::to_string(jobs) + "j_";
    bench::printFigure(name + "bytes_a_worker",
                       static_cast<double>(withWorkers - before) / static_cast<double>(workers), "B");
    bench::printFigure(name + "bytes_a_job", static_cast<double>(withJobs - withWorkers) / static_cast<double>(jobs),
                       "B");
    bench::printFigure(name + "whole", static_cast<double>(withJobs - before) / 1e6, "MB", bench::bound_side::atMost,
                       40);
}

/// The time from the end of one owner to the first start order of the next one.
void measureOwnerKilled()
{
    emulation_settings settings;
    settings.faultScale = 0;
    settings.workers = 48;
    cell_emulation cell(settings);
    cell.runFor(2s);
    std::chrono::milliseconds firstOrder {0};
    cell.onTrace = [&](const std::string &line) {
        if (firstOrder.count() == 0 && line.starts_with("start")) {
            firstOrder = cell.elapsed();
        }
    };
    cell.killOwner(20s);
    const auto killed = cell.elapsed();
    cell.submit(owned_cell::makeJob("late", {makeStep(4)}));
    cell.runFor(10s);
    bench::printFigure("owner_killed_first_order", static_cast<double>((firstOrder - killed).count()), "ms",
                       bench::bound_side::atMost, 2'000);
}

} // namespace

int main()
{
    measurePlacementPass(48, 300, 10);
    measurePlacementPass(350, 2'000, 10);
    measurePlacementPass(1'100, 2'000, 30);
    measureFullPass(48, 30, 2);
    measureFullPass(350, 200, 10);
    measureMemory(48, 500);
    measureMemory(350, 2'000);
    measureMemory(1'100, 2'000);
    measureOwnerKilled();
    return primrosecroft::bench::figuresOutOfBounds() == 0 ? 0 : 2;
}
