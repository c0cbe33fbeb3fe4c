#pragma once

#include "cell/detail/cell_parts.h"

#include <string>

/// Reports for the log and the metrics on runs whose end the owner concludes, and on runs that shouldn't exist.
namespace primrosecroft::detail
{

/// How a worker lists a run.
enum class run_listing
{
    running,
    ended,
};

void reportUnansweredStart(const worker_state &worker, const run_id &id, const task_run &run, instant now,
                           cell_actions &actions);

/// Reports that a list requested at @p listSentAt doesn't show a run whose start got no answer.
void reportDoubtedRun(const worker_state &worker, const run_id &id, const task_run &run, instant listSentAt,
                      instant now, cell_actions &actions);

/// Reports that the worker refused to start the run, and why.
void reportRefusedStart(const start_answered &answer, cell_actions &actions);

/// Reports the end of a run that its worker has not listed, with what is known of the run. Called before it is dropped.
void reportUnlistedEnd(cell_state &state, const worker_state &worker, const run_id &id, const std::string &how,
                       instant now, cell_actions &actions);

/// Reports a run or a successful end that is a second one of its task: the task is done, or runs elsewhere. Reports
/// nothing if the step allows copies, nor of gangs, whose members end together and are listed one after the other.
void reportSecondRun(const worker_state &worker, const run_id &id, const task_view &view, run_listing listing,
                     cell_actions &actions);

} // namespace primrosecroft::detail
