#pragma once

#include "core/number_ranges.h"
#include "jobs/job.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/**
 * The rows that hold jobs and the owner's state in the store. A live job has rows with adjacent
 * keys: the accepted job, a mark that it is cancelled, and its progress, in more than one row if
 * it is larger than a row may be. When it ends, one row with its final status replaces them.
 */
namespace primrosecroft
{

inline constexpr const char *jobTable = "jobs"; ///< rows of live jobs
inline constexpr const char *endedTable = "ended"; ///< final statuses of jobs
/// Ids of jobs whose notice could not be sent to the owner, and the notice of changed rules.
inline constexpr const char *inboxTable = "inbox";

inline constexpr const char *cellTable = "cell"; ///< ownership, an owner's state for the next one, and the rules

/// The store partition of the only shard. One shard is enough for deployments of today's size.
inline constexpr const char *shardPartition = "s0";

row_place jobPlace(const job_id &id);
row_place cancelPlace(const job_id &id);
/// Place of the progress, or of a further part of it.
row_place progressPlace(const job_id &id, std::int32_t part = 0);
row_place endedPlace(const job_id &id);
row_place inboxPlace(const job_id &id);

/// Row that each commit of the owner's state rewrites, under the condition that it still has the version of the commit
/// before. So a commit that got no answer and takes effect late can't undo a newer one.
row_place commitSequencePlace();

/// Row with the cell_rules of the operators' sheet in force.
row_place rulesPlace();

/// Row in the owner's inbox that is written when the rules have changed.
row_place rulesNoticePlace();

/// Row with the workers that an owner may have sent orders to. The next owner has to reconcile with each of them.
row_place contactedWorkersPlace();
std::string encodeContactedWorkers(const std::set<worker_id> &workers);

/// Throws error if @p row is no encoded set of workers.
std::set<worker_id> decodeContactedWorkers(const std::string &row);

/// Returns the transaction that accepts a job. It conflicts if the job is live or has ended already.
store_transaction acceptance(const job_id &id, const std::string &row);

/// Row that exists while the owner turns jobs away. It is written with the transaction that shows that a job isn't
/// stored, so a direct acceptance that is still on its way to the store has no effect afterwards.
row_place acceptanceBarPlace();

/// Returns the transaction by which a process other than the owner accepts a job. It also conflicts while the owner
/// turns jobs away.
store_transaction directAcceptance(const job_id &id, const std::string &row);

/// Returns the conditions that show that a job is neither live nor has ended.
store_transaction rejection(const job_id &id);

/// The range of all rows of a live job.
row_range liveRows(const job_id &id);

/// The kinds of rows that a live job has.
enum class live_row
{
    job,
    cancel,
    progress,
};

/// Parsed key of a row in the table of live jobs.
struct live_key
{
    job_id id;
    live_row kind = live_row::job;
    std::int32_t part = 0; ///< of the progress, which may have several
};

/// Returns std::nullopt if @p key isn't the key of a live job's row.
std::optional<live_key> parseLiveKey(const std::string &key);

/// How many workers were lost under a task, that is, while a run of it was there.
struct lost_workers
{
    std::uint32_t soon = 0; ///< before they had survived the start of the run, so it may be why
    std::uint32_t alone = 0; ///< of these, while no other run there could be why
    std::uint32_t later = 0; ///< after they had survived it
    /// Workers that have surely ended under it, also many at the same time, of which soon and later don't tell. Of the
    /// others some are silent or refuse connections, or the end of a run that an earlier owner started isn't known.
    std::uint32_t proven = 0;

    friend bool operator==(const lost_workers &, const lost_workers &) = default;
};

/// Among which of the lost workers a loss is counted.
enum class loss_count
{
    none,
    soon,
    later,
};

/// A worker that fell silent under a run until its leases had expired, and hasn't answered since. Whether it has ended
/// isn't known.
struct unsettled_loss
{
    std::uint32_t attempt = 0;
    worker_id worker;
    worker_boot boot = 0; ///< in which the run was
    std::string address; ///< another worker that answers there tells that this one has ended
    loss_count counted = loss_count::none; ///< taken back if it answers in the same boot
    bool isTrial = false; ///< no other run there could be why; counts if the worker has ended
    bool countsLater = false; ///< it isn't counted, and counts among the workers lost later if it has ended

    friend bool operator==(const unsettled_loss &, const unsettled_loss &) = default;
};

/// Stored state of a task that has failed attempts, a checkpoint, lost workers or, if it is at-most-once, a recorded
/// start.
struct task_progress
{
    std::set<std::uint32_t> failedAttempts; ///< numbers of the attempts that failed
    std::string checkpoint; ///< the latest one; empty if there is none
    bool mayHaveBegun = false; ///< stored for an at-most-once task before its only start is sent
    lost_workers lost; ///< earlier versions don't store it for members of a gang
    std::vector<unsettled_loss> unsettled {}; ///< likewise; yet earlier ones store none

    friend bool operator==(const task_progress &, const task_progress &) = default;
};

struct step_progress
{
    /// One entry for each task; empty if no task is done. After decoding, up to 7 entries more, which are false.
    std::vector<bool> done;
    std::map<std::int32_t, task_progress> tasks; ///< by index; only the tasks that have something to store
    std::set<std::uint32_t> failedGangs; ///< numbers of the failed attempts of the whole gang
    std::uint32_t attemptLimit = 0; ///< the highest number that an attempt may have; 0 if the owner's term gives it
    /// Of the whole gang, whichever members ran there. Only earlier versions store it.
    lost_workers gangLost;
    std::vector<unsettled_loss> gangUnsettled {}; ///< likewise; not read any more

    friend bool operator==(const step_progress &, const step_progress &) = default;
};

struct occurrence_progress
{
    std::map<std::int32_t, step_progress> steps; ///< by index; only the steps that have something to store

    friend bool operator==(const occurrence_progress &, const occurrence_progress &) = default;
};

/// Progress of a job, by the numbers of its occurrences. Its size hangs on those that are open, not on their number.
struct job_progress
{
    number_ranges complete;
    std::map<std::int32_t, occurrence_progress> open; ///< those that have begun and aren't complete

    friend bool operator==(const job_progress &, const job_progress &) = default;
};

bool isEmpty(const job_progress &progress);

std::string encodeProgress(const job_progress &progress);

/// Returns the rows of an encoded progress, in parts of at most @p maxBytes.
std::vector<row_write> progressRows(const job_id &id, const std::string &progress, std::size_t maxBytes);

/// Inverse of encodeProgress. Throws error if @p row is no encoded progress.
job_progress decodeProgress(const std::string &row);

/// Throws error if @p progress names an occurrence, step or task that a job of this form doesn't have.
void checkProgress(const job_spec &spec, const job_progress &progress);

/// How and when a job ended.
struct ended_job
{
    job_status status = job_status::complete;
    std::chrono::milliseconds at {0}; ///< time of the end on the store's steady clock
    /// The job failed because an at-most-once task was lost, which may have done its work.
    bool isOutcomeUnknown = false;
};

std::string encodeEnded(const ended_job &job);

/// Inverse of encodeEnded. Throws error if @p row is no encoded end.
ended_job decodeEnded(const std::string &row);

} // namespace primrosecroft
