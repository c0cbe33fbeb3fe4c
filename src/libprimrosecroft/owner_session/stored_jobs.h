#pragma once

#include "cell/cell_messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Puts jobs together from their rows.
namespace primrosecroft
{

/// A row that can't be decoded, or that contradicts the other rows of its job.
struct unreadable_row
{
    job_id job; ///< empty if the row's key is not the key of a live job's row
    row_place place;
    row_version version = 0;
    std::string reason;
};

struct stored_jobs
{
    std::vector<job_arrived> jobs; ///< sorted by id
    std::vector<unreadable_row> unreadable;
};

/// Collects rows of live jobs, in any order. A job of which a row can't be read is set aside: with a part of its rows
/// it might run tasks again that have ended.
class stored_job_collector
{
public:
    void add(const store_row &row);

    /// Returns the collected jobs and begins anew.
    stored_jobs take();

private:
    /// The rows of one job that have been collected so far.
    struct collected_job
    {
        std::optional<job_arrived> job;
        std::map<std::int32_t, store_row> progress; ///< by part
        bool isCancelled = false;
        bool isUnreadable = false;
    };

    void setAside(collected_job &job, const job_id &id, const store_row &row, const std::string &reason);

    std::map<job_id, collected_job> m_jobs;
    std::vector<unreadable_row> m_unreadable;
};

} // namespace primrosecroft
