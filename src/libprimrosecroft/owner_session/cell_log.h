#pragma once

#include "cell/cell.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"

namespace primrosecroft
{

/// Writes the reports of the core to the log and to the metrics.
class cell_log
{
public:
    cell_log(decision_log &log, metrics &measures);

    void write(const report_placed &report);
    void write(const report_unanswered_start &report);
    void write(const report_doubted_run &report);
    void write(const report_gang_stopped &report);
    void write(const report_ended &report);
    void write(const report_second_run &report);
    void write(const report_job_end &report);
    void write(const report_worker_change &report);
    void write(const report_worker_loss &report);
    void write(const report_suspect &report);
    void write(const report_trial &report);
    void write(const report_loss_settled &report);
    void write(const report_given_up &report);
    void write(const report_job_size &report);
    void write(const report_limit_reached &report);

    /// Writes the line that summarizes the cell.
    void writeSummary(const cell_state &state, instant now);

    /// Writes that the owner serves, @p took after it began.
    void writeServing(const cell_state &state, duration took);

private:
    void writeGivenUp(const report_ended &report, const run_evidence &evidence);

    decision_log &m_log;
    metrics &m_measures;
};

} // namespace primrosecroft
