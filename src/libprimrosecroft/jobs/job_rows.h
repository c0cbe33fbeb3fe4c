#pragma once

#include "jobs/job.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/**
 * Where a job's state lies in the store. While it is live: the accepted job, a mark of its
 * cancelling, and what ended so far, side by side. Once it has ended: only how.
 */
namespace primrosecroft
{

inline constexpr const char *jobTable = "jobs"; ///< rows of live jobs
inline constexpr const char *endedTable = "ended"; ///< how jobs ended
inline constexpr const char *inboxTable = "inbox"; ///< ids that the owner wasn't told of
inline constexpr const char *cellTable = "cell"; ///< ownership

/// The part of a job's shard. One shard carries a deployment of today's size.
inline constexpr const char *shardPart = "s0";

row_place jobPlace(const job_id &id);
row_place cancelPlace(const job_id &id);
row_place progressPlace(const job_id &id);
row_place endedPlace(const job_id &id);
row_place inboxPlace(const job_id &id);

/// Written with each of the owner's records and named in the condition of the next: a record that got no answer and
/// is carried out late can't undo a newer one.
row_place commitSequencePlace();

/// What the operators' sheet in force says of workers and placing.
row_place rulesPlace();

/// Tells the owner by its inbox that the rules have changed.
row_place rulesNoticePlace();

/// The workers that an owner may have given orders to.
row_place contactedWorkersPlace();
std::string encodeContactedWorkers(const std::set<worker_id> &workers);
std::set<worker_id> decodeContactedWorkers(const std::string &row);

/// The transaction that accepts a job: it conflicts when the job is known already.
store_transaction acceptance(const job_id &id, const std::string &row);

/// All rows of one live job.
row_range liveRows(const job_id &id);

enum class live_row
{
    job,
    cancel,
    progress,
};

struct live_key
{
    job_id id;
    live_row kind = live_row::job;
};

/// None when @p key isn't one of ours.
std::optional<live_key> parseLiveKey(const std::string &key);

/// What is stored of a task that hasn't just never ended.
struct task_progress
{
    std::set<std::uint32_t> failedAttempts;
    std::string checkpoint;
    bool mayHaveBegun = false; ///< of a task that runs once: its only start was about to be sent

    friend bool operator==(const task_progress &, const task_progress &) = default;
};

struct step_progress
{
    std::vector<bool> done; ///< a task each; empty when none has ended
    std::map<std::int32_t, task_progress> tasks; ///< by index; only those with failures or a checkpoint
    std::set<std::uint32_t> failedGangs; ///< attempts of the whole gang

    friend bool operator==(const step_progress &, const step_progress &) = default;
};

struct occurrence_progress
{
    bool complete = false; ///< then without steps
    std::map<std::int32_t, step_progress> steps;

    friend bool operator==(const occurrence_progress &, const occurrence_progress &) = default;
};

using job_progress = std::map<std::int32_t, occurrence_progress>;

std::string encodeProgress(const job_progress &progress);

/// Throws error when @p row is no such text.
job_progress decodeProgress(const std::string &row);

struct ended_job
{
    job_status status = job_status::complete;
    std::chrono::milliseconds at {0}; ///< on the store's steady clock
    bool isUnknown = false; ///< failed, as a task that runs once was lost: it may have done its work
};

std::string encodeEnded(const ended_job &job);
ended_job decodeEnded(const std::string &row);

} // namespace primrosecroft
