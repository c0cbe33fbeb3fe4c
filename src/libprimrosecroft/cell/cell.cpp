#include "cell/cell.h"

#include "cell/detail/cell_parts.h"
#include "cell/detail/worker_loss.h"
#include "cell/detail/workspace_limits.h"
#include "core/contains.h"
#include "core/overloaded.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using namespace detail;

constexpr auto inDoubtMargin = 100ms; ///< covers rounding in clocks and deadlines

/// What tasks that wait need of a worker: its pool, its label, cores, memory and accelerators.
using waiting_size = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t>;

waiting_size sizeOf(const job_state &job, const step_state &step, const occurrence_state &occurrence)
{
    const auto &spec = job.accepted.spec.steps[static_cast<std::size_t>(&step - occurrence.steps.data())];
    return {job.accepted.queue.pool, spec.label, spec.isBestEffort ? 0 : spec.size.milliCores, spec.size.memoryMib,
            spec.size.accelerators};
}

bool mayTake(const worker_state &worker, const resources &available, const waiting_size &size)
{
    const auto &[pool, label, milliCores, memoryMib, accelerators] = size;
    return worker.description.pool == pool && (label.empty() || contains(worker.description.labels, label))
        && primrosecroft::fits({milliCores, memoryMib, accelerators}, available);
}

} // namespace

cell_state makeCell(const cell_settings &settings, const cell_take_over &takeOver)
{
    cell_state state;
    state.settings = settings;
    state.takeOver = takeOver;
    state.contactedWorkers = takeOver.contactedWorkers;
    state.unreconciledWorkers = takeOver.contactedWorkers;
    state.commitSequence = takeOver.commitSequence;
    // Leases are measured on the workers' clocks, so they last longest on the slowest clock.
    state.inDoubtUntil =
        takeOver.takenAt + std::chrono::duration_cast<duration>(settings.maxLease / minClockRate) + inDoubtMargin;
    return state;
}

void step(cell_state &state, const cell_message &message, instant now, std::vector<cell_action> &actions)
{
    std::visit(overloaded {
                   [&](const worker_listed &listed) { updateWorker(state, listed.worker, now, actions); },
                   [&](const worker_unlisted &unlisted) { unlistWorker(state, unlisted.id, actions); },
                   [&](const job_arrived &job) { addJob(state, job, now); },
                   [&](const job_cancelled &job) { cancelJob(state, job.id, now, actions); },
                   [&](const start_answered &answer) { handleStartAnswer(state, answer, now, actions); },
                   [&](const stop_answered &answer) { handleStopAnswer(state, answer, now); },
                   [&](const list_answered &answer) { handleListAnswer(state, answer, now, actions); },
                   [&](const advice_answered &answer) { handleAdviceAnswer(state, answer, now); },
                   [&](const commit_answered &answer) { handleCommitAnswer(state, answer, now, actions); },
                   [&](const ownership_confirmed &confirmed) {
                       state.confirmedAt = std::max(state.confirmedAt, confirmed.sentAt);
                       state.confirmedVersion = std::max(state.confirmedVersion, confirmed.version);
                   },
                   [&](const rules_updated &updated) { state.rules = updated.rules; },
                   [&](const workspaces_updated &updated) { updateWorkspaces(state, updated.workspaces); },
                   [&](const clock_ticked &clock) {
                       state.timeOfDay = clock.timeOfDay;
                       state.storeTime = clock.storeTime;
                       state.adviceRoutes = clock.adviceRoutes;
                   },
               },
               message);
}

void runSchedulingPass(cell_state &state, instant now, std::vector<cell_action> &actions)
{
    expireLeases(state, now, actions);
    removeEndedJobs(state);
    for (auto &[id, job] : state.jobs) {
        if (job.accepted.spec.occurrences > 0) {
            forgetCompleteOccurrences(job);
            beginDueOccurrences(state, job, now);
        }
    }
    renewForecastsIfDue(state, now);
    superviseRuns(state, now, actions);
    placeTasks(state, now, actions);
    requestLists(state, now, actions);
    commitChanges(state, now, actions);
}

std::map<queue_name, std::int64_t> waitingJobs(const cell_state &state)
{
    std::map<queue_name, std::int64_t> result;
    for (const auto &[id, job] : state.jobs) {
        if (!job.hasStarted && !job.isCancelled && !job.hasFailed) {
            ++result[job.accepted.queue.name];
        }
    }
    return result;
}

std::optional<job_status> statusOf(const cell_state &state, const job_id &id)
{
    if (const auto ended = state.finishedJobs.find(id); ended != state.finishedJobs.end()) {
        return ended->second;
    }
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        return std::nullopt;
    }
    if (found->second.isCancelled) {
        return job_status::cancelled;
    }
    return found->second.hasStarted ? job_status::running : job_status::queued;
}

std::vector<task_location> taskLocations(const cell_state &state, const job_id &id)
{
    std::vector<task_location> result;
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || found->second.occurrences.empty()) {
        return result;
    }
    for (const auto &each : found->second.occurrences.begin()->second.steps) {
        for (const auto &task : each.tasks) {
            task_location location;
            location.index = static_cast<std::int32_t>(result.size());
            if (task.isDone) {
                location.state = "done";
            } else if (task.runs.empty()) {
                location.state = "waiting";
            } else {
                location.state = task.runs.front().phase == run_phase::running ? "running" : "starting";
                location.worker = task.runs.front().worker;
            }
            result.push_back(location);
        }
    }
    return result;
}

cell_summary summarize(const cell_state &state, instant now)
{
    cell_summary result;
    result.jobs = state.jobs.size();
    result.workers = state.workers.size();
    result.unreconciled = state.unreconciledWorkers.size();
    std::set<waiting_size> waiting;
    std::set<workspace_name> overLimit;
    for (const auto &[id, job] : state.jobs) {
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const auto &each : occurrence.steps) {
                result.stepsAwaitingAdvice += each.advice.isRequestPending ? 1 : 0;
                if (each.isReady && !each.pendingTasks.empty() && !occurrence.isComplete) {
                    ++result.waitingSteps;
                    result.waitingTasks += each.pendingTasks.size();
                    waiting.insert(sizeOf(job, each, occurrence));
                    const auto index = static_cast<std::size_t>(&each - occurrence.steps.data());
                    if (startableTasks(state, job, job.accepted.spec.steps[index]) == 0) {
                        ++result.stepsOverLimit;
                        overLimit.insert(job.accepted.workspace);
                    }
                }
            }
        }
    }
    result.workspacesOverLimit = overLimit.size();
    for (const auto &[id, worker] : state.workers) {
        result.usedCores += worker.used.milliCores;
        if (mayStartOn(state, worker, now)) {
            ++result.usable;
            result.offeredCores += worker.description.capacity.milliCores;
            const auto available = freeCapacity(worker);
            result.freeCores += available.milliCores;
            result.largestFree = std::max(result.largestFree, available.milliCores);
            const bool isUseful = std::ranges::any_of(
                waiting, [&](const waiting_size &each) { return mayTake(worker, available, each); });
            result.strandedCores += waiting.empty() || isUseful ? 0 : available.milliCores;
        }
    }
    return result;
}

std::string explainWaiting(const cell_state &state, const job_id &id, instant now)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end()) {
        return "not known here";
    }
    const auto &job = found->second;
    const auto usable = std::ranges::count_if(state.workers, [&](const auto &each) {
        return each.second.description.pool == job.accepted.queue.pool && mayStartOn(state, each.second, now);
    });
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &each = occurrence.steps[index];
            if (!each.isReady || each.pendingTasks.empty()) {
                continue;
            }
            const auto suspects = std::ranges::count_if(each.pendingTasks, [&](std::int32_t task) {
                return isSuspect(state, each.tasks[static_cast<std::size_t>(task)]);
            });
            const auto avoiding = std::ranges::count_if(each.pendingTasks, [&](std::int32_t task) {
                return !each.tasks[static_cast<std::size_t>(task)].avoidedWorkers.empty();
            });
            const auto allowed = std::ranges::count_if(each.advice.workers,
                                                       [](const auto &advised) { return advised.second.isAllowed; });
            return "occurrence " + std::to_string(number) + " step " + std::to_string(index) + ": "
                + std::to_string(each.pendingTasks.size()) + " tasks wait, " + std::to_string(usable)
                + " workers usable, "
                + (job.accepted.queue.advice ? std::to_string(allowed) + " known to be allowed" : "all allowed")
                + (suspects > 0 ? ", " + std::to_string(suspects) + " may crash their workers and start only alone"
                                : "")
                + (avoiding > 0 ? ", " + std::to_string(avoiding) + " avoid workers on which they failed" : "")
                + explainLimit(state, job, job.accepted.spec.steps[index])
                + (each.advice.isRequestPending ? ", a request for advice is pending" : "")
                + (now < state.inDoubtUntil && (!state.unreconciledWorkers.empty() || state.areContactedWorkersUnknown)
                       ? ", leases of an earlier owner may still be in force"
                       : "");
        }
    }
    return "nothing waits";
}

namespace detail
{

std::optional<task_view> findTask(cell_state &state, const task_ref &ref)
{
    const auto job = state.jobs.find(ref.job);
    if (job == state.jobs.end()) {
        return std::nullopt;
    }
    const auto occurrence = job->second.occurrences.find(ref.occurrence);
    if (occurrence == job->second.occurrences.end() || ref.step < 0
        || static_cast<std::size_t>(ref.step) >= occurrence->second.steps.size()) {
        return std::nullopt;
    }
    auto &step = occurrence->second.steps[static_cast<std::size_t>(ref.step)];
    if (ref.index < 0 || static_cast<std::size_t>(ref.index) >= step.tasks.size()) {
        return std::nullopt;
    }
    return task_view {&job->second, &occurrence->second, &step,
                      &job->second.accepted.spec.steps[static_cast<std::size_t>(ref.step)],
                      &step.tasks[static_cast<std::size_t>(ref.index)]};
}

task_run *findRun(task_state &task, const worker_id &worker, std::uint32_t attempt)
{
    const auto found = std::ranges::find_if(
        task.runs, [&](const task_run &run) { return run.attempt == attempt && run.worker == worker; });
    return found == task.runs.end() ? nullptr : &*found;
}

} // namespace detail

} // namespace primrosecroft
