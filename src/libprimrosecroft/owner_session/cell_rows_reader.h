#pragma once

#include "core/error.h"
#include "io/timer.h"
#include "owner_session/runner_context.h"

#include <functional>
#include <vector>

namespace primrosecroft
{

/// Reads the rows that an owner leaves to the next one, and the rules of the operators' sheet.
class cell_rows_reader
{
public:
    explicit cell_rows_reader(const runner_context &context);

    /// Reads the rows for a new owner, repeatedly until it succeeds, and then calls @p done with the store's version at
    /// the read.
    void load(std::function<void(row_version version)> done);

    /// Reads the rules and passes them to the core. @p done is told whether the read succeeded.
    void readRules(std::function<void(bool isRead)> done);

    void stop();

private:
    void applyDurations(const std::vector<store_row> &rows);
    void applyContactedWorkers(const std::vector<store_row> &rows);
    void applyRules(const std::vector<store_row> &rows);
    void logUnreadable(const store_row &row, const error &fault);

    const runner_context &m_context;
    row_version m_rulesVersion = row_condition::absent; ///< of the row with the rules in force
    timer m_retryTimer;
};

} // namespace primrosecroft
