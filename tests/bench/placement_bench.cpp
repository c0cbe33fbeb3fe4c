#include "figure.h"
#include "placement_workload.h"
#include "virtual_cell.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <numeric>
#include <sstream>

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
        workers.emplace(id,
                        cell_worker {id, model.scheduler.records.at(id).rack, worker.total, worker.total, {}, true});
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

struct timed_steps
{
    std::vector<double> milliseconds;
    double total = 0;
};

void timeSteps(virtual_cell &cell, timed_steps &times)
{
    cell.run = [&times](scheduler_state &state, const scheduler_message &message, instant now) {
        const auto begin = std::chrono::steady_clock::now();
        auto actions = step(state, message, now);
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begin;
        times.milliseconds.push_back(took.count());
        times.total += took.count();
        return actions;
    };
}

demand_spec plainBatch(std::int32_t tasks, const resources &size, std::chrono::milliseconds runTime)
{
    demand_spec spec;
    spec.tasks = tasks;
    spec.size = size;
    spec.declaredRunTime = runTime;
    return spec;
}

/// Urgent demands at the peak rate on a cell that is full and has a queue.
void measureUrgent(const cell_size &size, std::chrono::milliseconds pause)
{
    auto cell = makeCell(size, {});
    standins::takeOver(cell);
    std::mt19937_64 random(seed);
    const workload_shape shape {.urgent = 0, .accelerated = size.accelerators};
    const auto total = standins::capacity(cell).milliCores;
    std::int64_t offered = 0;
    for (int number = 0; offered < total * 3 / 2; ++number) {
        auto spec = drawDemand(random, shape);
        spec.declaredRunTime = 1h;
        offered += spec.tasks * spec.size.milliCores;
        standins::submit(cell, "d" + std::to_string(number), spec);
    }
    standins::runUntil(cell, cell.now + 5s);
    timed_steps times;
    timeSteps(cell, times);
    constexpr int urgentDemands = 100;
    for (int number = 0; number < urgentDemands; ++number) {
        auto spec = plainBatch(1, {2'000, 4'096, 0}, 1min);
        spec.priority = demand_priority::urgent;
        standins::submit(cell, "u" + std::to_string(number), spec);
        standins::runUntil(cell, cell.now + pause);
    }
    standins::runUntil(cell, cell.now + 10s);
    double slowest = 0;
    int placed = 0;
    constexpr double millisecondsPerSecond = 1000;
    for (const auto &[task, each] : cell.placed) {
        if (task.demand.starts_with('u')) {
            ++placed;
            slowest = std::max(slowest, static_cast<double>(each.waited.count()) / millisecondsPerSecond);
        }
    }
    const auto prefix = "urgent/" + size.name + "-workers/";
    constexpr double targetStart = 2.5;
    printFigure(prefix + "placed", placed, "tasks", bound_side::atLeast, urgentDemands);
    printFigure(prefix + "slowest", slowest, "s", bound_side::atMost, targetStart);
    printFigure(prefix + "step-p99", percentile(times.milliseconds, 0.99), "ms", bound_side::atMost,
                size.slowestDecision);
}

/// Ten thousand cancellations, half of running demands, half of waiting ones, all before anything else is heard.
void measureCancellations(const cell_size &size)
{
    constexpr int wave = 10'000;
    constexpr double mostDelay = 50;
    auto cell = makeCell(size, {});
    standins::takeOver(cell);
    for (int number = 0; number < wave; ++number) {
        const auto share = standins::capacity(cell).milliCores / (wave / 2);
        standins::submit(cell, "d" + std::to_string(number), plainBatch(1, {share, 64, 0}, 1h));
    }
    standins::runUntil(cell, cell.now + 10s);
    timed_steps times;
    timeSteps(cell, times);
    const auto exchanges = cell.exchanges;
    for (int number = 0; number < wave; ++number) {
        standins::cancel(cell, "d" + std::to_string(number));
    }
    const auto prefix = "cancellations/" + size.name + "-workers/";
    printFigure(prefix + "wave", times.total, "ms", bound_side::atMost, mostDelay);
    printFigure(prefix + "slowest-step", *std::ranges::max_element(times.milliseconds), "ms");
    standins::runUntil(cell, cell.now + 2s);
    printFigure(prefix + "exchanges-per-worker",
                static_cast<double>(cell.exchanges - exchanges) / static_cast<double>(cell.workers.size()), "messages");
}

/// What is placed in twenty minutes when declared run times are wrong by a factor.
void measureWrongRunTimes(const cell_size &size)
{
    for (const auto factor : {0.1, 1.0, 10.0}) {
        auto cell = makeCell(size, policies().at(5).policy);
        standins::takeOver(cell);
        for (auto &[id, worker] : cell.workers) {
            worker.runTimeFactor = 1;
        }
        std::mt19937_64 random(seed);
        std::bernoulli_distribution isWrong(0.5);
        const workload_shape shape {.services = 0, .urgent = 0};
        const auto cores = static_cast<double>(standins::capacity(cell).milliCores);
        double used = 0;
        int samples = 0;
        for (int number = 0; number < 1200; ++number) {
            auto spec = drawDemand(random, shape);
            spec.tasks = 8;
            spec.declaredRunTime = std::chrono::milliseconds(60'000);
            for (auto &[id, worker] : cell.workers) {
                worker.runTimeFactor = isWrong(random) ? factor : 1;
            }
            standins::submit(cell, "d" + std::to_string(number), spec);
            standins::runUntil(cell, cell.now + 1s);
            used += static_cast<double>(standins::inUse(cell).milliCores) / cores;
            ++samples;
        }
        std::ostringstream name;
        name << "wrong-run-times/" << size.name << "-workers/half-times-" << factor;
        std::uint64_t refused = 0;
        std::ranges::for_each(cell.workers,
                              [&refused](const auto &entry) { refused += entry.second.overcommitRefusals; });
        printFigure(name.str() + "/cores-used", used / samples, "share");
        printFigure(name.str() + "/overcommit-refusals", static_cast<double>(refused), "starts", bound_side::atMost, 0);
    }
}

/// Fills a cell to seven tenths, loses workers and places their tasks again.
void measureLoss(const cell_size &size, std::size_t lostWorkers, const named_policy &restart)
{
    auto workers = emptyWorkers(size);
    const auto total = freeIn(workers);
    std::map<worker_id, std::vector<resources>> tasks;
    std::mt19937_64 random(seed);
    constexpr double fill = 0.7;
    const auto filling = policies().at(5).policy;
    const auto place = [&](const resources &wanted, const placement_policy &policy) {
        const auto chosen = chooseWorker(workers, {wanted, nullptr, nullptr}, policy);
        if (chosen) {
            workers.at(*chosen).free -= wanted;
            tasks[*chosen].push_back(wanted);
        }
        return chosen;
    };
    const auto isBelow = [&total](const resources &free) {
        const auto left = 1 - fill;
        return static_cast<double>(free.milliCores) > left * static_cast<double>(total.milliCores)
            && static_cast<double>(free.memoryMib) > left * static_cast<double>(total.memoryMib);
    };
    while (isBelow(freeIn(workers))) {
        place(drawDemand(random, {}).size, filling);
    }
    std::vector<resources> lost;
    for (std::size_t count = 0; count < lostWorkers; ++count) {
        const auto first = workers.begin()->first;
        lost.insert(lost.end(), tasks[first].begin(), tasks[first].end());
        workers.erase(first);
    }
    std::map<worker_id, int> restarts;
    for (const auto &task : lost) {
        if (const auto chosen = place(task, restart.policy)) {
            ++restarts[*chosen];
        }
    }
    int most = 0;
    std::ranges::for_each(restarts, [&most](const auto &entry) { most = std::max(most, entry.second); });
    const auto whole =
        std::ranges::count_if(workers, [](const auto &entry) { return entry.second.free == entry.second.total; });
    const auto prefix = "loss/" + size.name + "-workers/" + std::to_string(lostWorkers) + "-lost/" + restart.name;
    printFigure(prefix + "/restarts", static_cast<double>(lost.size()), "tasks");
    printFigure(prefix + "/most-at-one-worker", most, "tasks");
    printFigure(prefix + "/workers-left-empty", static_cast<double>(whole), "workers");
}

} // namespace

} // namespace primrosecroft::bench

/// Runs all parts, or only the one named: speed, packing, waiting, urgent, cancellations, run-times, loss.
int main(int argc, char **argv)
{
    using namespace primrosecroft::bench;
    using namespace std::chrono_literals;
    const std::string only = argc > 1 ? argv[1] : "";
    const auto runs = [&only](const std::string &part) { return only.empty() || only == part; };
    if (runs("speed")) {
        measureSpeed(today);
        measureSpeed(inTwoYears);
    }
    if (runs("packing")) {
        constexpr std::uint64_t packingRuns = 20;
        constexpr std::uint64_t packingRunsAtScale = 2;
        measurePacking(today, packingRuns);
        measurePacking(inTwoYears, packingRunsAtScale);
    }
    if (runs("waiting")) {
        measureWaiting(today);
    }
    if (runs("urgent")) {
        measureUrgent(today, 100ms);
        measureUrgent(inTwoYears, 100ms);
    }
    if (runs("cancellations")) {
        measureCancellations(today);
        measureCancellations(inTwoYears);
    }
    if (runs("loss")) {
        for (const auto &size : {today, inTwoYears}) {
            for (const auto &restart :
                 {named_policy {"packed", {1, 0.5, 0.05, 10, 0}}, named_policy {"spread", {-1, 0, 0, 10, 0}}}) {
                measureLoss(size, 1, restart);
                measureLoss(size, rackSize, restart);
            }
        }
    }
    if (runs("run-times")) {
        measureWrongRunTimes(today);
    }
    return figuresOver() == 0 ? 0 : 1;
}
