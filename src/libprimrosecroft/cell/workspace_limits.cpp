#include "cell/detail/workspace_limits.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto maxClockDifference = 5s; ///< by which an earlier owner's time of day may have been ahead
constexpr auto limitReportInterval = 10s; ///< between two reports that the same workspace is at its limit

/// The policy under which tasks of the workspace start. Returns nullptr if it has none.
const workspace_policy *policyOf(const cell_state &state, const workspace_name &name)
{
    const auto found = name.empty() ? state.workspaces.end() : state.workspaces.find(name);
    return found == state.workspaces.end() ? nullptr : &found->second;
}

bool mayRunSinceEarlierOwner(const cell_state &state, const job_state &job)
{
    return job.version != 0 && job.version < state.takeOver.token && !state.unreconciledWorkers.empty();
}

/// Runs of one task that may exist at the same time. Those of a task that is done may still be ending.
std::int32_t mostRuns(const step_spec &spec, bool isDone)
{
    const std::int32_t copies = spec.allowsCopies ? 1 : 0;
    const std::int32_t members = spec.isGang ? 1 : 0; // the end of one member ends the gang in the store
    return isDone ? std::max(copies, members) : 1 + copies;
}

/// Counts all tasks of occurrences that aren't known in detail here.
void countUnseenOccurrences(cell_state &state, const job_state &job, std::int64_t occurrences, bool areDone)
{
    for (const auto &spec : job.accepted.spec.steps) {
        addUnseen(state.usage, job.accepted.workspace, spec, occurrences * spec.count * mostRuns(spec, areDone));
    }
}

/// The occurrences that an earlier owner may have begun beyond those that are known here.
std::int64_t mostBegunUnknown(const cell_state &state, const job_state &job)
{
    const auto &spec = job.accepted.spec;
    const auto due = (state.timeOfDay + maxClockDifference - spec.firstDue) / std::max(spec.interval, 1ms) + 1;
    const std::int64_t left = spec.occurrences - job.nextOccurrence;
    return std::clamp<std::int64_t>(due - job.nextOccurrence, std::min<std::int64_t>(left, 1), left);
}

resources highestOf(const resources &left, const resources &right)
{
    return {std::max(left.milliCores, right.milliCores), std::max(left.memoryMib, right.memoryMib),
            std::max(left.accelerators, right.accelerators)};
}

/// The largest capacity of the workers of each pool. A worker may have shrunk since an earlier owner used it.
std::map<std::string, resources> largestByPool(const cell_state &state)
{
    std::map<std::string, resources> result;
    for (const auto &worker : std::views::values(state.workers)) {
        auto &largest = result[worker.description.pool];
        largest = highestOf(largest, worker.description.capacity);
    }
    return result;
}

/// The largest capacity of the workers of any pool.
resources largestOfAll(const std::map<std::string, resources> &largest)
{
    resources result;
    for (const auto &each : std::views::values(largest)) {
        result = highestOf(result, each);
    }
    return result;
}

/// Most that runs which no list has shown may hold on the worker.
resources unshownCapacity(const worker_state &worker, const std::map<std::string, resources> &largest)
{
    auto result = largest.at(worker.description.pool);
    result -= worker.used;
    return highestOf(result, {});
}

/// When the job reached the system, on the store's clock, which all owners share.
std::chrono::milliseconds sentAt(const cell_state &state, const accepted_job &job)
{
    return job.acceptedAt > 0ms ? job.acceptedAt : state.storeTime;
}

std::string figure(const char *name, std::int64_t used, std::int64_t limit)
{
    return limit > 0 ? std::string(" ") + name + " " + std::to_string(used) + " of " + std::to_string(limit) : "";
}

} // namespace

void countUnseen(cell_state &state, job_state &job, std::int32_t number)
{
    if (job.accepted.workspace.empty() || !mayRunSinceEarlierOwner(state, job)) {
        return;
    }
    auto &occurrence = job.occurrences.at(number);
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const auto &spec = job.accepted.spec.steps[index];
        std::int64_t runs = 0;
        for (auto &task : occurrence.steps[index].tasks) {
            task.unseenRuns = mostRuns(spec, task.isDone);
            runs += task.unseenRuns;
        }
        addUnseen(state.usage, job.accepted.workspace, spec, runs);
    }
}

void countUnseenOthers(cell_state &state, const job_state &job)
{
    if (job.accepted.workspace.empty() || !mayRunSinceEarlierOwner(state, job)) {
        return;
    }
    countUnseenOccurrences(state, job, countOf(job.completeOccurrences), true);
    countUnseenOccurrences(state, job, mostBegunUnknown(state, job), false);
}

void countAsSeen(cell_state &state, const task_view &view)
{
    if (view.task->unseenRuns == 0) {
        return;
    }
    --view.task->unseenRuns;
    if (!state.unreconciledWorkers.empty()) {
        addUnseen(state.usage, view.job->accepted.workspace, *view.spec, -1);
    }
}

void updateUnseenBounds(cell_state &state)
{
    auto &usage = state.usage;
    if (state.unreconciledWorkers.empty()) {
        forgetUnseen(usage);
    }
    usage.untoldCapacity = resources {};
    usage.foreignCapacity = {};
    const bool hasForeign = std::ranges::any_of(std::views::values(state.workers),
                                                [](const worker_state &worker) { return !worker.unknownRuns.empty(); });
    if (state.workspaces.empty() || (state.unreconciledWorkers.empty() && !hasForeign)) {
        return;
    }
    const auto largest = largestByPool(state);
    for (const auto &worker : std::views::values(state.workers)) {
        if (!worker.unknownRuns.empty()) {
            usage.foreignCapacity += unshownCapacity(worker, largest);
        }
    }
    for (const auto &id : state.unreconciledWorkers) {
        const auto worker = state.workers.find(id);
        if (worker == state.workers.end() && largest.empty()) {
            usage.untoldCapacity.reset(); // nothing tells how large it is
            return;
        }
        if (worker == state.workers.end()) {
            *usage.untoldCapacity += largestOfAll(largest); // it has left, or isn't listed yet
        } else if (worker->second.unknownRuns.empty()) {
            *usage.untoldCapacity += unshownCapacity(worker->second, largest);
        }
    }
}

bool hasLimit(const cell_state &state, const workspace_name &name)
{
    const auto *policy = policyOf(state, name);
    return policy != nullptr && policy->limit != resources {};
}

std::int64_t startableTasks(const cell_state &state, const job_state &job, const step_spec &spec)
{
    const auto &name = job.accepted.workspace;
    if (name.empty()) {
        return std::numeric_limits<std::int64_t>::max();
    }
    if (!state.areWorkspacesKnown) {
        return 0;
    }
    const auto *policy = policyOf(state, name);
    return policy == nullptr ? std::numeric_limits<std::int64_t>::max()
                             : startableTasks(state.usage, name, *policy, spec);
}

std::int64_t concurrentTasks(const cell_state &state, const accepted_job &job, const step_spec &spec)
{
    const auto *policy = policyOf(state, job.workspace);
    return policy == nullptr ? spec.count : concurrentTasks(*policy, spec);
}

bool isBeyondRate(const cell_state &state, const accepted_job &job)
{
    const auto *policy = policyOf(state, job.workspace);
    return policy != nullptr && !isWithinRate(state.workspaceRates, job.workspace, *policy, sentAt(state, job));
}

void countWithinRate(cell_state &state, const accepted_job &job)
{
    if (const auto *policy = policyOf(state, job.workspace)) {
        noteWithinRate(state.workspaceRates, job.workspace, *policy, sentAt(state, job));
    }
}

void reportLimit(cell_state &state, const waiting_step &waiting, instant now, cell_actions &actions)
{
    const auto &name = waiting.job->accepted.workspace;
    auto &next = state.nextLimitReports[name];
    const auto *policy = policyOf(state, name);
    if (policy == nullptr || now < next) {
        return;
    }
    next = now + limitReportInterval;
    actions.emplace_back(report_limit_reached {name, waiting.ref(), waiting.step->pendingTasks.size(),
                                               countedSize(*waiting.spec), state.usage.loads[name].running,
                                               mostInUse(state.usage, name), policy->limit});
}

std::string explainLimit(const cell_state &state, const job_state &job, const step_spec &spec)
{
    const auto &name = job.accepted.workspace;
    if (startableTasks(state, job, spec) > 0) {
        return "";
    }
    const auto *policy = policyOf(state, name);
    if (policy == nullptr) {
        return ", the limit of its workspace isn't known yet";
    }
    if (!canEverRun(*policy, spec)) {
        return ", larger than the limit of workspace " + name + " by itself";
    }
    const auto used = mostInUse(state.usage, name);
    return ", over the limit of workspace " + name + ":"
        + figure("milli-cores", used.milliCores, policy->limit.milliCores)
        + figure("MiB", used.memoryMib, policy->limit.memoryMib)
        + figure("accelerators", used.accelerators, policy->limit.accelerators)
        + (used == state.usage.loads.at(name).running ? "" : ", with what may run unseen");
}

} // namespace primrosecroft::detail
