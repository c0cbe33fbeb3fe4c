#include "cell/detail/starts.h"

#include "cell/detail/trials.h"

#include <utility>

namespace primrosecroft::detail
{

task_view viewOf(const waiting_step &waiting, task_state &task)
{
    return {waiting.job, waiting.occurrence, waiting.step, waiting.spec, &task};
}

bool ensureStartStored(cell_state &state, const waiting_step &waiting, task_state &task, instant now,
                       cell_actions &actions)
{
    if (!waiting.spec->isAtMostOnce) {
        return true;
    }
    if (task.wasBegunBefore) {
        failLostTask(state, viewOf(waiting, task), now, actions);
        return false;
    }
    if (!std::exchange(task.mayHaveBegun, true)) {
        markUnsaved(state, *waiting.job);
    }
    return task.isStartStored;
}

void startTask(cell_state &state, const waiting_step &waiting, std::int32_t index, std::uint32_t attempt,
               worker_state &worker, instant now, cell_actions &actions)
{
    auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
    const auto deadline = *leaseDeadline(state, worker);
    recordDeadline(worker, deadline, now);
    const run_id id {{waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, index}, attempt};
    reserve(state, worker, id, viewOf(waiting, task));
    task_run run;
    run.worker = worker.description.id;
    run.boot = worker.description.boot;
    run.attempt = attempt;
    run.sentAt = now;
    run.lastProgressAt = now;
    run.isCounted = task.losses.isNextCounted;
    noteStart(worker, now);
    task.runs.push_back(run);
    task.needsCopy = false;
    task.lastAttempt = attempt;
    std::string ticket;
    if (const auto found = waiting.step->advice.workers.find(run.worker); found != waiting.step->advice.workers.end()) {
        ticket = found->second.ticket;
    }
    actions.emplace_back(send_start {run.worker, worker.description.address, run.boot, id,
                                     waiting.job->accepted.spec.payload, deadline, task.checkpoint, ticket});
    actions.emplace_back(
        report_placed {id, run.worker, std::chrono::duration_cast<std::chrono::milliseconds>(now - task.pendingSince)});
}

void beginTrial(usable_workers &usable, const waiting_step &waiting, std::int32_t index, cell_actions &actions)
{
    auto &task = waiting.step->tasks[static_cast<std::size_t>(index)];
    auto &run = task.runs.back();
    run.isTrial = true;
    const auto position = *usable.find(run.worker);
    const run_id id {{waiting.job->accepted.id, waiting.occurrenceNumber, waiting.index, index}, run.attempt};
    usable.at(position).worker->trials.insert(id);
    usable.refresh(position);
    actions.emplace_back(report_trial {id, run.worker, trial_event::begun, task.losses.counts});
}

} // namespace primrosecroft::detail
