#pragma once

#include "cell/cell_messages.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/**
 * The owner of a shard: keeps its jobs, places their tasks on workers, holds the leases
 * of what runs, and records how it ended.
 *
 * Everything is decided by step(), without I/O, clock or global state. The program around it
 * carries out the actions and feeds back what came of them. State lives as long as one
 * ownership: the next owner begins with makeCell() and the rows in the store.
 */
namespace primrosecroft
{

struct cell_settings
{
    std::chrono::milliseconds maxLease {6'000}; ///< the platform's bound on a lease
};

/// Where an ownership begins.
struct cell_take_over
{
    row_version token = 0; ///< the fencing token: version under which the ownership row was taken
    std::int64_t term = 0; ///< number of take-overs before this one
    instant takenAt; ///< when the store's answer to the take-over came
    std::set<worker_id> contactedWorkers; ///< workers that an earlier owner may have given orders to
    row_version commitSequence = 0; ///< of the chain's row; 0 when there is none
};

enum class run_phase
{
    starting, ///< sent; counts as taken until the worker says otherwise
    unconfirmed, ///< no answer came: it may run, now or later
    running,
};

struct task_run
{
    worker_id worker;
    worker_boot boot = 0;
    std::uint32_t attempt = 0;
    run_phase phase = run_phase::starting;
    instant sentAt;
    instant runningSince; ///< when the worker accepted it, or was first seen running it
    bool isStopWanted = false;
    bool isStopPending = false; ///< and not answered yet
    instant stopConfirmedAt; ///< when its stop was answered; zero before
    instant nextStopAt;
    std::int32_t percent = 0;
    instant lastProgressAt; ///< when it last grew
    std::int32_t pace = 100;
    std::int64_t load = 0;
};

struct task_state
{
    bool done = false;
    std::set<std::uint32_t> failedAttempts;
    std::string checkpoint;
    bool mayHaveBegun = false; ///< of a task that runs once: its start is, or is about to be, recorded
    bool isBeginStored = false; ///< it is recorded, so the start may be sent
    bool wasBegunBefore = false; ///< recorded by an earlier owner
    std::uint32_t lastAttempt = 0;
    std::vector<task_run> runs; ///< more than one only where copies may run
    bool needsCopy = false; ///< its run is late or out of sight; a second one may start
    std::set<worker_id> avoidedWorkers; ///< where it failed
    instant pendingSince;
    instant notBefore;
};

struct advised_worker
{
    bool allowed = false;
    std::string ticket;
    instant validUntil;
};

/// What the advice service has said about a step. Which workers are allowed never changes.
struct step_advice
{
    std::map<worker_id, advised_worker> workers;
    bool isRequestPending = false;
    instant retryAt; ///< not before
};

struct step_state
{
    std::vector<task_state> tasks;
    std::vector<std::int32_t> pendingTasks; ///< tasks to be started, by index
    std::int32_t doneCount = 0;
    bool isReady = false; ///< the steps before it have ended
    instant readyAt;
    std::set<std::uint32_t> failedGangs;
    std::uint32_t gangAttempt = 0;
    step_advice advice;
    std::vector<std::chrono::milliseconds> durations; ///< of runs that ended well
};

struct occurrence_state
{
    std::vector<step_state> steps;
    bool complete = false;
};

struct job_state
{
    accepted_job accepted;
    row_version version = 0;
    instant arrivedAt; ///< its acceptance on this process's clock
    std::chrono::milliseconds objective {0}; ///< from arrivedAt
    std::map<std::int32_t, occurrence_state> occurrences;
    std::int32_t nextOccurrence = 0;
    std::int32_t openOccurrences = 0; ///< begun and not complete
    bool hasStarted = false;
    bool hasProgress = false; ///< a progress row is or may be stored
    bool cancelled = false;
    bool failed = false;
    bool isUnknown = false; ///< a task that runs once was lost
    bool hasUnsavedChanges = false; ///< what is stored has to be written anew
    bool isEndStored = false; ///< it stays here only while runs of it take room on workers
    std::uint64_t writing = 0; ///< number of the commit under way; 0 without one
};

/// When a worker's clock was read. Bounds of its time at other moments follow.
struct clock_sample
{
    worker_time clock {0};
    instant receivedAt;
};

struct reservation
{
    resources size;
    std::int64_t declaredCores = 0; ///< what a task that fills asks for beside the room it takes, in thousandths
    bool isLatencySensitive = false; ///< it has a latency target
    bool isBestEffort = false;
};

struct worker_health
{
    std::set<job_id> failedJobs; ///< unrelated ones since a task last ended well there
    std::int32_t stalls = 0; ///< tasks that stood still since then
    instant quarantinedUntil;
    std::chrono::milliseconds pause {0}; ///< of the last quarantine
    double slowness = 1; ///< how long work takes against other workers, smoothed
};

struct worker_state
{
    worker_description description;
    bool isListed = false; ///< by the platform
    instant drainEndsAt; ///< the end of the notice; zero unless it drains
    std::optional<clock_sample> clock;
    worker_time latestDeadline {0}; ///< of all orders sent in this boot
    instant leasesEndBy; ///< nothing runs there after this, unless orders have been sent since
    instant lastListAt; ///< last list
    bool isListPending = false; ///< a list is asked for
    bool isUnresponsive = false; ///< the last list got no answer: leases there are not extended until one does
    instant nextListAt;
    std::int64_t processedEnd = 0;
    std::int64_t acknowledgedEnd = 0;
    resources used;
    std::map<run_id, reservation> reservations;
    std::int32_t latencySensitiveCount = 0; ///< rooms of tasks with a target
    std::int32_t bestEffortCount = 0; ///< rooms of tasks that fill
    std::int64_t bestEffortCores = 0; ///< what they ask for, in thousandths
    std::set<run_id> unknownRuns; ///< runs of jobs that aren't known here; their size isn't either
    worker_health health;
    bool isReconciled = false; ///< it answered under this owner's token
};

/// Ends of one boot of a worker, up to a number.
struct covered_ends
{
    worker_boot boot = 0;
    std::int64_t number = 0;
};

struct advice_stats
{
    double allowedShare = 0.5; ///< smoothed, of the workers asked for
};

struct cell_state
{
    cell_settings settings;
    cell_take_over takeOver;
    instant confirmedAt; ///< ownership was in force at this moment or later
    std::chrono::milliseconds timeOfDay {0};
    std::chrono::milliseconds storeTime {0};
    std::map<worker_id, worker_state> workers;
    std::set<worker_id> unreconciledWorkers; ///< may hold an earlier owner's tasks
    instant inDoubtUntil; ///< by then its leases have run out
    std::set<worker_id> contactedWorkers; ///< as stored
    std::uint64_t contactedWorkersCommit = 0; ///< number of the commit that carries it
    std::set<worker_id> contactedWorkersSent;
    cell_rules rules;
    std::map<job_id, job_state> jobs;
    std::map<job_id, job_status> finishedJobs; ///< stored ends, the latest ones
    std::deque<job_id> finishedJobsOrder;
    std::set<job_id> jobsToRemove; ///< their ends are stored, runs of them are still being stopped
    std::map<queue_name, advice_stats> advice;
    std::int32_t adviceDispatchers = 1; ///< processes that can ask for advice
    std::int32_t cheapAdviceCalls = 0; ///< calls for advice under way
    std::int32_t costlyAdviceCalls = 0;
    std::set<job_id> unsavedJobs; ///< jobs with something to store
    row_version commitSequence = 0; ///< version of the chain's row, as last known
    std::uint64_t lastCommit = 0;
    bool isCommitPending = false;
    std::set<job_id> committingJobs;
    std::map<worker_id, covered_ends> committingEnds; ///< seen ends that the commit under way covers
    bool committingAll = false; ///< it leaves nothing unsaved that was known when it was made
    instant nextCommitAt;
    instant nextSupervisionAt;
};

cell_state makeCell(const cell_settings &settings, const cell_take_over &takeOver);

/// Takes one message at @p now and says what is to be done at once.
void step(cell_state &state, const cell_message &message, instant now, std::vector<cell_action> &actions);

/// Places what waits, asks workers for news and stores what changed. To be called after a batch of messages.
void runSchedulingPass(cell_state &state, instant now, std::vector<cell_action> &actions);

/// Jobs of a queue none of whose tasks has started.
std::map<queue_name, std::int64_t> waitingJobs(const cell_state &state);

/// What callers are told; none when the job isn't known here.
std::optional<job_status> statusOf(const cell_state &state, const job_id &id);

/// Where one task of a job's first occurrence is.
struct task_location
{
    std::int32_t index = 0; ///< counted through all steps
    std::string state; ///< waiting, starting, running or done
    worker_id worker;
};

/// Empty when the job isn't known here.
std::vector<task_location> taskLocations(const cell_state &state, const job_id &id);

/// The cell at a glance, for logs and metrics.
struct cell_summary
{
    std::size_t jobs = 0;
    std::size_t waitingSteps = 0; ///< ready, with tasks to be started
    std::size_t waitingTasks = 0;
    std::size_t stepsAwaitingAdvice = 0; ///< steps for which advice is under way
    std::size_t workers = 0;
    std::size_t usable = 0; ///< workers that may take tasks now
    std::size_t unresolved = 0;
    std::int64_t usedCores = 0; ///< in thousandths
    std::int64_t offeredCores = 0; ///< by usable workers, in thousandths
};

cell_summary summarize(const cell_state &state, instant now);

/// Why a job's next task isn't running, for operators.
std::string explainWaiting(const cell_state &state, const job_id &id, instant now);

} // namespace primrosecroft
