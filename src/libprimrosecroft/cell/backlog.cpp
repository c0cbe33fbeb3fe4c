#include "cell/backlog.h"

#include "cell/detail/cell_parts.h"
#include "cell/detail/workspace_limits.h"
#include "core/contains.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using detail::serving_rank;

constexpr double leastShare = 0.05; ///< of the workers that advice is taken to allow
constexpr double milliCoresPerCore = 1'000;

bool isJudged(const job_spec &spec)
{
    return spec.occurrences == 0 && std::ranges::none_of(spec.steps, &step_spec::isService);
}

/// Returns whether a worker of the pool is large enough for a task of the step. If none is, the step takes nothing that
/// other work could have.
bool fitsAnyWorker(const cell_state &state, const std::string &pool, const step_spec &spec)
{
    return std::ranges::any_of(std::views::values(state.workers), [&](const worker_state &worker) {
        const auto &description = worker.description;
        return description.pool == pool && worker.isListed && fits(spec.size, description.capacity)
            && (spec.label.empty() || contains(description.labels, spec.label));
    });
}

/// Tasks of the step that others may have to wait for. What waits for its own workspace's limit keeps nobody waiting.
std::int64_t waitingTasks(const cell_state &state, const job_state &job, const step_state &step, const step_spec &spec)
{
    return step.isReady
        ? std::min<std::int64_t>(std::ssize(step.pendingTasks), detail::startableTasks(state, job, spec))
        : std::ssize(step.tasks);
}

/// Number of tasks of this size that have room in @p offered, up to @p most.
std::int64_t fittingTasks(const resources &offered, const resources &size, std::int64_t most)
{
    const auto limit = [&most](std::int64_t amount, std::int64_t needed) {
        if (needed > 0) {
            most = std::min(most, std::max<std::int64_t>(amount, 0) / needed);
        }
    };
    limit(offered.milliCores, size.milliCores);
    limit(offered.memoryMib, size.memoryMib);
    limit(offered.accelerators, size.accelerators);
    return most;
}

/// Takes room for up to @p most tasks of this size from the workers, and returns for how many there is.
std::int64_t takeRoom(std::vector<resources> &room, const resources &size, std::int64_t most)
{
    std::int64_t result = 0;
    for (auto each = room.begin(); each != room.end() && result < most; ++each) {
        const auto fitting = fittingTasks(*each, size, most - result);
        each->milliCores -= fitting * size.milliCores;
        each->memoryMib -= fitting * size.memoryMib;
        each->accelerators -= fitting * size.accelerators;
        result += fitting;
    }
    return result;
}

/// Takes the room of the tasks that may start now, on workers that advice is expected to allow: all of a gang or none.
void takeRoomFor(std::vector<resources> &room, const waiting_tasks &tasks)
{
    const auto needed = static_cast<std::int64_t>(std::ceil(static_cast<double>(tasks.count) / tasks.allowedShare));
    auto left = room;
    const auto fitting = takeRoom(left, tasks.size, needed);
    if (!tasks.isGang || fitting == needed) {
        takeRoom(room, tasks.size, static_cast<std::int64_t>(static_cast<double>(fitting) * tasks.allowedShare));
    }
}

/// Share of the workers that advice is expected to allow for a step of the queue.
double allowedShareOf(const cell_state &state, const queue_policy &queue)
{
    const auto found = state.advice.find(queue.name);
    return queue.advice && found != state.advice.end() ? std::max(leastShare, found->second.allowedShare) : 1;
}

void addWaitingWork(const cell_state &state, const job_state &job, cell_backlog &backlog, instant now)
{
    auto &waiting = backlog.pools[job.accepted.queue.pool].waiting;
    const auto allowedShare = allowedShareOf(state, job.accepted.queue);
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &step = occurrence.steps[index];
            const auto &spec = job.accepted.spec.steps[index];
            const auto tasks = waitingTasks(state, job, step, spec);
            if (tasks > 0 && !spec.isService && !(job.accepted.spec.occurrences > 0 && !step.isReady)
                && fitsAnyWorker(state, job.accepted.queue.pool, spec)) {
                waiting.push_back({detail::servingRankOf(state, job, step, spec, now),
                                   detail::coresOf(spec) * static_cast<double>(tasks),
                                   detail::coreSecondsOf(spec) * static_cast<double>(tasks),
                                   step.isReady ? 0ms : occurrence.steps.front().criticalPath - step.criticalPath,
                                   {spec.size, tasks, spec.isGang, allowedShare}});
            }
        }
    }
}

/// Cores that services hold on workers, which do no other work.
void deductServices(const job_state &job, cell_backlog &backlog)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &spec = job.accepted.spec.steps[index];
            if (!spec.isService || spec.isBestEffort) {
                continue;
            }
            const auto running = std::ranges::count_if(occurrence.steps[index].tasks,
                                                       [](const task_state &task) { return !task.runs.empty(); });
            const auto cores = static_cast<double>(running * spec.size.milliCores) / milliCoresPerCore;
            auto &capacity = backlog.pools[job.accepted.queue.pool].capacity;
            capacity.offered -= cores;
            capacity.usable -= cores;
        }
    }
}

} // namespace

cell_backlog backlogOf(const cell_state &state, instant now)
{
    cell_backlog result;
    result.at = now;
    for (const auto &[id, worker] : state.workers) {
        const auto cores = static_cast<double>(worker.description.capacity.milliCores) / milliCoresPerCore;
        if (worker.isListed && !worker.description.isDraining && worker.health.quarantinedUntil <= now) {
            auto &capacity = result.pools[worker.description.pool].capacity;
            capacity.offered += cores;
            if (detail::mayStartOn(state, worker, now)) {
                capacity.usable += cores;
                const auto free = detail::freeCapacity(worker);
                capacity.free += static_cast<double>(free.milliCores) / milliCoresPerCore;
                if (free.milliCores > 0) {
                    result.pools[worker.description.pool].room.push_back(free);
                }
            }
        }
    }
    for (const auto &[id, job] : state.jobs) {
        if (!detail::isAborted(job)) {
            addWaitingWork(state, job, result, now);
            deductServices(job, result);
        }
    }
    return result;
}

std::optional<job_outlook> outlookOf(const cell_state &state, const accepted_job &accepted, instant now)
{
    const bool canRun = std::ranges::all_of(
        accepted.spec.steps, [&](const step_spec &spec) { return fitsAnyWorker(state, accepted.queue.pool, spec); });
    if (!isJudged(accepted.spec) || accepted.spec.steps.empty() || !canRun) {
        return std::nullopt;
    }
    const auto job = detail::makeJob(state, {accepted, {}, 0, false}, now);
    const auto &first = job.occurrences.begin()->second.steps.front();
    job_outlook result;
    result.pool = accepted.queue.pool;
    result.request.id = accepted.id;
    const auto longest = detail::longestTimes(state, job);
    result.request.objective = longest.objective;
    result.request.criticalPath = longest.criticalPath;
    const auto &firstStep = accepted.spec.steps.front();
    result.work.tasks = {firstStep.size, firstStep.count, firstStep.isGang, allowedShareOf(state, accepted.queue)};
    result.work.rank = detail::servingRankOf(state, job, first, firstStep, now);
    result.work.cores = detail::coresOf(firstStep) * firstStep.count;
    for (const auto &spec : accepted.spec.steps) {
        result.work.coreSeconds += detail::coreSecondsOf(spec) * static_cast<double>(spec.count);
    }
    return result;
}

bool hasRoomNow(const cell_backlog &backlog, const job_outlook &job)
{
    const auto pool = backlog.pools.find(job.pool);
    if (pool == backlog.pools.end()) {
        return false;
    }
    std::vector<const waiting_work *> before;
    for (const auto &each : pool->second.waiting) {
        if (each.rank <= job.work.rank && each.readyIn == 0ms) {
            before.push_back(&each);
        }
    }
    std::ranges::sort(before, [](const auto *left, const auto *right) { return left->rank < right->rank; });
    auto room = pool->second.room;
    std::ranges::for_each(before, [&room](const waiting_work *each) { takeRoomFor(room, each->tasks); });
    return takeRoom(room, job.work.tasks.size, job.work.tasks.count) == job.work.tasks.count;
}

work_ahead workAheadOf(const cell_state &state, const cell_backlog &backlog, const job_outlook &job, instant now)
{
    work_ahead result;
    const auto pool = backlog.pools.find(job.pool);
    if (pool == backlog.pools.end()) {
        return result;
    }
    const auto inTime = [](serving_rank rank) {
        rank.isLate = false;
        return rank;
    };
    const auto own = inTime(job.work.rank);
    double laterSeconds = 0; // of all later work, weighted by its amount
    for (const auto &each : pool->second.waiting) {
        if (inTime(each.rank) <= own) {
            const bool isLater = each.readyIn > 0ms;
            result.cores += isLater ? 0 : each.cores;
            result.coreSeconds += isLater ? 0 : each.coreSeconds;
            result.laterCoreSeconds += isLater ? each.coreSeconds : 0;
            laterSeconds += each.coreSeconds * std::chrono::duration<double>(each.readyIn).count();
        }
    }
    if (result.laterCoreSeconds > 0) {
        const std::chrono::duration<double> mean(laterSeconds / result.laterCoreSeconds);
        result.laterIn = std::chrono::duration_cast<std::chrono::milliseconds>(mean);
    }
    result.cores += job.work.cores;
    result.freeCores = pool->second.capacity.free;
    const auto found = state.rates.find(job.pool);
    const auto &rates = found == state.rates.end() ? pool_rates {} : found->second;
    result.rate = rateFor(rates, own.priority, std::max(pool->second.capacity.offered, 0.0), now);
    result.freedCores = freedCoresFor(rates, own.priority, now);
    return result;
}

} // namespace primrosecroft
