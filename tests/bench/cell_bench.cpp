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

/// How much of the capacity is free while many steps wait for advice.
enum class backlog_kind
{
    halfFree, ///< half of it, in pieces; the workers with valid tickets are full, and the other tickets have expired
    full, ///< none
    startable, ///< half of it, in pieces; all tickets are valid
};

/// The backlog of an incident: steps that wait for workers and for the advice service, of jobs of which a third run.
class backlog
{
public:
    explicit backlog(backlog_kind kind)
        : m_kind(kind)
    {
        cell = makeCellOf(workerCount);
        cell.adviceRoutes = 30;
        occupyWorkers();
        for (int number = 0; number < waitingSteps; ++number) {
            addWaitingJob(number);
        }
    }

    /// Answers that many calls of the advice service as failed, so that the next pass may send as many.
    void failCalls(int count)
    {
        for (auto &[id, job] : cell.state.jobs) {
            auto &advice = job.occurrences.at(0).steps.front().advice;
            if (count > 0 && advice.isRequestPending) {
                step(cell.state, advice_answered {{id, 0, 0}, {}, false, {}, 0ms, false}, cell.now, cell.actions);
                --count;
            }
        }
    }

    owned_cell cell;

private:
    static constexpr int workerCount = 350;
    static constexpr std::int64_t tasksPerWorker = 12; ///< that fit its capacity
    static constexpr int waitingSteps = 400;
    static constexpr int runningJobs = 200;
    static constexpr int knownWorkers = 30; ///< workers that the service was asked about for a step
    static constexpr int allowedTenths = 7;

    /// Fills the workers with 0 to 12 tasks each, or all of them.
    void occupyWorkers()
    {
        std::int64_t number = 0;
        for (auto &[id, worker] : cell.state.workers) {
            const auto tasks = m_kind == backlog_kind::full ? tasksPerWorker : number % (tasksPerWorker + 1);
            auto running = owned_cell::makeJob("running" + std::to_string(number),
                                               {makeStep(static_cast<std::int32_t>(std::max<std::int64_t>(1, tasks)))});
            running.spec.steps.front().label = "on-" + id;
            if (tasks > 0 && (m_kind == backlog_kind::full || number < runningJobs)) {
                place(running, id);
            } else {
                worker.used = {tasks * 2'500, tasks * 4'700, 0};
            }
            ++number;
        }
    }

    void place(accepted_job &job, const worker_id &id)
    {
        auto description = cell.state.workers.at(id).description;
        const auto labels = description.labels;
        description.labels = {"on-" + id, labels.back()};
        cell.addWorker(description);
        cell.addJob(job);
        cell.runSchedulingPass();
        description.labels = labels;
        step(cell.state, worker_listed {description}, cell.now, cell.actions);
    }

    void addWaitingJob(int number)
    {
        auto first = makeStep(number % 2 == 0 ? 7 : 8);
        first.maxPerWorker = number % 8 == 0 ? 2 : 0;
        auto second = makeStep(4);
        second.after = {0};
        auto job = owned_cell::makeJob("waiting-job-" + std::to_string(number), {first, second}, number % 3);
        job.queue.advice = advice_policy {25ms, 350us, 2s};
        cell.addJob(job);
        auto &advice = cell.state.jobs.at(job.id).occurrences.at(0).steps.front().advice;
        const bool isOnFullWorkers = m_kind == backlog_kind::halfFree && number % 4 == 0;
        const bool isValid = m_kind != backlog_kind::halfFree || isOnFullWorkers;
        int index = 0;
        for (const auto &[id, worker] : cell.state.workers) {
            const bool isFull = worker.used.milliCores >= tasksPerWorker * 2'500;
            const bool isKnown = isOnFullWorkers ? isFull : (index + number * 7) % workerCount < knownWorkers;
            if (isKnown) {
                advice.workers[id] = {index % 10 < allowedTenths, "a-ticket-of-the-service",
                                      cell.now + (isValid ? 2s : -1s)};
            }
            ++index;
        }
    }

    backlog_kind m_kind;
};

/// A scheduling pass with a backlog that can hardly start anything, as the owner runs one after the other.
void measureBacklogPass(const char *name, backlog_kind kind, double bound)
{
    backlog waiting(kind);
    std::size_t starts = waiting.cell.runSchedulingPass().size();
    std::chrono::steady_clock::duration took {0};
    for (int round = 0; round < rounds; ++round) {
        waiting.cell.advance(6ms);
        waiting.failCalls(10);
        const auto startedAt = std::chrono::steady_clock::now();
        starts += waiting.cell.runSchedulingPass().size();
        took += std::chrono::steady_clock::now() - startedAt;
    }
    bench::printFigure(name, fractional_milliseconds(took).count() / rounds, "ms", bench::bound_side::atMost, bound);
    bench::printFigure(name + std::string("_starts"), static_cast<double>(starts), "");
}

/// A scheduling pass that starts as many tasks of the backlog as have tickets.
void measureBacklogStart(double bound)
{
    backlog waiting(backlog_kind::startable);
    const auto startedAt = std::chrono::steady_clock::now();
    const auto starts = waiting.cell.runSchedulingPass();
    bench::printFigure("backlog_start_350w_400s", millisecondsSince(startedAt), "ms", bench::bound_side::atMost, bound);
    bench::printFigure("backlog_start_350w_400s_starts", static_cast<double>(starts.size()), "");
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
    measureBacklogPass("backlog_pass_350w_400s", backlog_kind::halfFree, 4.5);
    measureBacklogPass("backlog_full_350w_400s", backlog_kind::full, 2.5);
    measureBacklogStart(10);
    measureMemory(48, 500);
    measureMemory(350, 2'000);
    measureMemory(1'100, 2'000);
    measureOwnerKilled();
    return primrosecroft::bench::figuresOutOfBounds() == 0 ? 0 : 2;
}
