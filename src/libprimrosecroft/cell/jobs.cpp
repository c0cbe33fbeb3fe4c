#include "cell/detail/cell_parts.h"

#include <algorithm>
#include <ranges>

/// Jobs from their arrival to their end: which tasks wait, which have ended, what follows from it.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t attemptsPerTerm = 1'000; ///< numbers of one owner, so that a later one's are higher
constexpr std::size_t mostBegunAtOnce = 64; ///< occurrences of one job that are open together
constexpr auto adviceShare = 30; ///< workers that one call for advice is counted with in an objective

std::chrono::milliseconds objectiveOf(const accepted_job &job)
{
    auto chain = criticalPathDuration(job.spec);
    if (job.queue.advice) {
        const auto call = job.queue.advice->decide + adviceShare * job.queue.advice->perWorker;
        chain += std::chrono::duration_cast<std::chrono::milliseconds>(call) * static_cast<int>(job.spec.steps.size());
    }
    return std::chrono::milliseconds(
               static_cast<std::int64_t>(static_cast<double>(chain.count()) * job.queue.slowdownFactor))
        + job.queue.target;
}

void makeReady(step_state &step, instant now)
{
    step.ready = true;
    step.readyAt = now;
    for (auto &task : step.tasks) {
        task.idleSince = now;
    }
}

bool isDone(const step_state &step)
{
    return step.doneCount == static_cast<std::int32_t>(step.tasks.size());
}

void readyWhatFollows(const job_spec &spec, occurrence_state &occurrence, instant now)
{
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto &step = occurrence.steps[index];
        if (!step.ready && std::ranges::all_of(spec.steps[index].after, [&](std::int32_t before) {
                return isDone(occurrence.steps[static_cast<std::size_t>(before)]);
            })) {
            makeReady(step, now);
        }
    }
}

occurrence_state makeOccurrence(const cell_state &state, const job_spec &spec, const occurrence_progress *progress,
                                instant now)
{
    occurrence_state occurrence;
    if (progress != nullptr && progress->complete) {
        occurrence.complete = true;
        return occurrence;
    }
    const auto base = static_cast<std::uint32_t>(state.takeOver.term) * attemptsPerTerm;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        auto &step = occurrence.steps.emplace_back();
        step.tasks.resize(static_cast<std::size_t>(spec.steps[index].count));
        step.gangAttempt = base;
        const step_progress *stored = nullptr;
        if (progress != nullptr) {
            const auto found = progress->steps.find(static_cast<std::int32_t>(index));
            stored = found == progress->steps.end() ? nullptr : &found->second;
        }
        if (stored != nullptr) {
            step.failedGangs = stored->failedGangs;
        }
        for (std::size_t number = 0; number < step.tasks.size(); ++number) {
            auto &task = step.tasks[number];
            task.lastAttempt = base;
            if (stored != nullptr) {
                task.done = number < stored->done.size() && stored->done[number];
                if (const auto found = stored->tasks.find(static_cast<std::int32_t>(number));
                    found != stored->tasks.end()) {
                    task.failedAttempts = found->second.failedAttempts;
                    task.checkpoint = found->second.checkpoint;
                    task.mayHaveBegun = found->second.mayHaveBegun;
                    task.wasBegunBefore = found->second.mayHaveBegun;
                }
            }
            if (task.done) {
                ++step.doneCount;
            } else {
                step.idle.push_back(static_cast<std::int32_t>(number));
            }
        }
    }
    readyWhatFollows(spec, occurrence, now);
    return occurrence;
}

bool isOver(const job_state &job)
{
    const auto wanted = std::max(job.accepted.spec.occurrences, 1);
    return job.openOccurrences == 0 && job.nextOccurrence >= wanted;
}

bool hasEnded(const job_state &job)
{
    return job.cancelled || job.failed;
}

void stopAll(cell_state &state, job_state &job, instant now, cell_actions &actions)
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                stopRuns(state,
                         {job.accepted.id, number, static_cast<std::int32_t>(step), static_cast<std::int32_t>(index)},
                         tasks[index], now, actions);
            }
        }
    }
}

void failJob(cell_state &state, job_state &job, instant now, cell_actions &actions)
{
    job.failed = true;
    markChanged(state, job);
    stopAll(state, job, now, actions);
}

} // namespace

void markChanged(cell_state &state, job_state &job)
{
    if (job.isEndStored) {
        return; // nothing of it is to be stored any more
    }
    job.changed = true;
    state.changed.insert(job.accepted.id);
}

void forgetRetired(cell_state &state)
{
    const auto holdsRoom = [](const job_state &job) {
        return std::ranges::any_of(job.occurrences, [](const auto &occurrence) {
            return std::ranges::any_of(occurrence.second.steps, [](const step_state &step) {
                return std::ranges::any_of(step.tasks, [](const task_state &task) { return !task.runs.empty(); });
            });
        });
    };
    std::erase_if(state.retiring, [&](const job_id &id) {
        const auto found = state.jobs.find(id);
        if (found != state.jobs.end() && holdsRoom(found->second)) {
            return false;
        }
        if (found != state.jobs.end()) {
            state.jobs.erase(found);
        }
        return true;
    });
}

void arrive(cell_state &state, const job_arrived &message, instant now)
{
    const auto &id = message.job.id;
    if (state.finished.contains(id)) {
        return;
    }
    if (const auto known = state.jobs.find(id); known != state.jobs.end()) {
        return;
    }
    auto &job = state.jobs[id];
    job.accepted = message.job;
    job.version = message.version;
    const auto age = state.storeTime.count() > 0 && message.job.acceptedAt.count() > 0
        ? std::max(0ms, state.storeTime - message.job.acceptedAt)
        : 0ms;
    job.arrivedAt = now - age;
    job.objective = objectiveOf(message.job);
    job.cancelled = message.cancelled;
    job.hasProgress = !message.progress.empty();
    job.hasStarted = job.hasProgress;
    if (job.cancelled) {
        markChanged(state, job);
    }
    for (const auto &[number, progress] : message.progress) {
        job.occurrences[number] = makeOccurrence(state, job.accepted.spec, &progress, now);
        job.openOccurrences += progress.complete ? 0 : 1;
        job.nextOccurrence = std::max(job.nextOccurrence, number + 1);
    }
    if (job.accepted.spec.occurrences > 0) {
        beginDue(state, job, now);
    } else if (job.occurrences.empty()) {
        job.occurrences[0] = makeOccurrence(state, job.accepted.spec, nullptr, now);
        job.openOccurrences = 1;
        job.nextOccurrence = 1;
    }
}

void beginDue(cell_state &state, job_state &job, instant now)
{
    const auto &spec = job.accepted.spec;
    while (!hasEnded(job) && job.nextOccurrence < spec.occurrences
           && static_cast<std::size_t>(job.openOccurrences) < mostBegunAtOnce
           && state.timeOfDay >= spec.firstDue + job.nextOccurrence * spec.interval) {
        job.occurrences[job.nextOccurrence] = makeOccurrence(state, spec, nullptr, now);
        ++job.openOccurrences;
        ++job.nextOccurrence;
    }
}

void cancel(cell_state &state, const job_id &id, instant now, cell_actions &actions)
{
    const auto found = state.jobs.find(id);
    if (found == state.jobs.end() || hasEnded(found->second) || isOver(found->second)) {
        return;
    }
    found->second.cancelled = true;
    markChanged(state, found->second);
    stopAll(state, found->second, now, actions);
}

void becomeIdle(cell_state & /*state*/, const task_ref &ref, const task_view &view, instant now)
{
    if (!view.task->done && view.task->runs.empty() && !hasEnded(*view.job)
        && std::ranges::find(view.step->idle, ref.index) == view.step->idle.end()) {
        view.task->idleSince = now;
        view.step->idle.push_back(ref.index);
    }
}

void loseTask(cell_state &state, const task_view &view, instant now, cell_actions &actions)
{
    if (!view.task->done && !hasEnded(*view.job)) {
        view.job->isUnknown = true;
        failJob(state, *view.job, now, actions);
    }
}

void taskDone(cell_state &state, const task_ref &ref, const task_view &view, instant now, cell_actions &actions)
{
    if (view.task->done || hasEnded(*view.job)) {
        return;
    }
    const auto markDone = [&](task_state &task, std::int32_t index) {
        if (!task.done) {
            task.done = true;
            task.checkpoint.clear();
            ++view.step->doneCount;
            std::erase(view.step->idle, index);
        }
    };
    if (view.spec->gang) {
        // One end stands for all members; the others list theirs in their own time.
        for (std::size_t index = 0; index < view.step->tasks.size(); ++index) {
            markDone(view.step->tasks[index], static_cast<std::int32_t>(index));
        }
    } else {
        markDone(*view.task, ref.index);
        stopRuns(state, ref, *view.task, now, actions);
    }
    markChanged(state, *view.job);
    if (!isDone(*view.step)) {
        return;
    }
    view.step->advice = {};
    if (std::ranges::all_of(view.occurrence->steps, isDone)) {
        view.occurrence->complete = true;
        --view.job->openOccurrences;
        if (!isOver(*view.job)) {
            beginDue(state, *view.job, now);
        }
        return;
    }
    readyWhatFollows(view.job->accepted.spec, *view.occurrence, now);
}

void taskFailed(cell_state &state, const run_id &run, const task_view &view, instant now, cell_actions &actions)
{
    auto &failed = view.spec->gang ? view.step->failedGangs : view.task->failedAttempts;
    if (view.task->done || hasEnded(*view.job) || !failed.insert(run.attempt).second) {
        return;
    }
    if (view.spec->isService) {
        failed.clear(); // it has no such limit
        return;
    }
    markChanged(state, *view.job);
    if (static_cast<std::int32_t>(failed.size()) >= view.job->accepted.queue.maxFailures) {
        failJob(state, *view.job, now, actions);
    }
}

} // namespace primrosecroft::detail
