#pragma once

#include "cell/detail/cell_parts.h"

/**
 * Tells which tasks may be why their workers were lost, and gives up those that are.
 *
 * A run is survived once its worker has answered a while after the run's start. Of a lost worker, the runs that it
 * hasn't survived are suspects: they start again only in a trial, on a worker that has survived all its other runs and
 * gets no further start until it has survived this one. A task whose trial ends with its worker was alone, so it is to
 * blame. A task that loses workers later in its runs has a longer trial after some of them.
 *
 * The loss of a worker speaks against the tasks that ran there, and against no others. That also holds for a gang,
 * whose members on other workers end with it: each member has its own losses and trials, and the job fails once one
 * member is to blame.
 *
 * Only a next boot, or another worker at the address, proves that a worker has ended. Silence and a missing entry make
 * suspects: a worker that is cut off from the cell and the platform's store gives both signs, and runs on.
 */
namespace primrosecroft::detail
{

/// How a worker was lost under its runs.
enum class worker_loss
{
    restarted, ///< it answers in another boot, or another one answers at its address
    unlisted, ///< its leases have expired unseen, and the platform no longer lists it: it may be cut off from both
    silent, ///< its leases have expired unseen
};

/// Lets the task start sooner, now that some of its losses are settled.
void shortenPause(task_state &task, instant now);

/// What is counted ahead because workers refuse connections that run the task.
lost_workers refusalsOf(const task_state &task);

/// Records that a worker whose loss was only suspected has surely ended.
void proveLoss(loss_record &losses, counted_loss &counted);

/// Returns whether the task starts no more. However many workers fell silent under it, some must surely have ended.
bool isToBlame(const lost_workers &counts);

/// Returns whether the task may be why a worker was lost or doesn't answer.
bool isSuspect(const cell_state &state, const task_state &task);

/// Returns whether the task may start as far as lost workers are concerned. The start of a suspect is counted ahead
/// among them, and has to be stored first, which this function schedules. Fails the job if too many starts were
/// counted.
bool ensureLossesStored(cell_state &state, const task_ref &ref, const task_view &view, instant now,
                        cell_actions &actions);

/// Called when the worker refuses connections, so that its process has probably ended. Counts its loss ahead, so that a
/// later owner knows of it.
void countRefusal(cell_state &state, worker_state &worker, instant now);

/// Called when the worker answers again in the same boot: the loss that its refusal stood for wasn't one.
void takeBackRefusals(cell_state &state, worker_state &worker);

/// Called when a run has ended or was refused while its worker is up. Takes the run out of the counts,
/// also for a later owner.
void uncountRun(cell_state &state, const task_view &view, task_run &run);

/// Counts the loss of a worker for the tasks that ran there, before their runs are dropped. Fails the jobs of those
/// that are to blame.
/// Of runs that may go on in a worker's next boot the loss isn't counted before it is known that they don't.
void recordWorkerLoss(cell_state &state, worker_state &worker, worker_loss how, instant now, cell_actions &actions);

/// Called when it turns out that a run is over which was started before its worker restarted. Counts the loss for it.
/// Returns whether the worker was lost under the run.
bool recordDeferredLoss(cell_state &state, const worker_state &worker, const run_id &id, const task_view &view,
                        task_run &run, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
