#include "cell/detail/cell_parts.h"
#include "cell/detail/gangs.h"
#include "cell/detail/run_reports.h"
#include "cell/detail/trials.h"
#include "cell/detail/worker_loss.h"
#include "cell/detail/workspace_limits.h"

#include <algorithm>
#include <ranges>

/// The runs on workers: their reservations, the answers to their starts and stops, and what lists say of them.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// For a run to stop; the platform's own bounds are 200 and 400 ms. Also longer than a start is sent after it was made.
constexpr auto maxStopTime = 1'000ms;
constexpr auto stopRetryDelay = 300ms;
constexpr auto unhealthyPause = 1'000ms; ///< a worker that refused work as unhealthy gets no tasks for this long
constexpr auto crashLoopTime = 1'500ms; ///< a service task that ends sooner is restarted after crashPause
constexpr auto crashPause = 1'000ms;

/// What the run counts for its workspace.
resources countedSize(const reservation &held)
{
    auto size = held.size;
    size.milliCores = held.declaredCores;
    return size;
}

void release(cell_state &state, worker_state &worker, const run_id &run)
{
    const auto found = worker.reservations.find(run);
    if (found != worker.reservations.end()) {
        const auto &held = found->second;
        worker.used -= held.size;
        worker.latencySensitiveCount -= held.isLatencySensitive ? 1 : 0;
        worker.bestEffortCount -= held.isBestEffort ? 1 : 0;
        worker.bestEffortCores -= held.isBestEffort ? held.declaredCores : 0;
        removeRun(state.usage, held.workspace, countedSize(held));
        worker.reservations.erase(found);
    }
    worker.trials.erase(run);
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
    toldByGang, ///< the end of another member tells what came of its gang
};

/// Whether the end of another member will tell what came of a broken gang, or its absence from all lists will.
past_run pastOfBrokenRun(const task_view &view)
{
    const bool isOtherExpected = std::ranges::any_of(
        view.step->tasks, [&](const task_state &task) { return &task != view.task && !task.runs.empty(); });
    // A new owner learns of the others' runs from later lists. Before it places the gang again it fails the job.
    return isOtherExpected || view.task->wasBegunBefore ? past_run::toldByGang : past_run::mayHaveRun;
}

/// Whether a run ended because its worker was lost.
enum class run_loss
{
    none,
    withWorker,
};

/// Releases the reservation of a run that is over or never started, and makes its task pending again if needed.
void dropRun(cell_state &state, worker_state &worker, const run_id &run, past_run past, instant now,
             cell_actions &actions, run_loss loss = run_loss::none)
{
    release(state, worker, run);
    if (const auto view = findTask(state, run.task)) {
        auto *known = findRun(*view->task, worker.description.id, run.attempt);
        if (known != nullptr && loss == run_loss::none) {
            uncountRun(state, *view, *known);
        } else if (known != nullptr) {
            learnFrom(state, worker, *view, *known, run_end::lapsed, now);
        }
        removeRun(*view->task, worker.description.id, run.attempt);
        if (view->spec->isAtMostOnce && past == past_run::mayHaveRun) {
            failLostTask(state, *view, now, actions);
        }
        requeueTask(state, run.task, *view, now);
    }
}

/// Finds a task that a worker lists, also of an occurrence of which only the worker tells.
std::optional<task_view> findShownTask(cell_state &state, const task_ref &ref, instant now)
{
    const auto view = findTask(state, ref);
    return view || !beginShownOccurrence(state, ref, now) ? view : findTask(state, ref);
}

void handleEnd(cell_state &state, worker_state &worker, const listed_end &end, instant now, cell_actions &actions)
{
    worker.unknownRuns.erase(end.run);
    const auto view = findShownTask(state, end.run.task, now);
    if (!view) {
        release(state, worker, end.run);
        return;
    }
    static constexpr std::array endNames {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    actions.emplace_back(
        report_ended {end.run, worker.description.id, endNames.at(static_cast<std::size_t>(end.how)), {}});
    if (!end.checkpoint.empty() && !view->task->isDone && view->task->checkpoint != end.checkpoint) {
        view->task->checkpoint = end.checkpoint;
        markUnsaved(state, *view->job);
    }
    view->job->hasStarted = true;
    const bool endedByItself = end.how == run_end::done || end.how == run_end::failed;
    if (endedByItself && view->spec->isService) {
        // Services end through their own faults at any time, so an end is little sign of an unhealthy worker.
        const auto *run = findRun(*view->task, worker.description.id, end.run.attempt);
        if (run != nullptr && run->runningSince + crashLoopTime > now) {
            view->task->avoidedWorkers = {worker.description.id};
            view->task->notBefore = now + crashPause;
        }
    } else if (end.how == run_end::done) {
        reportSecondRun(worker, end.run, *view, run_listing::ended, actions);
        if (const auto *run = findRun(*view->task, worker.description.id, end.run.attempt)) {
            recordSuccessOn(state, worker, *view, *run, now);
        }
        completeTask(state, end.run.task, *view, now, actions);
    } else if (end.how == run_end::failed) {
        view->task->avoidedWorkers.insert(worker.description.id);
        recordTaskFailure(state, end.run, *view, now, actions);
        recordFailureOn(state, worker, end.run.task.job, now, actions);
    } else if (const auto *run = findRun(*view->task, worker.description.id, end.run.attempt)) {
        learnFrom(state, worker, *view, *run, end.how, now);
    }
    const auto past = end.how == run_end::gangBroken ? pastOfBrokenRun(*view) : past_run::mayHaveRun;
    dropRun(state, worker, end.run, past, now, actions);
}

/// The worker must keep the end until the changes that it has made to its job are stored.
void holdUntilStored(cell_state &state, const worker_state &worker, const listed_end &end)
{
    const auto job = state.jobs.find(end.run.task.job);
    if (job == state.jobs.end() || !job->second.hasUnsavedChanges) {
        return;
    }
    const covered_ends own {worker.description.boot, end.number};
    auto &first = job->second.unsavedEnds.try_emplace(worker.description.id, own).first->second;
    if (first.boot != own.boot) {
        first = own;
    }
}

/// Returns whether the run's worker has restarted and may turn out to run it or not.
bool mayBeOver(cell_state &state, const worker_state &worker, const run_id &id)
{
    const auto view = findTask(state, id.task);
    const auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
    return run != nullptr && run->mayBeOver;
}

/// Returns about when the worker last got an order that extended its leases, which it doesn't while it is unresponsive.
instant lastSignOf(const cell_state &state, const worker_state &worker, instant now)
{
    return worker.leasesEndBy == instant {} ? now : std::min(now, worker.leasesEndBy - state.settings.maxLease);
}

/// Adds a listed run that is not known here, because an earlier owner started it or its start was delayed. It is
/// kept if its task still needs a run, and stopped otherwise.
void adoptRun(cell_state &state, worker_state &worker, const listed_run &listed, instant now, cell_actions &actions)
{
    const auto view = findShownTask(state, listed.run.task, now);
    if (!view) {
        worker.unknownRuns[listed.run] = {};
        actions.emplace_back(
            send_stop {worker.description.id, worker.description.address, worker.description.boot, listed.run});
        return;
    }
    const bool isOver = view->task->isDone || view->job->isCancelled || view->job->hasFailed;
    const bool isWanted = !isOver && (view->task->runs.empty() || view->spec->allowsCopies);
    reportSecondRun(worker, listed.run, *view, run_listing::running, actions);
    reserve(state, worker, listed.run, *view);
    countAsSeen(state, *view);
    task_run run;
    run.worker = worker.description.id;
    run.boot = worker.description.boot;
    run.attempt = listed.run.attempt;
    run.phase = run_phase::running;
    run.isShown = true;
    run.sentAt = now;
    run.runningSince = now;
    run.lastProgressAt = now;
    run.percent = listed.percent;
    run.firstPercent = listed.percent;
    run.firstPercentAt = now;
    run.isStopWanted = !isWanted;
    view->task->lastAttempt = std::max(view->task->lastAttempt, run.attempt);
    view->step->gangAttempt = std::max(view->step->gangAttempt, run.attempt);
    view->task->runs.push_back(run);
    noteStart(worker, now);
    adoptTrial(worker, listed.run, *view, view->task->runs.back(), actions);
    view->job->hasStarted = true;
    std::erase(view->step->pendingTasks, listed.run.task.index);
    actions.emplace_back(report_placed {listed.run, worker.description.id, 0ms});
    sendStopIfDue(state, listed.run.task, view->task->runs.back(), now, actions);
}

void updateRun(const task_view &view, task_run &run, worker_state &worker, const listed_run &listed, instant now)
{
    run.isShown = true;
    run.mayBeOver = false;
    run.lossIfOver.reset();
    if (run.phase != run_phase::running) {
        noteStart(worker, now);
        run.phase = run_phase::running;
        run.runningSince = now;
    }
    if (run.firstPercentAt == instant {}) {
        run.firstPercent = listed.percent;
        run.firstPercentAt = now;
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
}

/// Forgets the unknown runs that a complete list does not name, once they are surely over. A run that is being stopped
/// is absent from lists, but holds its capacity until its end is listed.
void forgetAbsentUnknownRuns(worker_state &worker, const std::set<run_id> &listed, instant sentAt, instant now)
{
    for (auto &[run, absentSince] : worker.unknownRuns) {
        if (absentSince == instant {} && !listed.contains(run)) {
            absentSince = now;
        }
    }
    std::erase_if(worker.unknownRuns, [sentAt](const auto &each) {
        return each.second != instant {} && each.second + maxStopTime < sentAt;
    });
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
            endedRuns.emplace(id, wasRunning || run->mayBeOver ? past_run::mayHaveRun : past_run::neverRan);
        } else if (run->phase == run_phase::unconfirmed && run->sentAt < message.sentAt) {
            if (!run->isStopWanted) {
                reportDoubtedRun(worker, id, *run, message.sentAt, now, actions);
            }
            run->isStopWanted = true; // a delayed start is then refused, so that the task can run elsewhere
            sendStopIfDue(state, id.task, *run, now, actions);
        }
    }
    for (const auto &[id, past] : endedRuns) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        const bool isLost = run != nullptr && recordDeferredLoss(state, worker, id, *view, *run, now, actions);
        reportUnlistedEnd(state, worker, id, isLost ? "lost with its worker" : "not there", now, actions);
        dropRun(state, worker, id, past, now, actions, isLost ? run_loss::withWorker : run_loss::none);
        if (isLost && worker.reservations.empty()) {
            worker.lastStartAt = {}; // nothing has begun in this boot
        }
    }
    if (isComplete) {
        forgetAbsentUnknownRuns(worker, listed, message.sentAt, now);
    }
}

} // namespace

void reserve(cell_state &state, worker_state &worker, const run_id &run, const task_view &view)
{
    release(state, worker, run);
    const auto &spec = *view.spec;
    reservation held {spec.size, spec.size.milliCores, view.job->accepted.workspace, spec.targetLatency.count() > 0,
                      spec.isBestEffort};
    if (held.isBestEffort) {
        held.size.milliCores = 0; // a best-effort task uses the processor time that other tasks leave
    }
    worker.used += held.size;
    worker.latencySensitiveCount += held.isLatencySensitive ? 1 : 0;
    worker.bestEffortCount += held.isBestEffort ? 1 : 0;
    worker.bestEffortCores += held.isBestEffort ? held.declaredCores : 0;
    addRun(state.usage, held.workspace, countedSize(held));
    worker.reservations[run] = std::move(held);
}

void noteStart(worker_state &worker, instant now)
{
    worker.lastStartAt = std::max(worker.lastStartAt, now);
}

resources freeCapacity(const worker_state &worker)
{
    auto available = worker.description.capacity;
    available -= worker.used;
    return available;
}

void markRunsOfNextBoot(cell_state &state, worker_state &worker, worker_boot boot)
{
    for (const auto &[id, held] : worker.reservations) {
        const auto view = findTask(state, id.task);
        auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        if (run == nullptr) {
            continue;
        }
        run->mayBeOver = !run->isShown && boot != otherWorkersBoot;
        if (run->mayBeOver) {
            run->boot = boot; // a stop that an earlier boot has carried out doesn't bar the start in this one
            run->isStopPending = false;
            run->stopConfirmedAt = {};
            run->nextStopAt = {};
        }
    }
}

bool hasUnshownRuns(cell_state &state, const worker_state &worker)
{
    return std::ranges::any_of(std::views::keys(worker.reservations), [&](const run_id &id) {
        const auto view = findTask(state, id.task);
        const auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
        return run != nullptr && !run->isShown;
    });
}

void dropRuns(cell_state &state, worker_state &worker, dropped_runs which, instant now, cell_actions &actions,
              const char *reason)
{
    const auto reservations = worker.reservations;
    const auto lastSign = lastSignOf(state, worker, now);
    for (const auto &[run, held] : reservations) {
        if (which == dropped_runs::ofEarlierBoots && mayBeOver(state, worker, run)) {
            continue; // it may also go on
        }
        reportUnlistedEnd(state, worker, run, reason, now, actions);
        dropRun(state, worker, run, past_run::mayHaveRun, now, actions, run_loss::withWorker);
        const auto view = findTask(state, run.task);
        if (view && view->spec->isService && view->task->runs.empty()) {
            // Its users may have had no service since then, so it has waited for this long already.
            view->task->awaySince = std::min(view->task->awaySince, lastSign);
        }
    }
    worker.unknownRuns.clear();
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
    if (run.isStopForDrain) {
        // A stop that failed is weighed anew, because others may be away by now.
        if (const auto view = findTask(state, ref); view && view->spec->isService && !mayMiss(state, *view, now)) {
            return;
        }
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
            run.isStopForDrain = false;
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
    if (run == nullptr) {
        return;
    }
    switch (message.result) {
    case order_result::done:
        worker.lastAnswerAt = now;
        worker.lastLeaseOrderAt = now;
        if (run->phase != run_phase::running) {
            noteStart(worker, now);
            run->phase = run_phase::running;
            run->runningSince = now;
            run->lastProgressAt = now;
            if (view->task->checkpoint.empty()) {
                run->firstPercentAt = now;
            }
        }
        view->job->hasStarted = true;
        sendStopIfDue(state, message.run.task, *run, now, actions);
        return;
    case order_result::lost:
        if (run->phase == run_phase::starting) {
            reportUnansweredStart(worker, message.run, *run, now, actions);
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
    case order_result::notSent:
        break;
    }
    reportRefusedStart(message, actions);
    dropRun(state, worker, message.run, past_run::neverRan, now, actions);
    if (view->spec->isGang) {
        stopGang(state, message.run.task, *view->step, now, actions);
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

void handleListedRuns(cell_state &state, worker_state &worker, const list_answered &message, instant now,
                      cell_actions &actions)
{
    std::set<run_id> listed;
    for (const auto &each : message.running) {
        listed.insert(each.run);
        const auto view = findTask(state, each.run.task);
        auto *run = view ? findRun(*view->task, message.worker, each.run.attempt) : nullptr;
        if (run != nullptr) {
            updateRun(*view, *run, worker, each, now);
            sendStopIfDue(state, each.run.task, *run, now, actions);
        } else {
            adoptRun(state, worker, each, now, actions);
        }
    }
    for (const auto &end : message.ended) {
        if (end.number > worker.processedEnd) {
            worker.processedEnd = end.number;
            handleEnd(state, worker, end, now, actions);
            holdUntilStored(state, worker, end);
        }
    }
    handleAbsentRuns(state, worker, listed, message.ended.size() < maxEndsPerList, message, now, actions);
}

} // namespace primrosecroft::detail
