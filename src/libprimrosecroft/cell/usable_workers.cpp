#include "cell/detail/usable_workers.h"

#include "cell/detail/cell_parts.h"
#include "cell/detail/trials.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

usable_worker describe(worker_state &worker)
{
    const auto available = freeCapacity(worker);
    return {&worker,
            available,
            available.milliCores - worker.bestEffortCores,
            worker.latencySensitiveCount > 0,
            hasSurvivedAll(worker),
            isInTrial(worker)};
}

bool isEligible(const waiting_step &waiting, const worker_description &worker)
{
    return worker.pool == waiting.job->accepted.queue.pool
        && (waiting.spec->failureDomain.empty() || waiting.spec->failureDomain == worker.failureDomain)
        && (waiting.spec->label.empty()
            || std::ranges::find(worker.labels, waiting.spec->label) != worker.labels.end());
}

bool fits(std::int64_t needed, std::int64_t offered)
{
    return needed <= 0 || offered >= needed;
}

/// Returns whether the worker has capacity for one task of the step.
bool fitsOn(const usable_worker &worker, const step_spec &spec)
{
    return !worker.isInTrial
        && fits(spec.size.milliCores, spec.isBestEffort ? worker.unclaimedCores : worker.available.milliCores)
        && fits(spec.size.memoryMib, worker.available.memoryMib)
        && fits(spec.size.accelerators, worker.available.accelerators)
        && !(spec.isBestEffort && worker.hasLatencySensitive);
}

/// Returns whether a task of @p spec needs at least as much of everything as one of @p other.
bool needsNoLess(const step_spec &spec, const step_spec &other)
{
    return spec.isBestEffort == other.isBestEffort && spec.size.milliCores >= other.size.milliCores
        && spec.size.memoryMib >= other.size.memoryMib && spec.size.accelerators >= other.size.accelerators;
}

} // namespace

std::int32_t capacityFor(const step_spec &spec, const usable_worker &worker, std::int32_t tasksOfStep)
{
    if (!fitsOn(worker, spec)) {
        return 0;
    }
    auto count = static_cast<std::int64_t>(maxTasksPerStep);
    const auto limit = [&count](std::int64_t offered, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, offered / needed);
        }
    };
    limit(spec.isBestEffort ? worker.unclaimedCores : worker.available.milliCores, spec.size.milliCores);
    limit(worker.available.memoryMib, spec.size.memoryMib);
    limit(worker.available.accelerators, spec.size.accelerators);
    if (spec.maxPerWorker > 0) {
        count = std::min<std::int64_t>(count, std::max(0, spec.maxPerWorker - tasksOfStep));
    }
    if (spec.isBestEffort && spec.targetLatency.count() > 0) {
        count = std::min<std::int64_t>(count, 1); // its first task there would be slowed down by the others
    }
    return static_cast<std::int32_t>(count);
}

usable_workers::usable_workers(cell_state &state, instant now)
{
    m_workers.reserve(state.workers.size());
    for (auto &[id, worker] : state.workers) {
        if (mayStartOn(state, worker, now)) {
            m_workers.push_back(describe(worker));
        }
    }
    m_positions.reserve(m_workers.size());
    for (position each = 0; each < m_workers.size(); ++each) {
        m_positions.emplace(m_workers[each].worker->description.id, each);
    }
}

std::size_t usable_workers::size() const
{
    return m_workers.size();
}

const usable_worker &usable_workers::at(position worker) const
{
    return m_workers[worker];
}

std::optional<usable_workers::position> usable_workers::find(const worker_id &id) const
{
    const auto found = m_positions.find(id);
    return found == m_positions.end() ? std::nullopt : std::optional(found->second);
}

usable_workers::group &usable_workers::groupOf(const waiting_step &waiting)
{
    const auto &spec = *waiting.spec;
    const auto [found, isNew] =
        m_groups.try_emplace({waiting.job->accepted.queue.pool, spec.failureDomain, spec.label});
    auto &result = found->second;
    if (!isNew) {
        return result;
    }
    result.isMember.resize(m_workers.size());
    for (position each = 0; each < m_workers.size(); ++each) {
        if (isEligible(waiting, m_workers[each].worker->description)) {
            result.workers.push_back(each);
            result.isMember[each] = true;
        }
    }
    return result;
}

bool usable_workers::mayFit(group &workers, const step_spec &spec) const
{
    if (std::ranges::any_of(workers.unmet, [&](const step_spec &each) { return needsNoLess(spec, each); })) {
        return false;
    }
    if (std::ranges::any_of(workers.workers, [&](position each) { return fitsOn(m_workers[each], spec); })) {
        return true;
    }
    workers.unmet.push_back(spec);
    return false;
}

void usable_workers::refresh(position worker)
{
    m_workers[worker] = describe(*m_workers[worker].worker);
}

std::vector<std::int32_t> usable_workers::countRuns(const step_state &step) const
{
    std::vector<std::int32_t> result(m_workers.size());
    for (const auto &task : step.tasks) {
        for (const auto &run : task.runs) {
            if (const auto worker = find(run.worker)) {
                ++result[*worker];
            }
        }
    }
    return result;
}

} // namespace primrosecroft::detail
