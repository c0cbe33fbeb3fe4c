#pragma once

#include "cell/cell_messages.h"
#include "cell/work_rates.h"
#include "durations/step_times.h"
#include "workspaces/workspace_rates.h"
#include "workspaces/workspace_usage.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * The core of a shard's owner: it keeps the shard's jobs, places their tasks on workers,
 * extends the leases of running tasks and stores how they ended.
 *
 * step() and runSchedulingPass() make all decisions without I/O, clocks or global state.
 * The surrounding program carries out the resulting actions and passes their results back as
 * messages. A cell_state covers one ownership: the next owner starts with makeCell() and
 * the rows in the store.
 */
namespace primrosecroft
{

struct cell_settings
{
    std::chrono::milliseconds maxLease {6'000}; ///< the longest lease that the platform allows
    std::chrono::milliseconds maxStopTime {200}; ///< a run holds its resources for up to this long after a stop
    std::size_t maxRowBytes {65'536}; ///< the longest value of a row that the store takes
    bool learnsDurations = true; ///< otherwise tasks are expected to take the caller's estimate
};

/// The take-over of the shard, from which an ownership starts.
struct cell_take_over
{
    row_version token = 0; ///< fencing token: the version that the take-over gave to the owner's row
    std::int64_t term = 0; ///< number of take-overs before this one
    instant takenAt; ///< when the store's answer to the take-over arrived
    std::set<worker_id> contactedWorkers; ///< workers that an earlier owner may have sent orders to
    row_version commitSequence = 0; ///< version of the row that each commit rewrites; 0 if there is none
};

enum class run_phase
{
    starting, ///< the start was sent; its capacity is reserved until the worker refuses it
    unconfirmed, ///< the start got no answer: the run may exist, now or later
    running,
};

/// What the loss of a worker tells of a run there.
enum class loss_evidence
{
    ofNone, ///< many others were lost too
    ofSuspects, ///< it may also be up, or a trial is more likely to be why
    ofAll,
    ofTrial, ///< no other run may be why
};

/// One attempt at a task on a worker.
struct task_run
{
    worker_id worker;
    worker_boot boot = 0; ///< boot that orders on the run name
    bool isShown = false; ///< a list has shown it; until then any later boot of the worker may turn out to run it
    /// The worker has restarted since the start was sent, so the run is either in its present boot or over.
    bool mayBeOver = false;
    std::optional<loss_evidence> lossIfOver; ///< what the restart then tells of the run; unset if it isn't counted
    std::uint32_t attempt = 0;
    run_phase phase = run_phase::starting;
    instant sentAt; ///< when the start was sent, or the run was found on the worker
    instant runningSince; ///< when the worker accepted the start, or first listed the run
    bool isStopWanted = false;
    bool isStopForDrain = false; ///< the stop is only wanted because the worker drains, so it may have to wait
    bool isStopPending = false; ///< a stop was sent and is not answered yet
    instant stopConfirmedAt; ///< when the worker confirmed the stop; zero before
    instant nextStopAt; ///< a stop that failed is not sent again before this time
    std::int32_t percent = 0; ///< progress that the worker last reported
    std::int32_t firstPercent = 0; ///< progress at firstPercentAt
    instant firstPercentAt; ///< its progress is known since then; zero for a resumed run that no list has shown
    instant lastProgressAt; ///< when percent last changed, or the start was sent or accepted
    std::int64_t load = 0; ///< as in listed_run
    bool isCounted = false; ///< counted ahead among the workers lost under its task, which may crash them
    /// Count in which the loss of its worker, which refuses connections, is counted ahead; nullptr if it isn't.
    std::uint32_t lost_workers::*refusalCount = nullptr;
    /// Its worker hasn't survived it yet, and it also started where no other run could be why its worker is lost.
    bool isTrial = false;
};

/// A lost worker under a task, while this owner remembers for which attempt it is counted.
struct counted_loss
{
    std::uint32_t lost_workers::*count = nullptr; ///< in which it is counted besides; nullptr if it only is proven
    bool isProven = false;
};

/// The workers lost under a task. A later owner has to know of them before the next start.
struct loss_record
{
    lost_workers counts;
    lost_workers stored; ///< counts that a commit has stored
    std::map<std::uint32_t, counted_loss> byAttempt {}; ///< by attempt
    /// The next start, or the one under way, is counted ahead among the workers lost soon: so a later owner knows of it
    /// even if this one doesn't see how it ends.
    bool isNextCounted = false;
    std::vector<unsettled_loss> unsettled {}; ///< silent workers, of which the counts may tell too much or too little
};

struct task_state
{
    bool isDone = false;
    std::set<std::uint32_t> failedAttempts;
    std::string checkpoint; ///< to resume from; empty if there is none
    bool mayHaveBegun = false; ///< the start of this at-most-once task is stored, or is about to be
    bool isStartStored = false; ///< the start is stored, so it may be sent to a worker
    bool wasBegunBefore = false; ///< an earlier owner stored the start
    std::uint32_t lastAttempt = 0; ///< number of the latest attempt; the next one gets a higher number
    std::vector<task_run> runs; ///< more than one only if the step allows copies
    loss_record losses; ///< of its own workers, also if it is a member of a gang
    bool needsCopy = false; ///< its run is late or its worker unresponsive, so a copy may start
    std::set<worker_id> avoidedWorkers; ///< on which it failed or stalled; it rather goes to others, for a while
    instant pendingSince; ///< when the task last became pending, under this owner
    /// When a service's task last became pending. If that was under an earlier owner, the earliest time at which it may
    /// have been, since rows don't hold it.
    instant awaySince;
    instant notBefore; ///< the task may not start before this time
    std::int32_t unseenRuns = 0; ///< runs since an earlier owner that may exist and count as unseen for its workspace
};

/// Answer of the advice service about one worker.
struct advised_worker
{
    bool isAllowed = false;
    std::string ticket; ///< empty unless the worker is allowed
    instant validUntil; ///< end of the ticket; zero if there is none, or the worker refused it
};

/// Answers of the advice service about a step. Whether a worker is allowed never changes; its ticket expires.
struct step_advice
{
    std::map<worker_id, advised_worker> workers; ///< the workers asked about so far
    bool isRequestPending = false;
    instant retryAt; ///< no request is sent before this time
};

struct step_state
{
    std::vector<task_state> tasks;
    std::vector<std::int32_t> pendingTasks; ///< indices of the tasks to start
    std::int32_t doneCount = 0;
    bool isReady = false; ///< all steps that it waits for have ended
    instant readyAt;
    duration_forecast forecast; ///< of one of its tasks
    /// Expected time from the step's start to the end of its occurrence, on the safe side if forecasts are wide.
    std::chrono::milliseconds criticalPath {0};
    std::set<std::uint32_t> failedGangs; ///< attempts of the gang that failed
    std::uint32_t gangAttempt = 0; ///< last attempt, which all members of the gang share
    instant incompleteSince; ///< a member of the gang isn't expected to run since then, while others are; zero if none
    std::uint32_t attemptLimit = 0; ///< attempts up to this number may start; a later owner's are higher
    std::uint32_t reservedAttempts = 0; ///< a higher limit that is stored, or is about to be; 0 for none
    bool hasPassedTrial = false; ///< a worker has survived a task that was suspected to crash it
    step_advice advice;
    step_times times; ///< of the tasks that have ended
};

/// One execution of a job's steps. A job without a schedule has one occurrence.
struct occurrence_state
{
    std::vector<step_state> steps;
    bool isComplete = false;
};

/// An end that a worker listed in one boot, or all its ends up to that one.
struct covered_ends
{
    worker_boot boot = 0;
    std::int64_t number = 0;
};

struct job_state
{
    accepted_job accepted;
    row_version version = 0; ///< version of the job's row; 0 if only the notice of its acceptance arrived
    instant arrivedAt; ///< acceptance of the job, on this process's clock
    std::chrono::milliseconds objective {0}; ///< time within which it should complete, from arrivedAt
    std::map<std::int32_t, occurrence_state> occurrences; ///< by number; without complete ones that have no runs left
    number_ranges completeOccurrences;
    std::int32_t nextOccurrence = 0; ///< number of the first occurrence that has not begun; later ones may have
    std::int32_t openOccurrences = 0; ///< occurrences begun and not complete
    bool hasStarted = false; ///< a task has started, or progress was stored
    std::int32_t progressRows = 0; ///< rows with its progress that are or may be stored
    std::int32_t writtenProgressRows = 0; ///< of these, those of the last commit that wrote the job
    bool isBeyondRate = false; ///< its workspace has sent more jobs than its rate allows; they go behind all others
    bool isCancelled = false;
    bool hasFailed = false;
    job_failure failure = job_failure::none; ///< why it has failed under this owner
    bool isOutcomeUnknown = false; ///< an at-most-once task was lost, so it may have done its work or not
    bool hasUnsavedChanges = false; ///< its stored rows are out of date
    /// For each worker, an end no later than its first one that isn't in the job's stored rows. Workers whose ends are
    /// all stored are missing.
    std::map<worker_id, covered_ends> unsavedEnds;
    bool isTooLarge = false; ///< its rows with all checkpoints don't fit into one commit
    bool isEndStored = false; ///< the job is kept only while its runs hold reservations on workers
};

/// A reading of a worker's clock, from which bounds of the worker's time at other moments are computed.
struct clock_sample
{
    worker_time clock {0};
    instant receivedAt; ///< on this process's clock
};

/// Capacity of a worker that is reserved for a run.
struct reservation
{
    resources size; ///< without processor time if the task is best-effort
    std::int64_t declaredCores = 0; ///< processor time that the step asks for, in thousandths of a core
    workspace_name workspace; ///< that the run counts for; empty for none
    bool isLatencySensitive = false; ///< the task has a latency target
    bool isBestEffort = false;
};

struct worker_health
{
    /// Jobs with a task that failed there since a task last succeeded there or the worker was last quarantined.
    std::set<job_id> failedJobs;
    std::int32_t stalls = 0; ///< runs that stalled there, counted from the same moment
    instant quarantinedUntil; ///< no new tasks start there before this time; zero before the first quarantine
    std::chrono::milliseconds pause {0}; ///< length of the last quarantine for failed tasks; 0 after a success
    double slowness = 1; ///< smoothed ratio of the time that work takes there to its forecast; above 1 is slower
};

/// A worker's entry in the platform's list that tells of another boot than the known one. It may be of a later boot, or
/// of an earlier one and late.
struct doubted_entry
{
    worker_description description;
    instant since; ///< a list that was requested then or later tells which
};

struct worker_state
{
    worker_description description;
    instant bootKnownAt; ///< when the present boot became known; zero for the first one
    /// The highest boot so far. The time of day of a worker may go back, so that a later boot is lower.
    worker_boot highestBoot = 0;
    std::optional<doubted_entry> doubtedEntry;
    worker_boot earlierBoot = 0; ///< the last boot that is known to be over, whose entry may lag
    worker_boot lostBoot = 0; ///< the last boot whose loss is counted
    bool isListed = false; ///< the platform lists the worker, in its present boot
    instant drainEndsAt; ///< when the draining worker is removed at the earliest; zero if unknown or not draining
    std::optional<clock_sample> clock; ///< from the last list; std::nullopt before the first one of this boot
    worker_time latestDeadline {0}; ///< latest deadline among the orders sent in this boot
    instant leasesEndBy; ///< by then all leases granted so far have expired; zero before the first list of this boot
    instant lastLeaseOrderAt; ///< when an order that extends leases was last sent, or a start last accepted
    /// By then the leases have expired that orders to an earlier boot may have extended in this one; zero if none may.
    instant strayLeasesEndBy;
    instant lastListAt; ///< when the last list arrived; zero if none has, or the worker refused a connection since
    bool isListPending = false; ///< a list was requested and is not answered yet
    worker_boot requestedBoot = 0; ///< boot that the last list request named; 0 for any
    bool isUnresponsive = false; ///< the last list request failed; no leases are extended until one succeeds
    instant refusedSince; ///< when it first refused a connection since its last list; zero if it hasn't
    instant lastSignAt; ///< when the last list of this boot arrived
    instant lastAnswerAt; ///< when it last accepted a start in this boot; zero if it hasn't
    instant lastStartAt; ///< a run there began at this time or earlier; zero if none is known
    /// Runs on trial there. Two or more are members of a gang, or were found there at a take-over.
    std::set<run_id> trials;
    instant nextListAt; ///< no list is requested before this time
    std::int64_t processedEnd = 0; ///< number of the last end that was processed; 0 for none in this boot
    std::int64_t acknowledgedEnd = 0; ///< ends up to this number are stored, so the worker may forget them
    resources used; ///< sum of the reservations
    std::map<run_id, reservation> reservations;
    std::int32_t latencySensitiveCount = 0; ///< reservations of tasks with a latency target
    std::int32_t bestEffortCount = 0; ///< reservations of best-effort tasks
    std::int64_t bestEffortCores = 0; ///< processor time that those ask for, in thousandths of a core
    /// Runs listed there whose job is not known here, so their size is unknown too, with the time since when they are
    /// missing from the lists; zero while they are listed.
    std::map<run_id, instant> unknownRuns;
    worker_health health;
    /// Shares of its free capacity that pending calls for advice are expected to use, by the priority of their queues.
    std::map<std::int32_t, double> adviceClaims;
    bool isReconciled = false; ///< the worker has sent a list under this owner's fencing token
    /// By then the runs have ended that an earlier owner had stopped, and which no list shows. Zero if there are none.
    instant formerStopsEndAt;
};

/// A worker that hasn't answered since its leases expired under its runs.
struct silent_worker
{
    std::string address;
    instant since; ///< when the last of its losses became known here
    std::set<task_ref> tasks; ///< those, or their gangs, of which a loss of the worker isn't settled
};

/// Bounds of the time at which a worker was lost.
struct loss_time
{
    instant from; ///< its last sign of life
    instant until; ///< its first refusal of a connection after that, or the answer of its next boot
};

/// Statistics of the advice service's answers for one queue.
struct advice_stats
{
    double allowedShare = 0.5; ///< smoothed share of allowed workers among those asked about
};

/// Shares of workers' free capacity that the pending call of a step is expected to use.
struct advice_claim
{
    std::int32_t priority = 0; ///< of the step's queue
    std::map<worker_id, double> shares;
};

struct cell_state
{
    cell_settings settings;
    cell_take_over takeOver;
    /// The ownership was in force at this version of the store or later. A job that was stored after it may belong to
    /// a later owner, which has not read it and doesn't expect it to run.
    row_version confirmedVersion = 0;
    instant confirmedAt; ///< the ownership was in force at this moment or later; zero if never confirmed
    std::chrono::milliseconds timeOfDay {0}; ///< since 1970
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 while it is not known
    std::map<worker_id, worker_state> workers;
    std::set<worker_id> unreconciledWorkers; ///< workers that may still run tasks of an earlier owner
    instant inDoubtUntil; ///< by then the leases of an earlier owner have expired
    std::set<worker_id> contactedWorkers; ///< as stored for the next owner; only these workers may get tasks
    /// Their row can't be read, so any worker may run tasks of an earlier owner. No task starts until inDoubtUntil, and
    /// the row stays as it is, so that a next owner waits as well.
    bool areContactedWorkersUnknown = false;
    std::uint64_t contactedWorkersCommit = 0; ///< number of the pending commit that stores them anew; 0 for none
    std::set<worker_id> contactedWorkersSent; ///< the workers that this commit stores
    cell_rules rules;
    workspace_policies workspaces; ///< of the configuration in force
    work_rates rates; ///< by the name of the pool
    bool areWorkspacesKnown = false; ///< a configuration has told them; until then no task of a workspace starts
    workspace_usage usage;
    workspace_rates workspaceRates;
    std::map<workspace_name, instant> nextLimitReports; ///< no report of a reached limit is made before this time
    std::map<job_id, job_state> jobs;
    std::map<job_id, job_status> finishedJobs; ///< jobs whose end is stored, the latest ones
    std::deque<job_id> finishedJobsOrder; ///< the same jobs, oldest end first
    std::set<job_id> jobsToRemove; ///< jobs whose end is stored, kept until all their runs are over
    std::map<queue_name, advice_stats> advice;
    std::map<step_ref, advice_claim> adviceClaims; ///< of the pending calls for advice
    duration_model durations; ///< learned from the runs that have ended, also under earlier owners
    double usualSlowness = 1; ///< smoothed slowness of the workers on which tasks ended; that of a usual worker
    instant nextForecastAt; ///< forecasts of waiting steps are not renewed before this time
    std::int32_t adviceRoutes = 1; ///< processes that can call the advice service
    std::int32_t cheapAdviceCalls = 0; ///< calls of the advice service that are pending
    std::int32_t costlyAdviceCalls = 0; ///< likewise, of the calls that take long
    std::set<job_id> unsavedJobs; ///< jobs with changes to store
    row_version commitSequence = 0; ///< version of the commit sequence row, as last known
    row_version acceptanceBar = row_condition::absent; ///< version of the row that bars direct acceptance, if any
    std::uint64_t lastCommit = 0; ///< number of the last commit
    bool isCommitPending = false;
    std::set<job_id> committingJobs; ///< jobs that the pending commit writes
    job_id lastJobWritten; ///< the last one of the last commit; the next commit begins with the one after it
    std::map<worker_id, covered_ends> committingEnds; ///< processed ends that are stored once the commit is done
    /// Also workers that the platform no longer lists and that are forgotten otherwise. Their next answer, or that of
    /// another worker at their address, tells whether they have ended.
    std::map<worker_id, silent_worker> silentWorkers;
    std::deque<loss_time> recentLosses; ///< of workers under no trial, the latest ones
    instant nextCommitAt; ///< no commit is made before this time
    instant nextSupervisionAt;
    instant nextBacklogAt; ///< the backlog isn't measured before this time
};

cell_state makeCell(const cell_settings &settings, const cell_take_over &takeOver);

/// Handles one message at time @p now and appends the actions that follow at once.
void step(cell_state &state, const cell_message &message, instant now, std::vector<cell_action> &actions);

/// Places pending tasks, polls workers and stores changes. Called after each batch of messages.
void runSchedulingPass(cell_state &state, instant now, std::vector<cell_action> &actions);

/// For each queue, the number of its live jobs that have started no task. Queues without such jobs are missing.
std::map<queue_name, std::int64_t> waitingJobs(const cell_state &state);

/// Status of a job as reported to callers. Returns std::nullopt if the job is not known here.
std::optional<job_status> statusOf(const cell_state &state, const job_id &id);

/// State and worker of one task in a job's first occurrence.
struct task_location
{
    std::int32_t index = 0; ///< counted through all steps
    std::string state; ///< waiting, starting, running or done
    worker_id worker; ///< empty if the task is waiting or done
};

/// Returns an empty list if the job is not known here or has begun no occurrence.
std::vector<task_location> taskLocations(const cell_state &state, const job_id &id);

/// Totals of the cell for logs and metrics.
struct cell_summary
{
    std::size_t jobs = 0;
    std::size_t waitingSteps = 0; ///< steps that are ready and have pending tasks
    std::size_t waitingTasks = 0;
    std::size_t stepsOverLimit = 0; ///< waiting steps of which the limit of their workspace lets no task start now
    std::size_t workspacesOverLimit = 0; ///< workspaces with such steps
    std::size_t stepsAwaitingAdvice = 0; ///< steps with a pending request to the advice service
    std::size_t workers = 0;
    std::size_t usable = 0; ///< workers that may take tasks now
    std::size_t unreconciled = 0; ///< workers that may still run tasks of an earlier owner
    std::int64_t usedCores = 0; ///< reserved for runs on all workers, in thousandths of a core
    std::int64_t offeredCores = 0; ///< capacity of the usable workers, in thousandths of a core
    std::int64_t freeCores = 0; ///< of these, those that no run holds
    std::int64_t largestFree = 0; ///< the most of them on one worker, which is the largest task that fits
    /// Free cores of workers on which no waiting task fits, while tasks wait; without regard to advice.
    std::int64_t strandedCores = 0;
};

cell_summary summarize(const cell_state &state, instant now);

/// Explains to operators why a job's next task is not running.
std::string explainWaiting(const cell_state &state, const job_id &id, instant now);

} // namespace primrosecroft
