#include "cell/detail/cell_parts.h"

#include <algorithm>
#include <ranges>

/// The state of workers: their leases, their runs and reservations, and the outcomes of orders sent to them.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto leaseMargin = 50ms; ///< covers rounding, and the time that a worker needs to end expired runs
constexpr auto listPause = 35ms; ///< ends within this time are listed together
constexpr auto listRetryDelay = 150ms; ///< pause after a list request that failed
constexpr auto listTimeout = 700ms; ///< in addition to the wait that the request asks for
constexpr auto firstListRetryDelay =
    20ms; ///< short, because jobs of an earlier owner may wait for the worker's first list
constexpr auto firstListTimeout = 350ms; ///< several times the round trip to another region
constexpr auto listWait = 700ms; ///< a worker waits up to this long for an end; each list request extends the lease
constexpr auto idleListInterval = 900ms; ///< for a worker on which nothing runs
constexpr auto unlistedListInterval = 500ms; ///< for a worker that the platform does not list
constexpr auto contactTimeout = 2'500ms; ///< a worker without a list for this long gets no new tasks
constexpr auto maxStopTime = 1'000ms; ///< for a run to stop; the platform's own bounds are 200 and 400 ms
constexpr auto stopRetryDelay = 300ms;
constexpr auto unhealthyPause = 1'000ms; ///< a worker that refused work as unhealthy gets no tasks for this long
constexpr auto crashLoopTime = 1'500ms; ///< a service task that fails sooner is restarted after crashPause
constexpr auto crashPause = 1'000ms;
constexpr std::size_t maxEndsPerList = 500; ///< a list with this many ends may be incomplete
constexpr auto minQuarantine = 4'000ms;
constexpr auto maxQuarantine = 60'000ms;
constexpr std::size_t jobsBeforeQuarantine = 2; ///< different jobs whose tasks failed there without a success between

/// Failed tasks quarantine a worker only while fewer than this share of all workers, or none, are quarantined.
constexpr double maxQuarantinedShare = 0.25;

constexpr double slownessWeight = 0.2; ///< weight of the newest run in the smoothed value
constexpr auto minMeasuredTime = 200ms; ///< shorter runs do not indicate a worker's speed

/// Lower bound of the worker's clock at the moment @p at, for a clock that runs at minClockRate to full speed.
worker_time earliestWorkerTime(const clock_sample &sample, instant at)
{
    const auto since = std::chrono::duration_cast<worker_time>(at - sample.receivedAt);
    return sample.clock
        + (since.count() >= 0
               ? worker_time(static_cast<std::int64_t>(static_cast<double>(since.count()) * minClockRate))
               : since);
}

/// The latest moment at which the worker's clock passes @p deadline, for a clock that runs at minClockRate or faster.
instant latestInstantOf(const clock_sample &sample, worker_time deadline)
{
    const auto left = std::max(worker_time(0), deadline - sample.clock);
    return sample.receivedAt + std::chrono::duration_cast<duration>(left / minClockRate) + leaseMargin;
}

void release(worker_state &worker, const run_id &run)
{
    const auto found = worker.reservations.find(run);
    if (found != worker.reservations.end()) {
        const auto &held = found->second;
        worker.used -= held.size;
        worker.latencySensitiveCount -= held.isLatencySensitive ? 1 : 0;
        worker.bestEffortCount -= held.isBestEffort ? 1 : 0;
        worker.bestEffortCores -= held.isBestEffort ? held.declaredCores : 0;
        worker.reservations.erase(found);
    }
}

void removeRun(task_state &task, const worker_id &worker, std::uint32_t attempt)
{
    std::erase_if(task.runs, [&](const task_run &run) { return run.attempt == attempt && run.worker == worker; });
}

/// Whether a run that is over may have done some of its work.
enum class past_run
{
    mayHaveRun,
    neverRan,
};

/// Releases the reservation of a run that is over or never started, and makes its task pending again if needed.
void dropRun(cell_state &state, worker_state &worker, const run_id &run, past_run past, instant now,
             cell_actions &actions)
{
    release(worker, run);
    if (const auto view = findTask(state, run.task)) {
        removeRun(*view->task, worker.description.id, run.attempt);
        if (view->spec->isAtMostOnce && past == past_run::mayHaveRun) {
            failLostTask(state, *view, now, actions);
        }
        requeueTask(state, run.task, *view, now);
    }
}

/// Drops all runs of a worker. They are over, but the worker has not listed their ends.
void dropAllRuns(cell_state &state, worker_state &worker, instant now, cell_actions &actions, const char *reason)
{
    const auto reservations = worker.reservations;
    for (const auto &[run, held] : reservations) {
        actions.emplace_back(report_ended {run, worker.description.id, reason});
        dropRun(state, worker, run, past_run::mayHaveRun, now, actions);
    }
    worker.unknownRuns.clear();
}

void resetBootState(worker_state &worker)
{
    worker.isReconciled = false;
    worker.clock.reset();
    worker.latestDeadline = worker_time(0);
    worker.leasesEndBy = {};
    worker.processedEnd = 0;
    worker.acknowledgedEnd = 0;
}

/// Handles a restart of the worker: the runs of its previous boot are gone.
void handleBootChange(cell_state &state, worker_state &worker, worker_boot boot, instant now, cell_actions &actions)
{
    if (worker.description.boot == boot) {
        return;
    }
    actions.emplace_back(report_worker_change {worker.description.id, "restarted"});
    dropAllRuns(state, worker, now, actions, "lost with its worker");
    resetBootState(worker);
    worker.health = {};
    worker.description.boot = boot;
    worker.isListed = false; // its kind and capacity may have changed; its next entry in the platform's list has them
}

void markReconciled(cell_state &state, worker_state &worker)
{
    worker.isReconciled = true;
    state.unreconciledWorkers.erase(worker.description.id);
}

/// Returns whether jobs of an earlier owner may wait for the worker's first list under this owner.
bool isReconciliationPending(const cell_state &state, const worker_state &worker, instant now)
{
    return !worker.isReconciled && now < state.inDoubtUntil;
}

std::size_t quarantinedCount(const cell_state &state, instant now)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.workers, [now](const auto &each) { return each.second.health.quarantinedUntil > now; }));
}

void quarantine(cell_state &state, worker_state &worker, instant now, cell_actions &actions)
{
    const auto maxCount = std::max<std::size_t>(
        1, static_cast<std::size_t>(static_cast<double>(state.workers.size()) * maxQuarantinedShare));
    if (worker.health.quarantinedUntil > now || quarantinedCount(state, now) >= maxCount) {
        return;
    }
    worker.health.pause = std::clamp<std::chrono::milliseconds>(worker.health.pause * 2, minQuarantine, maxQuarantine);
    worker.health.quarantinedUntil = now + worker.health.pause;
    worker.health.failedJobs.clear();
    worker.health.stalls = 0;
    actions.emplace_back(report_worker_change {worker.description.id, "quarantined"});
}

void recordSuccess(worker_state &worker, const task_view &view, const task_run &run, instant now)
{
    worker.health.failedJobs.clear();
    worker.health.stalls = 0;
    worker.health.pause = 0ms;
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.runningSince);
    if (took >= minMeasuredTime) {
        view.step->durations.push_back(took);
    }
    if (took >= minMeasuredTime && view.spec->estimate >= minMeasuredTime && view.task->checkpoint.empty()) {
        const auto ratio =
            std::clamp(static_cast<double>(took.count()) / static_cast<double>(view.spec->estimate.count()), 0.2, 10.0);
        worker.health.slowness += (ratio - worker.health.slowness) * slownessWeight;
    }
}

void handleEnd(cell_state &state, worker_state &worker, const listed_end &end, instant now, cell_actions &actions)
{
    worker.unknownRuns.erase(end.run);
    const auto view = findTask(state, end.run.task);
    if (!view) {
        release(worker, end.run);
        return;
    }
    static constexpr std::array endNames {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    actions.emplace_back(report_ended {end.run, worker.description.id, endNames.at(static_cast<std::size_t>(end.how))});
    if (!end.checkpoint.empty() && !view->task->isDone && view->task->checkpoint != end.checkpoint) {
        view->task->checkpoint = end.checkpoint;
        markUnsaved(state, *view->job);
    }
    view->job->hasStarted = true;
    if (end.how == run_end::done) {
        if (const auto *run = findRun(*view->task, worker.description.id, end.run.attempt)) {
            recordSuccess(worker, *view, *run, now);
        }
        completeTask(state, end.run.task, *view, now, actions);
    } else if (end.how == run_end::failed && view->spec->isService) {
        // Services fail through their own faults at any time, so a failure is little sign of an unhealthy worker.
        const auto *run = findRun(*view->task, worker.description.id, end.run.attempt);
        if (run != nullptr && run->runningSince + crashLoopTime > now) {
            view->task->avoidedWorkers = {worker.description.id};
            view->task->notBefore = now + crashPause;
        }
    } else if (end.how == run_end::failed) {
        view->task->avoidedWorkers.insert(worker.description.id);
        worker.health.failedJobs.insert(end.run.task.job);
        recordTaskFailure(state, end.run, *view, now, actions);
        if (worker.health.failedJobs.size() >= jobsBeforeQuarantine) {
            quarantine(state, worker, now, actions);
        }
    }
    dropRun(state, worker, end.run, past_run::mayHaveRun, now, actions);
}

/// Adds a listed run that is not known here, because an earlier owner started it or its start was delayed. It is
/// kept if its task still needs a run, and stopped otherwise.
void adoptRun(cell_state &state, worker_state &worker, const listed_run &listed, instant now, cell_actions &actions)
{
    const auto view = findTask(state, listed.run.task);
    if (!view) {
        worker.unknownRuns.insert(listed.run);
        actions.emplace_back(
            send_stop {worker.description.id, worker.description.address, worker.description.boot, listed.run});
        return;
    }
    const bool isOver = view->task->isDone || view->job->isCancelled || view->job->hasFailed;
    const bool isWanted = !isOver && (view->task->runs.empty() || view->spec->allowsCopies);
    reserve(worker, listed.run, *view->spec);
    task_run run;
    run.worker = worker.description.id;
    run.boot = worker.description.boot;
    run.attempt = listed.run.attempt;
    run.phase = run_phase::running;
    run.sentAt = now;
    run.runningSince = now;
    run.lastProgressAt = now;
    run.isStopWanted = !isWanted;
    view->task->lastAttempt = std::max(view->task->lastAttempt, run.attempt);
    view->step->gangAttempt = std::max(view->step->gangAttempt, run.attempt);
    view->task->runs.push_back(run);
    view->job->hasStarted = true;
    std::erase(view->step->pendingTasks, listed.run.task.index);
    actions.emplace_back(report_placed {listed.run, worker.description.id, 0ms});
    sendStopIfDue(state, listed.run.task, view->task->runs.back(), now, actions);
}

void updateRun(cell_state &state, const task_view &view, task_run &run, const listed_run &listed, instant now)
{
    if (run.phase != run_phase::running) {
        run.phase = run_phase::running;
        run.runningSince = now;
    }
    if (listed.percent != run.percent || run.lastProgressAt == instant {}) {
        run.percent = listed.percent;
        run.lastProgressAt = now;
    }
    run.load = listed.load;
    if (!listed.checkpoint.empty()) {
        view.task->checkpoint = listed.checkpoint;
        if (view.spec->isGang) {
            for (auto &member : view.step->tasks) {
                member.checkpoint = listed.checkpoint; // a checkpoint of any member is valid for the whole gang
            }
        }
    }
    static_cast<void>(state);
}

/// Handles the known runs that a list does not name. @p isComplete is false if the worker may have more ends to list.
void handleAbsentRuns(cell_state &state, worker_state &worker, const std::set<run_id> &listed, bool isComplete,
                      const list_answered &message, instant now, cell_actions &actions)
{
    std::map<run_id, past_run> endedRuns;
    for (const auto &[id, held] : worker.reservations) {
        if (listed.contains(id)) {
            continue;
        }
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr) {
            endedRuns.emplace(id, past_run::mayHaveRun);
            continue;
        }
        // A run that is being stopped may be absent from lists, but keeps its reservation until its end is listed.
        const bool wasRunning =
            run->phase == run_phase::running && !run->isStopWanted && run->runningSince < message.sentAt;
        // If a complete list has neither this run nor its end, it never began, and its start is now refused.
        const bool isSurelyStopped =
            run->stopConfirmedAt != instant {} && run->stopConfirmedAt + maxStopTime < message.sentAt;
        if (isComplete && (wasRunning || isSurelyStopped)) {
            endedRuns.emplace(id, wasRunning ? past_run::mayHaveRun : past_run::neverRan);
        } else if (run->phase == run_phase::unconfirmed && run->sentAt < message.sentAt) {
            run->isStopWanted = true; // a delayed start is then refused, so that the task can run elsewhere
            sendStopIfDue(state, id.task, *run, now, actions);
        }
    }
    for (const auto &[id, past] : endedRuns) {
        actions.emplace_back(report_ended {id, worker.description.id, "not there"});
        dropRun(state, worker, id, past, now, actions);
    }
    std::erase_if(worker.unknownRuns, [&](const run_id &each) { return isComplete && !listed.contains(each); });
}

} // namespace

const std::string &rackOf(const worker_description &worker)
{
    static const std::string none;
    return worker.labels.empty() ? none : worker.labels.back();
}

void reserve(worker_state &worker, const run_id &run, const step_spec &spec)
{
    release(worker, run);
    reservation held {spec.size, spec.size.milliCores, spec.targetLatency.count() > 0, spec.isBestEffort};
    if (held.isBestEffort) {
        held.size.milliCores = 0; // a best-effort task uses the processor time that other tasks leave
    }
    worker.used += held.size;
    worker.latencySensitiveCount += held.isLatencySensitive ? 1 : 0;
    worker.bestEffortCount += held.isBestEffort ? 1 : 0;
    worker.bestEffortCores += held.isBestEffort ? held.declaredCores : 0;
    worker.reservations[run] = held;
}

resources freeCapacity(const worker_state &worker)
{
    auto available = worker.description.capacity;
    available -= worker.used;
    return available;
}

bool mayStartOn(const cell_state &state, const worker_state &worker, instant now)
{
    return worker.isListed && worker.isReconciled && !worker.description.isDraining && worker.clock
        && worker.unknownRuns.empty() && worker.lastListAt + contactTimeout > now
        && worker.health.quarantinedUntil <= now && !state.rules.drained.contains(worker.description.id)
        && state.contactedWorkers.contains(worker.description.id);
}

std::optional<worker_time> leaseDeadline(const cell_state &state, const worker_state &worker)
{
    if (!worker.clock || state.confirmedAt == instant {}) {
        return std::nullopt;
    }
    return earliestWorkerTime(*worker.clock, state.confirmedAt) + state.settings.maxLease;
}

void recordDeadline(worker_state &worker, worker_time deadline)
{
    worker.latestDeadline = std::max(worker.latestDeadline, deadline);
    worker.leasesEndBy = latestInstantOf(*worker.clock, worker.latestDeadline);
}

void updateWorker(cell_state &state, const worker_description &description, instant now, cell_actions &actions)
{
    auto &worker = state.workers[description.id];
    const bool isNew = worker.description.id.empty();
    if (isNew) {
        worker.description = description;
        worker.nextListAt = now;
        actions.emplace_back(report_worker_change {description.id, "listed"});
    }
    if (!isNew && description.boot != worker.description.boot) {
        if (description.boot < worker.description.boot) {
            return; // the platform's list lags behind the worker's own answer
        }
        handleBootChange(state, worker, description.boot, now, actions);
        worker.nextListAt = now;
    }
    if (description.isDraining && !worker.description.isDraining) {
        actions.emplace_back(report_worker_change {description.id, "draining"});
    }
    if (description.isDraining && worker.drainEndsAt == instant {} && description.remaining) {
        worker.drainEndsAt = now + *description.remaining;
    }
    if (!description.isDraining) {
        worker.drainEndsAt = {};
    }
    worker.description = description;
    worker.isListed = true;
}

void unlistWorker(cell_state &state, const worker_id &id, cell_actions &actions)
{
    const auto found = state.workers.find(id);
    if (found != state.workers.end() && found->second.isListed) {
        found->second.isListed = false;
        actions.emplace_back(report_worker_change {id, "no longer listed"});
    }
}

void sendStopIfDue(cell_state &state, const task_ref &ref, task_run &run, instant now, cell_actions &actions)
{
    if (!run.isStopWanted || run.isStopPending || run.stopConfirmedAt != instant {} || now < run.nextStopAt) {
        return;
    }
    const auto worker = state.workers.find(run.worker);
    if (worker == state.workers.end()) {
        return;
    }
    run.isStopPending = true;
    actions.emplace_back(send_stop {run.worker, worker->second.description.address, run.boot, {ref, run.attempt}});
}

void stopRuns(cell_state &state, const task_ref &ref, task_state &task, instant now, cell_actions &actions,
              std::uint32_t except)
{
    for (auto &run : task.runs) {
        if (run.attempt != except) {
            run.isStopWanted = true;
            sendStopIfDue(state, ref, run, now, actions);
        }
    }
}

void handleStartAnswer(cell_state &state, const start_answered &message, instant now, cell_actions &actions)
{
    const auto found = state.workers.find(message.worker);
    if (found == state.workers.end()) {
        return;
    }
    auto &worker = found->second;
    const auto view = findTask(state, message.run.task);
    auto *run = view ? findRun(*view->task, message.worker, message.run.attempt) : nullptr;
    if (run == nullptr || run->boot != message.boot) {
        return;
    }
    switch (message.result) {
    case order_result::done:
        if (run->phase != run_phase::running) {
            run->phase = run_phase::running;
            run->runningSince = now;
            run->lastProgressAt = now;
        }
        view->job->hasStarted = true;
        sendStopIfDue(state, message.run.task, *run, now, actions);
        return;
    case order_result::lost:
        if (run->phase == run_phase::starting) {
            run->phase = run_phase::unconfirmed;
            worker.nextListAt = std::min(worker.nextListAt, now);
        }
        return;
    case order_result::fenced:
        actions.emplace_back(report_fenced {message.worker});
        break;
    case order_result::noTicket:
        view->step->advice.workers[message.worker].validUntil = {};
        break;
    case order_result::unhealthy:
        worker.health.quarantinedUntil = std::max(worker.health.quarantinedUntil, now + unhealthyPause);
        break;
    case order_result::unreachable:
    case order_result::bootMismatch:
        worker.nextListAt = now;
        break;
    case order_result::noCapacity:
    case order_result::alreadyEnded:
    case order_result::deadlinePassed:
    case order_result::invalid:
        break;
    }
    actions.emplace_back(report_ended {message.run, message.worker, "start refused"});
    dropRun(state, worker, message.run, past_run::neverRan, now, actions);
    if (view->spec->isGang) {
        // The gang cannot become complete without this member.
        for (std::size_t index = 0; index < view->step->tasks.size(); ++index) {
            auto ref = message.run.task;
            ref.index = static_cast<std::int32_t>(index);
            stopRuns(state, ref, view->step->tasks[index], now, actions);
        }
    }
}

void handleStopAnswer(cell_state &state, const stop_answered &message, instant now)
{
    const auto view = findTask(state, message.run.task);
    auto *run = view ? findRun(*view->task, message.worker, message.run.attempt) : nullptr;
    if (run == nullptr || run->boot != message.boot) {
        return;
    }
    run->isStopPending = false;
    if (message.result == order_result::done) {
        run->stopConfirmedAt = now;
        if (const auto worker = state.workers.find(message.worker); worker != state.workers.end()) {
            worker->second.nextListAt = std::min(worker->second.nextListAt, now);
        }
        return;
    }
    run->nextStopAt = now + stopRetryDelay;
}

void handleListAnswer(cell_state &state, const list_answered &message, instant now, cell_actions &actions)
{
    const auto found = state.workers.find(message.worker);
    if (found == state.workers.end()) {
        return;
    }
    auto &worker = found->second;
    worker.isListPending = false;
    worker.isUnresponsive = message.result != order_result::done;
    worker.nextListAt = now
        + (message.result == order_result::lost && isReconciliationPending(state, worker, now) ? firstListRetryDelay
                                                                                               : listRetryDelay);
    if (message.result == order_result::fenced) {
        actions.emplace_back(report_fenced {message.worker});
        return;
    }
    if (message.result == order_result::unreachable) {
        // Behind a partition that refuses connections its runs would go on, so they are kept until the leases expire.
        worker.lastListAt = {};
        return;
    }
    if (message.result == order_result::bootMismatch) {
        handleBootChange(state, worker, 0, now, actions); // 0 until its next list gives the new boot
        worker.nextListAt = now;
        return;
    }
    if (message.result != order_result::done) {
        return;
    }
    if (message.boot < worker.description.boot) {
        return; // a late answer from before the worker's last restart
    }
    handleBootChange(state, worker, message.boot, now, actions);
    worker.clock = clock_sample {message.clock, now};
    // The new clock sample usually gives a closer bound for the end of the leases.
    if (worker.latestDeadline.count() > 0) {
        worker.leasesEndBy = latestInstantOf(*worker.clock, worker.latestDeadline);
    }
    worker.lastListAt = now;
    worker.nextListAt = now + listPause;
    if (!worker.isReconciled) {
        // Leases granted by an earlier owner may end later than those that this owner grants for now.
        recordDeadline(worker, message.clock + state.settings.maxLease);
    }
    markReconciled(state, worker);
    std::set<run_id> listed;
    for (const auto &each : message.running) {
        listed.insert(each.run);
        const auto view = findTask(state, each.run.task);
        auto *run = view ? findRun(*view->task, message.worker, each.run.attempt) : nullptr;
        if (run != nullptr) {
            updateRun(state, *view, *run, each, now);
            sendStopIfDue(state, each.run.task, *run, now, actions);
        } else {
            adoptRun(state, worker, each, now, actions);
        }
    }
    for (const auto &end : message.ended) {
        if (end.number > worker.processedEnd) {
            worker.processedEnd = end.number;
            handleEnd(state, worker, end, now, actions);
        }
    }
    handleAbsentRuns(state, worker, listed, message.ended.size() < maxEndsPerList, message, now, actions);
}

void requestLists(cell_state &state, instant now, cell_actions &actions)
{
    for (auto &[id, worker] : state.workers) {
        if (worker.isListPending || now < worker.nextListAt) {
            continue;
        }
        const bool isBusy = !worker.reservations.empty() || !worker.unknownRuns.empty();
        if (worker.clock && !isBusy && worker.lastListAt != instant {} && worker.processedEnd == worker.acknowledgedEnd
            && now < worker.lastListAt + idleListInterval) {
            continue;
        }
        if (!worker.isListed && now < worker.lastListAt + unlistedListInterval) {
            continue;
        }
        // An order without an answer may have been carried out, so each further one would postpone the moment by which
        // the leases of an unresponsive worker have surely expired.
        const auto deadline = worker.isUnresponsive ? std::nullopt : leaseDeadline(state, worker);
        if (deadline) {
            recordDeadline(worker, *deadline);
        }
        const bool needsImmediateAnswer = std::ranges::any_of(worker.reservations, [&](const auto &held) {
            const auto view = findTask(state, held.first.task);
            const auto *run = view ? findRun(*view->task, id, held.first.attempt) : nullptr;
            return run != nullptr && (run->phase == run_phase::unconfirmed || run->stopConfirmedAt != instant {});
        });
        const auto wait = deadline && isBusy && !needsImmediateAnswer ? std::chrono::milliseconds(listWait) : 0ms;
        worker.isListPending = true;
        actions.emplace_back(
            send_list {id, worker.description.address, worker.description.boot, deadline, worker.acknowledgedEnd, wait,
                       wait + (isReconciliationPending(state, worker, now) ? firstListTimeout : listTimeout)});
    }
}

void expireLeases(cell_state &state, instant now, cell_actions &actions)
{
    std::vector<worker_id> removable;
    for (auto &[id, worker] : state.workers) {
        const bool haveLeasesExpired = worker.leasesEndBy != instant {} && worker.leasesEndBy <= now;
        if (haveLeasesExpired && !worker.reservations.empty()) {
            actions.emplace_back(report_worker_change {id, "leases expired"});
            dropAllRuns(state, worker, now, actions, "lapsed unseen");
        }
        const bool hadNoLease = worker.leasesEndBy == instant {} && !state.unreconciledWorkers.contains(id);
        if (!worker.isListed && worker.reservations.empty() && (haveLeasesExpired || hadNoLease)
            && !worker.isListPending) {
            removable.push_back(id);
        }
    }
    for (const auto &id : removable) {
        state.workers.erase(id);
        actions.emplace_back(report_worker_change {id, "forgotten"});
    }
    if (now >= state.inDoubtUntil) {
        state.unreconciledWorkers.clear();
        state.areContactedWorkersUnknown = false;
    }
}

} // namespace primrosecroft::detail
