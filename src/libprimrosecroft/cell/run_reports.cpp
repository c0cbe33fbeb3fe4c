#include "cell/detail/run_reports.h"

#include <algorithm>
#include <array>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

std::chrono::milliseconds age(instant since, instant now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
}

/// What is known of a run that is given up although its worker has listed no end.
run_evidence evidenceOf(const worker_state &worker, const task_run &run, instant now)
{
    run_evidence result;
    result.boot = run.boot;
    result.isShown = run.isShown;
    result.isConfirmed = run.phase == run_phase::running;
    result.sentAgo = age(run.sentAt, now);
    if (worker.lastSignAt != instant {}) {
        result.heardAgo = age(worker.lastSignAt, now);
    }
    if (run.stopConfirmedAt != instant {}) {
        result.stoppedAgo = age(run.stopConfirmedAt, now);
    }
    return result;
}

/// What the log says of a run whose start was refused.
std::string refusalText(order_result result)
{
    static constexpr std::array reasons {"",          "fenced",    "old attempt",  "too late",  "no room",
                                         "no ticket", "unhealthy", "another boot", "malformed", "no connection",
                                         "",          "not sent"};
    return std::string("start refused: ") + reasons.at(static_cast<std::size_t>(result));
}

} // namespace

void reportUnansweredStart(const worker_state &worker, const run_id &id, const task_run &run, instant now,
                           cell_actions &actions)
{
    actions.emplace_back(report_unanswered_start {id, worker.description.id, age(run.sentAt, now)});
}

void reportDoubtedRun(const worker_state &worker, const run_id &id, const task_run &run, instant listSentAt,
                      instant now, cell_actions &actions)
{
    actions.emplace_back(report_doubted_run {id, worker.description.id, age(run.sentAt, now), age(listSentAt, now)});
}

void reportRefusedStart(const start_answered &answer, cell_actions &actions)
{
    actions.emplace_back(report_ended {answer.run, answer.worker, refusalText(answer.result), {}});
}

void reportUnlistedEnd(cell_state &state, const worker_state &worker, const run_id &id, const std::string &how,
                       instant now, cell_actions &actions)
{
    const auto view = findTask(state, id.task);
    const auto *run = view ? findRun(*view->task, worker.description.id, id.attempt) : nullptr;
    const auto evidence = run == nullptr ? std::nullopt : std::optional(evidenceOf(worker, *run, now));
    actions.emplace_back(report_ended {id, worker.description.id, how, evidence});
}

void reportSecondRun(const worker_state &worker, const run_id &id, const task_view &view, run_listing listing,
                     cell_actions &actions)
{
    if (view.spec->allowsCopies || view.spec->isGang || isAborted(*view.job)) {
        return;
    }
    const auto other = std::ranges::find_if(view.task->runs, [&](const task_run &run) {
        return run.worker != worker.description.id || run.attempt != id.attempt;
    });
    const bool hasOther = other != view.task->runs.end();
    if (!hasOther && !view.task->isDone) {
        return;
    }
    report_second_run report {id,
                              worker.description.id,
                              worker.description.boot,
                              listing == run_listing::ended,
                              view.task->isDone,
                              std::nullopt,
                              {}};
    if (hasOther) {
        report.other = run_id {id.task, other->attempt};
        report.otherWorker = other->worker;
    }
    actions.emplace_back(std::move(report));
}

} // namespace primrosecroft::detail
