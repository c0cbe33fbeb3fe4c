#include "owner_session/cell_log.h"

#include "durations/duration_report.h"

#include <array>
#include <cmath>
#include <string>

namespace primrosecroft
{

namespace
{

std::string millisecondsText(duration amount)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(amount).count());
}

/// Milli-cores, MiB of memory and accelerators.
std::string amounts(const resources &value)
{
    return std::to_string(value.milliCores) + "/" + std::to_string(value.memoryMib) + "/"
        + std::to_string(value.accelerators);
}

std::string flag(bool value)
{
    return value ? "1" : "0";
}

std::string ageText(const std::optional<std::chrono::milliseconds> &age)
{
    return age ? std::to_string(age->count()) : "none";
}

std::string reasonText(job_failure failure)
{
    switch (failure) {
    case job_failure::none:
        return "none";
    case job_failure::attempts:
        return "attempts";
    case job_failure::crashes:
        return "crashes";
    case job_failure::lostRun:
        return "lost-run";
    }
    return "";
}

std::string percentText(double share)
{
    return std::to_string(std::lround(share * 100));
}

} // namespace

cell_log::cell_log(decision_log &log, metrics &measures)
    : m_log(log)
    , m_measures(measures)
{
}

void cell_log::write(const report_placed &report)
{
    m_measures.observe("primrosecroft_task_wait_seconds", "kind", "placed", report.waited);
    m_log.write("cell", "placed",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"waited_ms", std::to_string(report.waited.count())}});
}

void cell_log::write(const report_unanswered_start &report)
{
    m_measures.count("primrosecroft_starts_without_answer", "outcome", "unanswered");
    m_log.write("cell", "start-unanswered",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"sent_ms", std::to_string(report.sentAgo.count())}});
}

void cell_log::write(const report_doubted_run &report)
{
    m_measures.count("primrosecroft_starts_without_answer", "outcome", "not-listed");
    m_log.write("cell", "run-doubted",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"sent_ms", std::to_string(report.sentAgo.count())},
                 {"list_sent_ms", std::to_string(report.listSentAgo.count())}});
}

void cell_log::write(const report_gang_stopped &report)
{
    m_measures.count("primrosecroft_gangs_stopped", "reason", "incomplete");
    m_log.write("cell", "gang-stopped",
                {{"missing", toString(report.missing.task)}, {"attempt", std::to_string(report.missing.attempt)}});
}

void cell_log::write(const report_ended &report)
{
    m_measures.count("primrosecroft_runs_ended", "how", report.how);
    if (report.how == "done") {
        return; // the log line of the job covers it
    }
    if (report.evidence) {
        writeGivenUp(report, *report.evidence);
        return;
    }
    m_log.write("cell", "ended",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"how", report.how}});
}

/// A line of its own kind, so that a burst of other ends takes none of its budget.
void cell_log::writeGivenUp(const report_ended &report, const run_evidence &evidence)
{
    m_log.write("cell", "run-given-up",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"how", report.how},
                 {"boot", std::to_string(evidence.boot)},
                 {"shown", flag(evidence.isShown)},
                 {"confirmed", flag(evidence.isConfirmed)},
                 {"sent_ms", std::to_string(evidence.sentAgo.count())},
                 {"heard_ms", ageText(evidence.heardAgo)},
                 {"stopped_ms", ageText(evidence.stoppedAgo)}});
}

void cell_log::write(const report_second_run &report)
{
    m_measures.count("primrosecroft_second_runs", "how", report.hasEnded ? "ended" : "listed");
    m_log.write("cell", "second-run",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"boot", std::to_string(report.boot)},
                 {"ended", flag(report.hasEnded)},
                 {"task_done", flag(report.isTaskDone)},
                 {"other_attempt", report.other ? std::to_string(report.other->attempt) : "none"},
                 {"other_worker", report.other ? report.otherWorker : "none"}});
}

void cell_log::write(const report_job_end &report)
{
    m_measures.count("primrosecroft_jobs_ended", "status", toString(report.status));
    m_measures.observe("primrosecroft_job_seconds", "queue", report.queue, report.took);
    m_log.write("cell", "job",
                {{"id", report.id},
                 {"queue", report.queue},
                 {"status", toString(report.status)},
                 {"reason", reasonText(report.failure)},
                 {"took_ms", std::to_string(report.took.count())},
                 {"objective_ms", std::to_string(report.objective.count())}});
}

void cell_log::write(const report_worker_change &report)
{
    m_log.write("cell", "worker",
                {{"worker", report.worker}, {"change", report.change}, {"boot", std::to_string(report.boot)}});
}

void cell_log::write(const report_worker_loss &report)
{
    m_measures.count("primrosecroft_workers_lost", "how", report.how);
    m_log.write("cell", "worker-lost",
                {{"worker", report.worker},
                 {"how", report.how},
                 {"silent_ms", std::to_string(report.silentFor.count())},
                 {"suspects", std::to_string(report.suspects)},
                 {"others", std::to_string(report.others)},
                 {"trial", std::to_string(report.isTrial ? 1 : 0)},
                 {"wave", std::to_string(report.isWave ? 1 : 0)}});
}

void cell_log::write(const report_suspect &report)
{
    m_log.write("cell", "suspect",
                {{"task", toString(report.task)},
                 {"worker", report.worker},
                 {"soon", std::to_string(report.counts.soon)},
                 {"alone", std::to_string(report.counts.alone)},
                 {"later", std::to_string(report.counts.later)},
                 {"proven", std::to_string(report.counts.proven)}});
}

void cell_log::write(const report_trial &report)
{
    static constexpr std::array events {"begun", "adopted", "survived"};
    const auto *event = events.at(static_cast<std::size_t>(report.event));
    m_measures.count("primrosecroft_trials", "event", event);
    m_log.write("cell", "trial",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"event", event},
                 {"soon", std::to_string(report.counts.soon)},
                 {"alone", std::to_string(report.counts.alone)},
                 {"later", std::to_string(report.counts.later)},
                 {"proven", std::to_string(report.counts.proven)}});
}

void cell_log::write(const report_loss_settled &report)
{
    const auto *outcome = report.isProven ? "proven" : "taken-back";
    m_measures.count("primrosecroft_worker_losses_settled", "outcome", outcome);
    m_log.write("cell", "loss-settled",
                {{"task", toString(report.run.task)},
                 {"attempt", std::to_string(report.run.attempt)},
                 {"worker", report.worker},
                 {"outcome", outcome},
                 {"soon", std::to_string(report.counts.soon)},
                 {"alone", std::to_string(report.counts.alone)},
                 {"later", std::to_string(report.counts.later)},
                 {"proven", std::to_string(report.counts.proven)}});
}

void cell_log::write(const report_given_up &report)
{
    m_measures.count("primrosecroft_tasks_given_up", "queue", report.queue);
    m_log.writeAlways("cell", "given-up",
                      {{"task", toString(report.task)},
                       {"queue", report.queue},
                       {"reason", "its workers crash"},
                       {"worker", report.worker},
                       {"soon", std::to_string(report.counts.soon)},
                       {"alone", std::to_string(report.counts.alone)},
                       {"later", std::to_string(report.counts.later)},
                       {"proven", std::to_string(report.counts.proven)}});
}

void cell_log::write(const report_job_size &report)
{
    m_log.write("cell", "job-too-large", {{"id", report.id}, {"bytes", std::to_string(report.bytes)}});
}

void cell_log::write(const report_limit_reached &report)
{
    m_log.write("cell", "over-limit",
                {{"workspace", report.workspace},
                 {"job", report.step.job},
                 {"step", std::to_string(report.step.step)},
                 {"waiting_tasks", std::to_string(report.waitingTasks)},
                 {"need", amounts(report.needed)},
                 {"running", amounts(report.running)},
                 {"most_in_use", amounts(report.mostInUse)},
                 {"limit", amounts(report.limit)}});
}

void cell_log::writeSummary(const cell_state &state, instant now)
{
    const auto summary = summarize(state, now);
    m_measures.set("primrosecroft_tasks_waiting", static_cast<double>(summary.waitingTasks));
    m_measures.set("primrosecroft_workers_usable", static_cast<double>(summary.usable));
    m_measures.set("primrosecroft_millicores_used", static_cast<double>(summary.usedCores));
    const auto errors = errorsOf(state.durations);
    m_measures.set("primrosecroft_duration_runs", static_cast<double>(state.durations.runs));
    m_measures.set("primrosecroft_duration_forecast_error", errors.forecasts);
    m_measures.set("primrosecroft_duration_estimate_error", errors.estimates);
    m_log.write("cell", "summary",
                {{"jobs", std::to_string(summary.jobs)},
                 {"waiting_steps", std::to_string(summary.waitingSteps)},
                 {"waiting_tasks", std::to_string(summary.waitingTasks)},
                 {"over_limit_steps", std::to_string(summary.stepsOverLimit)},
                 {"over_limit_workspaces", std::to_string(summary.workspacesOverLimit)},
                 {"asking", std::to_string(summary.stepsAwaitingAdvice)},
                 {"workers", std::to_string(summary.workers)},
                 {"usable", std::to_string(summary.usable)},
                 {"unresolved", std::to_string(summary.unreconciled)},
                 {"used", std::to_string(summary.usedCores)},
                 {"offered", std::to_string(summary.offeredCores)},
                 {"free", std::to_string(summary.freeCores)},
                 {"largest_free", std::to_string(summary.largestFree)},
                 {"stranded", std::to_string(summary.strandedCores)},
                 {"confirmed_ms", millisecondsText(now - state.confirmedAt)},
                 {"learned_runs", std::to_string(state.durations.runs)},
                 {"forecast_error_percent", percentText(errors.forecasts)},
                 {"estimate_error_percent", percentText(errors.estimates)}});
}

void cell_log::writeServing(const cell_state &state, duration took)
{
    m_log.writeAlways("cell", "serving",
                      {{"token", std::to_string(state.takeOver.token)},
                       {"term", std::to_string(state.takeOver.term)},
                       {"jobs", std::to_string(state.jobs.size())},
                       {"workers", std::to_string(state.workers.size())},
                       {"book", std::to_string(state.contactedWorkers.size())},
                       {"ms", millisecondsText(took)}});
}

} // namespace primrosecroft
