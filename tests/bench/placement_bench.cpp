#include "figure.h"
#include "placement_workload.h"
#include "virtual_cell.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <numeric>

namespace primrosecroft::bench
{

namespace
{

using namespace std::chrono_literals;
using standins::virtual_cell;

constexpr resources plainWorker {32'000, 65'536, 0};
constexpr resources acceleratedWorker {32'000, 65'536, 4};
constexpr std::size_t rackSize = 8;
constexpr std::uint64_t seed = 20'261'204;

struct cell_size
{
    std::string name;
    std::size_t plain = 0;
    std::size_t accelerated = 0;
    std::size_t tasks = 0;
    double accelerators = 0; ///< share of tasks that need them
    double slowestDecision = 0; ///< p99 target, in milliseconds
};

const cell_size today {"50", 44, 6, 600, 0.03, 1};
const cell_size inTwoYears {"1100", 575, 525, 11'000, 0.2, 4};

virtual_cell makeCell(const cell_size &size, const placement_policy &policy)
{
    scheduler_settings settings;
    settings.process = "scheduler";
    settings.seed = seed;
    settings.policy = policy;
    virtual_cell cell;
    cell.now = instant(1h);
    cell.scheduler = makeScheduler(settings);
    standins::addWorkers(cell, size.plain, plainWorker, rackSize);
    standins::addWorkers(cell, size.accelerated, acceleratedWorker, rackSize);
    return cell;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, position);
    return *position;
}

/// Fills a cell at its peak rate and times every step.
void measureSpeed(const cell_size &size)
{
    auto cell = makeCell(size, {});
    std::vector<double> arrivals;
    double total = 0;
    bool measuring = false;
    cell.run = [&](scheduler_state &state, const scheduler_message &message, instant now) {
        const auto begin = std::chrono::steady_clock::now();
        auto actions = step(state, message, now);
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
        if (measuring) {
            total += took.count();
            if (std::holds_alternative<row_read>(message)) {
                arrivals.push_back(took.count());
            }
        }
        return actions;
    };
    standins::takeOver(cell);
    measuring = true;
    std::mt19937_64 random(seed);
    const workload_shape shape {.accelerated = size.accelerators};
    std::size_t tasks = 0;
    for (int number = 0; tasks < size.tasks; ++number) {
        const auto spec = drawDemand(random, shape);
        tasks += static_cast<std::size_t>(spec.tasks);
        standins::submit(cell, "d" + std::to_string(number), spec);
        standins::runUntil(cell, cell.now + 1ms * spec.tasks);
    }
    standins::runUntil(cell, cell.now + 1s);
    const auto prefix = "placement/" + size.name + "-workers/";
    printFigure(prefix + "placements", static_cast<double>(cell.placed.size()), "tasks");
    constexpr double millisecondsPerSecond = 1000;
    constexpr double targetRate = 5000;
    printFigure(prefix + "rate", static_cast<double>(cell.placed.size()) / total * millisecondsPerSecond, "tasks/s",
                bound_side::atLeast, targetRate);
    printFigure(prefix + "decision-p50", percentile(arrivals, 0.5), "ms");
    printFigure(prefix + "decision-p99", percentile(arrivals, 0.99), "ms", bound_side::atMost, size.slowestDecision);
}

} // namespace

} // namespace primrosecroft::bench

int main()
{
    using namespace primrosecroft::bench;
    measureSpeed(today);
    measureSpeed(inTwoYears);
    return figuresOver() == 0 ? 0 : 1;
}
