#pragma once

#include "cell/runner_context.h"
#include "io/timer.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace primrosecroft
{

/// Reads jobs from their rows for the core.
class job_reader
{
public:
    using read_handler = std::function<void(bool isRead)>;

    explicit job_reader(const runner_context &context);

    /// Reads all live jobs, repeatedly until it succeeds, and then calls @p done with the store's version at the read
    /// of the first page: the pages hold all jobs that were accepted before.
    void load(std::function<void(row_version firstVersion)> done);

    /// Passes the jobs that load() has read to the core.
    void addLoaded();

    /// Reads the rows of a job that isn't known here or that may have been cancelled. @p done is told whether the read
    /// succeeded.
    void read(const job_id &id, read_handler done);

    void stop();

private:
    void loadPage(const std::string &from);
    void collect(const store_row &row);
    void applyRows(const job_id &id, const std::vector<store_row> &rows);
    void clear();

    const runner_context &m_context;
    std::function<void(row_version firstVersion)> m_loaded;
    std::optional<row_version> m_firstVersion; ///< of the store at the read of the first page
    std::map<job_id, job_arrived> m_jobs; ///< jobs whose rows have been read but not yet given to the core
    std::set<job_id> m_cancellations; ///< likewise, jobs with a cancel row
    std::map<job_id, job_progress> m_progress; ///< likewise, the progress rows
    timer m_loadTimer;
};

} // namespace primrosecroft
