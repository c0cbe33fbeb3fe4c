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

struct named_policy
{
    std::string name;
    placement_policy policy;
};

/// Baselines first; the last two are what the example sheets say.
std::vector<named_policy> policies()
{
    return {{"first-fit", {0, 0, 0, 0, 0}},           {"best-fit", {1, 0, 0, 0, 0}},
            {"best-fit-stranding", {1, 0, 0, 10, 0}}, {"balance", {0, 1, 0, 10, 0}},
            {"spread-only", {0, 0, 1, 10, 0}},        {"clydemuir", {1, 0.5, 0.05, 10, 0}},
            {"kjaergaard", {1, 0.5, 0.05, 10, 1}}};
}

cell emptyWorkers(const cell_size &size)
{
    const auto model = makeCell(size, {});
    cell workers;
    for (const auto &[id, worker] : model.workers) {
        workers.emplace(id, cell_worker {id, model.scheduler.records.at(id).rack, worker.total, worker.total, true});
    }
    return workers;
}

resources freeIn(const cell &workers)
{
    resources result;
    for (const auto &[id, worker] : workers) {
        result += worker.free;
    }
    return result;
}

struct packing_result
{
    double tightest = 0; ///< share of the tighter of cores and memory in use
    double stranded = 0; ///< share of free accelerators beside less than one task of their kind
};

/// Places demands until one has to wait though the cell as a whole has room for it.
packing_result packOnce(const cell_size &size, const placement_policy &policy, std::uint64_t run)
{
    auto workers = emptyWorkers(size);
    const auto total = freeIn(workers);
    std::mt19937_64 random(run);
    const workload_shape shape {.accelerated = size.accelerators};
    for (bool waits = false; !waits;) {
        const auto spec = drawDemand(random, shape);
        std::map<std::string, std::int32_t> racks;
        const auto free = freeIn(workers);
        const auto placeable = [&](std::int32_t tasks) {
            return tasks * spec.size.milliCores <= free.milliCores && tasks * spec.size.memoryMib <= free.memoryMib;
        };
        if (spec.size.accelerators * spec.tasks > free.accelerators
            || (spec.kind == demand_kind::gang && !placeable(spec.tasks))) {
            continue; // it would have to wait under any policy
        }
        for (std::int32_t task = 0; task < spec.tasks && !waits; ++task) {
            const auto chosen = chooseWorker(workers, {spec.size, &racks, nullptr}, policy);
            waits = !chosen;
            if (chosen) {
                auto &worker = workers.at(*chosen);
                worker.free -= spec.size;
                ++racks[worker.rack];
            }
        }
    }
    const auto free = freeIn(workers);
    constexpr resources acceleratedTask {1'000, 2'048, 1};
    std::int64_t beside = 0;
    for (const auto &[id, worker] : workers) {
        beside += worker.free.accelerators > 0 && !fits(acceleratedTask, worker.free) ? worker.free.accelerators : 0;
    }
    const auto used = [](std::int64_t left, std::int64_t whole) {
        return 1 - static_cast<double>(left) / static_cast<double>(whole);
    };
    return {std::max(used(free.milliCores, total.milliCores), used(free.memoryMib, total.memoryMib)),
            static_cast<double>(beside) / static_cast<double>(total.accelerators)};
}

void measurePacking(const cell_size &size, std::uint64_t runs)
{
    constexpr double targetShare = 0.97;
    for (const auto &[name, policy] : policies()) {
        packing_result sum;
        for (std::uint64_t run = 0; run < runs; ++run) {
            const auto result = packOnce(size, policy, seed + run);
            sum.tightest += result.tightest;
            sum.stranded += result.stranded;
        }
        const auto prefix = "packing/" + size.name + "-workers/" + name;
        const auto mean = sum.tightest / static_cast<double>(runs);
        if (name == "clydemuir" || name == "kjaergaard") {
            printFigure(prefix + "/tightest", mean, "share", bound_side::atLeast, targetShare);
        } else {
            printFigure(prefix + "/tightest", mean, "share");
        }
        printFigure(prefix + "/stranded-accelerators", sum.stranded / static_cast<double>(runs), "share");
    }
}

/// Twenty minutes of arrivals above what the cell can carry, then waiting time and control cost.
void measureWaiting(const cell_size &size)
{
    for (const auto &[name, policy] : policies()) {
        auto cell = makeCell(size, policy);
        standins::takeOver(cell);
        std::mt19937_64 random(seed);
        const workload_shape shape {.services = 0, .urgent = 0, .accelerated = 0};
        const auto cores = standins::capacity(cell).milliCores;
        double offered = 0;
        const auto begin = cell.now;
        int demands = 0;
        for (; cell.now < begin + 20min; ++demands) {
            const auto spec = drawDemand(random, shape);
            standins::submit(cell, "d" + std::to_string(demands), spec);
            offered += static_cast<double>(spec.tasks * spec.size.milliCores)
                * static_cast<double>(spec.declaredRunTime.count()) / static_cast<double>(cores);
            constexpr double load = 1.2;
            standins::runUntil(cell, begin + std::chrono::milliseconds(static_cast<std::int64_t>(offered / load)));
        }
        std::vector<double> waits;
        constexpr double millisecondsPerSecond = 1000;
        for (const auto &[task, placed] : cell.placed) {
            waits.push_back(static_cast<double>(placed.waited.count()) / millisecondsPerSecond);
        }
        const auto prefix = "waiting/" + size.name + "-workers/" + name;
        const auto mean = std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
        printFigure(prefix + "/tasks", static_cast<double>(waits.size()), "tasks");
        printFigure(prefix + "/mean", mean, "s");
        printFigure(prefix + "/p95", percentile(waits, 0.95), "s");
        printFigure(prefix + "/exchanges-per-task",
                    static_cast<double>(cell.exchanges) / static_cast<double>(waits.size()), "messages");
    }
}

} // namespace

} // namespace primrosecroft::bench

int main()
{
    using namespace primrosecroft::bench;
    measureSpeed(today);
    measureSpeed(inTwoYears);
    constexpr std::uint64_t packingRuns = 20;
    constexpr std::uint64_t packingRunsAtScale = 2;
    measurePacking(today, packingRuns);
    measurePacking(inTwoYears, packingRunsAtScale);
    measureWaiting(today);
    return figuresOver() == 0 ? 0 : 1;
}
