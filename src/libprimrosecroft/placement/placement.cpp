#include "placement/placement.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace primrosecroft
{

namespace
{

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

/// Share of the tightest resource that stays free after the task is placed; small packs well.
double leftover(const cell_worker &worker, const resources &size)
{
    return std::min(fraction(worker.free.milliCores - size.milliCores, worker.total.milliCores),
                    fraction(worker.free.memoryMib - size.memoryMib, worker.total.memoryMib));
}

/// How far cores and memory that stay free are out of proportion.
double imbalance(const cell_worker &worker, const resources &size)
{
    return std::abs(fraction(worker.free.milliCores - size.milliCores, worker.total.milliCores)
                    - fraction(worker.free.memoryMib - size.memoryMib, worker.total.memoryMib));
}

/// Accelerators that a task without need of them would leave stranded.
double stranded(const cell_worker &worker, const resources &size)
{
    return size.accelerators == 0 && worker.total.accelerators > 0 ? 1.0 : 0.0;
}

resources roomFor(const cell_worker &worker, const placement_request &request)
{
    auto room = worker.free;
    if (!request.usesHeld) {
        room -= worker.held;
    }
    return room;
}

std::int32_t countIn(const std::map<std::string, std::int32_t> *counts, const std::string &key)
{
    if (counts == nullptr) {
        return 0;
    }
    const auto found = counts->find(key);
    return found == counts->end() ? 0 : found->second;
}

double cost(const cell_worker &worker, const placement_request &request, const placement_policy &policy)
{
    return policy.strandingWeight * stranded(worker, request.size)
        + policy.packingWeight * leftover(worker, request.size) + policy.balanceWeight * imbalance(worker, request.size)
        + policy.spreadWeight * countIn(request.tasksByRack, worker.rack);
}

} // namespace

instant placeInQueue(instant arrival, std::chrono::milliseconds declaredRunTime, const placement_policy &policy)
{
    const auto counted = std::chrono::duration<double>(std::min(declaredRunTime, longestHeadStart));
    return arrival + std::chrono::duration_cast<duration>(counted * policy.shortFirst);
}

std::optional<worker_id> chooseWorker(const cell &workers, const placement_request &request,
                                      const placement_policy &policy)
{
    const auto usable = [&request](const cell_worker &worker) {
        return worker.schedulable && (request.mayProbe || !worker.onProbation)
            && fits(request.size, roomFor(worker, request)) && countIn(request.avoided, worker.id) == 0;
    };
    std::optional<worker_id> best;
    double bestCost = 0;
    for (const auto &worker : workers | std::views::values | std::views::filter(usable)) {
        const auto workerCost = cost(worker, request, policy);
        if (!best || workerCost < bestCost) {
            best = worker.id;
            bestCost = workerCost;
        }
    }
    return best;
}

bool couldEverFit(const cell &workers, const resources &size)
{
    return std::ranges::any_of(workers | std::views::values,
                               [&size](const cell_worker &worker) { return fits(size, worker.total); });
}

} // namespace primrosecroft
