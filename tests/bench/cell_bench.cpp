#include "cell_emulation.h"
#include "figure.h"
#include "owned_cell.h"

#include <chrono>
#include <malloc.h>
#include <string>

/**
 * What the owner's core costs as workers and jobs grow, and how long the cell is without an
 * owner, in virtual time. Sizes are those of today, of the grown deployments and of two years.
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;
using milliseconds_number = std::chrono::duration<double, std::milli>;

constexpr int rounds = 20;

double millisecondsSince(std::chrono::steady_clock::time_point begun)
{
    return milliseconds_number(std::chrono::steady_clock::now() - begun).count();
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

/// One pass in which all of the waiting tasks meet workers with room for a part of them.
void placementPass(int workers, int tasks, double bound)
{
    constexpr int tasksOfStep = 10;
    auto cell = makeCellOf(workers);
    for (int number = 0; number < tasks / tasksOfStep; ++number) {
        cell.addJob(owned_cell::makeJob("job" + std::to_string(number), {makeStep(tasksOfStep)}));
    }
    const auto begun = std::chrono::steady_clock::now();
    const auto starts = cell.runSchedulingPass();
    const auto name = "placement_" + std::to_string(workers) + "w_" + std::to_string(tasks) + "t";
    bench::printFigure(name, millisecondsSince(begun), "ms", bench::bound_side::atMost, bound);
    bench::printFigure(name + "_starts", static_cast<double>(starts.size()), "");
}

/// A pass when all workers are full: what a pass costs while nothing can start.
void fullPass(int workers, int waiting, double bound)
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
    const auto begun = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round) {
        cell.advance(6ms);
        cell.runSchedulingPass();
    }
    bench::printFigure("full_pass_" + std::to_string(workers) + "w_" + std::to_string(waiting) + "j",
                       millisecondsSince(begun) / rounds, "ms", bench::bound_side::atMost, bound);
}

void memory(int workers, int jobs)
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

/// From the end of one owner to the first order of the next.
void ownerKilled()
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
    placementPass(48, 300, 10);
    placementPass(350, 2'000, 10);
    placementPass(1'100, 2'000, 30);
    fullPass(48, 30, 2);
    fullPass(350, 200, 10);
    memory(48, 500);
    memory(350, 2'000);
    memory(1'100, 2'000);
    ownerKilled();
    return primrosecroft::bench::figuresOver() == 0 ? 0 : 2;
}
