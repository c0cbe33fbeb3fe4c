#pragma once

#include "cell/detail/cell_parts.h"

/**
 * Trials of tasks that may crash their workers. A suspect starts where no other run could be why its worker is lost;
 * the worker takes no other start, and no other suspect of the step starts, until the worker has survived it. A trial
 * ends with its run, or once its worker has answered long enough after the start, also under a later owner.
 */
namespace primrosecroft::detail
{

/// Returns whether so many workers were lost under the task that its trial takes long.
bool needsLongTrial(const loss_record &losses);

/// Returns the losses of a gang's member with what the counts of the whole gang tell of it, which earlier versions
/// stored. Any member may be why those workers were lost, so its next start is a trial, a long one if the gang's was to
/// be. None is known to have run on one of them.
lost_workers suspectedByGang(lost_workers own, const lost_workers &gang);

/// Returns whether the worker has answered long enough after the start of the run there, or has shown it at work. A run
/// on trial isn't survived before its trial has ended.
bool isSurvived(const worker_state &worker, const task_run &run);

/// Returns whether the run has lasted for longer than any trial.
bool hasOutlastedTrials(const task_run &run, instant now);

/// Returns whether the step is in a trial whose outcome its other suspects wait for: they are likely to behave alike.
bool isAwaitingTrial(const step_state &step);

/// Returns whether the worker has survived all its runs, so that a trial may begin there.
bool hasSurvivedAll(const worker_state &worker);

/// Returns whether a trial runs on the worker, which then takes no other start.
bool isInTrial(const worker_state &worker);

/// Time until the worker's answer tells whether it has survived the trial there. Zero if that is now, or none runs.
std::chrono::milliseconds timeToTrialEnd(const worker_state &worker, instant now);

/// Makes a run a trial that was found on the worker, if its task is a suspect.
void adoptTrial(worker_state &worker, const run_id &id, const task_view &view, task_run &run, cell_actions &actions);

/// Called after an answer of the worker. Ends the trials there that it has survived: their tasks are no suspects any
/// more, also for a later owner.
void endSurvivedTrials(cell_state &state, worker_state &worker, cell_actions &actions);

} // namespace primrosecroft::detail
