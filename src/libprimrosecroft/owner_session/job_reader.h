#pragma once

#include "io/timer.h"
#include "owner_session/read_paging.h"
#include "owner_session/runner_context.h"
#include "owner_session/stored_jobs.h"

#include <functional>
#include <map>
#include <optional>
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

    /// Returns whether a row of the job couldn't be read when its rows were last read. The core doesn't have such a
    /// job; its rows stay as they are.
    bool isSetAside(const job_id &id) const;

    void stop();

private:
    void loadPage(const std::string &from);
    void applyRows(const job_id &id, const std::vector<store_row> &rows);
    void setAside(const std::vector<unreadable_row> &rows);

    const runner_context &m_context;
    std::function<void(row_version firstVersion)> m_loaded;
    std::optional<row_version> m_firstVersion; ///< of the store at the read of the first page
    read_paging m_paging;
    stored_job_collector m_loadedJobs; ///< not given to the core yet
    std::map<job_id, row_version> m_setAside; ///< version of the latest unreadable row of each such job
    timer m_loadTimer;
};

} // namespace primrosecroft
