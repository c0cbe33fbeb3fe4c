#include "workspaces/workspace_usage.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

resources lowerOf(const resources &left, const resources &right)
{
    return {std::min(left.milliCores, right.milliCores), std::min(left.memoryMib, right.memoryMib),
            std::min(left.accelerators, right.accelerators)};
}

/// Number of amounts @p size, up to @p most, that fit between @p used and @p limit. A limit of 0 is none, and what
/// needs nothing of a kind passes no limit of it.
std::int64_t countWithin(std::int64_t size, std::int64_t used, std::int64_t limit, std::int64_t most)
{
    if (limit <= 0 || size <= 0) {
        return most;
    }
    return std::clamp<std::int64_t>((limit - used) / size, 0, most);
}

std::int64_t countWithin(const step_spec &step, const resources &used, const resources &limit)
{
    const auto size = countedSize(step);
    std::int64_t result = step.count;
    result = countWithin(size.milliCores, used.milliCores, limit.milliCores, result);
    result = countWithin(size.memoryMib, used.memoryMib, limit.memoryMib, result);
    result = countWithin(size.accelerators, used.accelerators, limit.accelerators, result);
    return step.isGang && result < step.count ? 0 : result;
}

} // namespace

resources countedSize(const step_spec &step)
{
    return step.size;
}

void addRun(workspace_usage &usage, const workspace_name &name, const resources &size)
{
    if (name.empty()) {
        return;
    }
    auto &load = usage.loads[name];
    load.running += size;
    ++load.runs;
}

void removeRun(workspace_usage &usage, const workspace_name &name, const resources &size)
{
    if (name.empty()) {
        return;
    }
    auto &load = usage.loads[name];
    load.running -= size;
    --load.runs;
}

void addUnseen(workspace_usage &usage, const workspace_name &name, const step_spec &step, std::int64_t runs)
{
    if (name.empty() || runs == 0) {
        return;
    }
    auto &load = usage.loads[name];
    const auto size = countedSize(step);
    load.unseen.memoryMib += size.memoryMib * runs;
    load.unseen.accelerators += size.accelerators * runs;
    (step.isBestEffort ? load.unseenBestEffortCores : load.unseen.milliCores) += size.milliCores * runs;
}

void forgetUnseen(workspace_usage &usage)
{
    for (auto &[name, load] : usage.loads) {
        load.unseen = {};
        load.unseenBestEffortCores = 0;
    }
}

resources mostInUse(const workspace_usage &usage, const workspace_name &name)
{
    auto result = usage.foreignCapacity;
    const auto found = usage.loads.find(name);
    if (found == usage.loads.end()) {
        return result;
    }
    const auto &load = found->second;
    result += load.running;
    result += usage.untoldCapacity ? lowerOf(load.unseen, *usage.untoldCapacity) : load.unseen;
    result.milliCores += load.unseenBestEffortCores;
    return result;
}

std::int64_t startableTasks(const workspace_usage &usage, const workspace_name &name, const workspace_policy &policy,
                            const step_spec &step)
{
    return countWithin(step, mostInUse(usage, name), policy.limit);
}

std::int64_t concurrentTasks(const workspace_policy &policy, const step_spec &step)
{
    return countWithin(step, {}, policy.limit);
}

bool canEverRun(const workspace_policy &policy, const step_spec &step)
{
    return concurrentTasks(policy, step) > 0;
}

} // namespace primrosecroft
