#pragma once

#include "cell/cell_rules.h"
#include "jobs/job.h"
#include "jobs/job_rows.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Input messages of the cell's core, and the actions that it returns.
namespace primrosecroft
{

/// Time on a worker's own clock, which starts again with each boot and may run up to 2 % slow.
using worker_time = std::chrono::milliseconds;

/// One attempt at a task.
struct run_id
{
    task_ref task;
    std::uint32_t attempt = 0;

    friend auto operator<=>(const run_id &, const run_id &) = default;
};

struct step_ref
{
    job_id job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;

    friend auto operator<=>(const step_ref &, const step_ref &) = default;
};

/// A worker as it announces itself in the platform's list of workers.
struct worker_description
{
    worker_id id;
    worker_boot boot = 0;
    std::string address; ///< IP address and port
    std::string pool;
    failure_domain_id failureDomain;
    std::vector<std::string> labels; ///< the worker's kind and, as the last label, its rack; may be empty
    resources capacity;
    bool isDraining = false; ///< the platform is about to remove the worker
    std::optional<std::chrono::milliseconds> remaining; ///< least time until a draining worker is removed, if known
};

/// A run that a worker lists as running.
struct listed_run
{
    run_id run;
    std::string checkpoint; ///< the latest one; empty if there is none
    std::int32_t percent = 0; ///< progress of the task's work
    std::int64_t load = 0; ///< tail latency in ms if the task has a latency target, otherwise milli-cores in use
};

/// How a run ended.
enum class run_end
{
    done,
    failed, ///< through a fault of the task or of the worker
    stopped, ///< by an order to stop
    lapsed, ///< its lease expired
    gangBroken, ///< another member of its gang ended
    gangIncomplete, ///< it waited too long for the other members of its gang
};

/// The end of a run, which a worker lists until the owner acknowledges it.
struct listed_end
{
    std::int64_t number = 0; ///< increases from 1 within each boot
    run_id run;
    run_end how = run_end::done;
    std::string checkpoint; ///< the latest one; empty if there is none
};

// --- input messages

/// The platform's list has this entry for a worker.
struct worker_listed
{
    worker_description worker;
};

/// The platform's list no longer has the worker, which may nevertheless continue to run its tasks.
struct worker_unlisted
{
    worker_id id;
};

/// A job was accepted, or read from the store after a take-over.
struct job_arrived
{
    accepted_job job;
    job_progress progress; ///< stored progress; empty if none is stored
    row_version version = 0; ///< version of the job's row; 0 if only the notice of its acceptance arrived
    bool isCancelled = false;
    std::int32_t progressRows = 0; ///< rows that hold the progress
};

struct job_cancelled
{
    job_id id;
};

/// Outcome of an order to a worker.
enum class order_result
{
    done, ///< carried out
    fenced, ///< refused: the worker has seen a higher fencing token, so it obeys another owner
    alreadyEnded, ///< refused: this attempt, or a later one, has ended on the worker or was stopped there
    deadlinePassed, ///< refused: the order's deadline had passed
    noCapacity, ///< refused: the worker has too little free capacity
    noTicket, ///< refused: the order has no ticket that the worker accepts
    unhealthy, ///< the worker refuses work as unhealthy; nothing was done
    bootMismatch, ///< the worker has restarted since the boot that the order names
    invalid, ///< refused as malformed
    unreachable, ///< no connection, so nothing was done; a list's was refused: the worker may have ended or be cut off
    lost, ///< no answer: the order may have been carried out, or may be carried out later
    notSent, ///< nothing was done: a relay had to turn the order away before it reached the worker
};

/// Answer to send_start. Every order is answered exactly once, with `lost` if no answer arrived in time.
struct start_answered
{
    worker_id worker;
    worker_boot boot = 0;
    run_id run;
    order_result result = order_result::lost;
    instant sentAt;
    std::string silence {}; ///< for the log: how far an order without an answer has come; empty if it isn't known
};

/// Answer to send_stop.
struct stop_answered
{
    worker_id worker;
    worker_boot boot = 0;
    run_id run;
    order_result result = order_result::lost;
    instant sentAt;
    std::string silence {}; ///< as in start_answered
};

/// Answer to send_list.
struct list_answered
{
    worker_id worker;
    order_result result = order_result::lost;
    instant sentAt;
    worker_boot boot = 0; ///< the worker's boot when it answered
    worker_time clock {0}; ///< the worker's clock when it answered
    std::vector<listed_run> running;
    std::vector<listed_end> ended; ///< the oldest ends that the worker still keeps
};

/// Permission of the advice service to run tasks of a step on a worker.
struct worker_ticket
{
    worker_id worker;
    std::string ticket;
};

/// Answer to ask_advice.
struct advice_answered
{
    step_ref step;
    std::vector<worker_id> asked;
    bool isAnswered = false; ///< false if the call got no answer; `allowed` and `valid` are then meaningless
    std::vector<worker_ticket> allowed; ///< workers among @p asked that may run the step
    std::chrono::milliseconds valid {0}; ///< how long the tickets may be used
    bool isCostly = false; ///< as in the request
    instant issuedAt {}; ///< the service issued the tickets then or later, on this process's clock
};

/// Answer to commit_rows.
struct commit_answered
{
    std::uint64_t number = 0;
    store_outcome outcome = store_outcome::lost;
    /// Version of the commit sequence row, which each commit rewrites. Only set if the outcome is done or conflict.
    row_version commitSequence = 0;
};

/// The store confirmed the ownership: it was in force at some moment after @p sentAt, and at version @p version.
struct ownership_confirmed
{
    instant sentAt; ///< when the request to the store was sent
    row_version version = 0; ///< of the store in its answer
};

/// The operators' rules were read from the store.
struct rules_updated
{
    cell_rules rules;
};

/// A configuration has come into force at the owner.
struct workspaces_updated
{
    workspace_policies workspaces;
};

/// Readings of the clocks, and the number of processes that can call the advice service. Sent before each pass.
struct clock_ticked
{
    std::chrono::milliseconds timeOfDay {0}; ///< since 1970
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 while it is not known
    std::int32_t adviceRoutes = 1; ///< processes that can call the advice service
};

using cell_message = std::variant<worker_listed, worker_unlisted, job_arrived, job_cancelled, start_answered,
                                  stop_answered, list_answered, advice_answered, commit_answered, ownership_confirmed,
                                  rules_updated, workspaces_updated, clock_ticked>;

// --- actions

/// Starts a run on a worker.
struct send_start
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0;
    run_id run;
    std::string payload;
    worker_time deadline {0}; ///< end of the lease, and the latest time at which the worker may accept the order
    std::string checkpoint; ///< to resume from; empty to begin from the start
    std::string ticket; ///< of the advice service; empty if the queue needs none
};

/// Stops a run. The worker then also refuses a start of this or an earlier attempt that arrives later.
struct send_stop
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0;
    run_id run;
};

/// Polls a worker for the runs that are running and those that have ended, and extends the lease of all its runs.
struct send_list
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0; ///< the only boot that may answer; 0 for any
    /// New end of the leases. std::nullopt leaves them unchanged, as while the worker's clock is unknown.
    std::optional<worker_time> deadline;
    std::int64_t acknowledgedEnd = 0; ///< the worker may forget ends up to this number
    std::chrono::milliseconds wait {0}; ///< how long the worker may hold the answer back until a run ends
    std::chrono::milliseconds timeout {0}; ///< for the answer, including the wait
};

/// Asks the advice service which of the workers may run the step.
struct ask_advice
{
    step_ref step;
    std::vector<worker_id> workers;
    std::chrono::microseconds cost {0}; ///< time that the service needs for the answer
    bool isCostly = false; ///< a call that takes long, of which fewer may be pending at the same time
};

/// Rows to commit in one transaction, which must fail if the ownership is no longer in force.
struct commit_rows
{
    std::uint64_t number = 0;
    store_transaction transaction;
};

/// The start of a run was sent to a worker, or the run was found there.
struct report_placed
{
    run_id run;
    worker_id worker;
    std::chrono::milliseconds waited {0}; ///< since the task became pending; 0 for a run found on a worker
};

/// What the owner knew of a run that it takes for over although its worker has listed no end.
struct run_evidence
{
    worker_boot boot = 0; ///< of the worker, in which the run was last known or expected to be
    bool isShown = false; ///< a list has shown the run
    bool isConfirmed = false; ///< the worker has answered the start, or listed the run
    std::chrono::milliseconds sentAgo {0}; ///< since its start was sent, or it was found on the worker
    std::optional<std::chrono::milliseconds> heardAgo; ///< since the worker's last list in that boot; unset for none
    std::optional<std::chrono::milliseconds> stoppedAgo; ///< since the worker confirmed its stop; unset if it hasn't
};

/// The start of a run got no answer, so the run may exist or not.
struct report_unanswered_start
{
    run_id run;
    worker_id worker;
    std::chrono::milliseconds sentAgo {0};
};

/// A list that was requested after a start without an answer doesn't show the run, so it is stopped: a start that is
/// held up is then refused.
struct report_doubted_run
{
    run_id run;
    worker_id worker;
    std::chrono::milliseconds sentAgo {0}; ///< since the start was sent
    std::chrono::milliseconds listSentAgo {0}; ///< since the list was requested
};

/// A gang is stopped because one of its members doesn't run.
struct report_gang_stopped
{
    run_id missing;
};

/// A run is over, or its start was refused.
struct report_ended
{
    run_id run;
    worker_id worker;
    std::string how; ///< reason as written into the log and the metrics
    std::optional<run_evidence> evidence; ///< unset if the worker has told the end
};

/// A worker lists a run, or the successful end of one, of a task that runs elsewhere or has ended, though its step
/// allows no copies.
struct report_second_run
{
    run_id run;
    worker_id worker;
    worker_boot boot = 0;
    bool hasEnded = false; ///< the worker has listed the end, not the run
    bool isTaskDone = false;
    std::optional<run_id> other; ///< that runs as far as this owner knows
    worker_id otherWorker; ///< empty if there is no such run
};

/// Why a job has failed.
enum class job_failure
{
    none, ///< it hasn't
    attempts, ///< a task or gang of it failed as often as its queue allows
    crashes, ///< a task of it crashes the workers that start it
    lostRun, ///< the run of an at-most-once task was lost
};

/// The job's end is stored, so it may be reported to callers.
struct report_job_end
{
    job_id id;
    queue_name queue;
    job_status status = job_status::complete;
    job_failure failure = job_failure::none;
    std::chrono::milliseconds took {0}; ///< since the job's acceptance
    std::chrono::milliseconds objective {0}; ///< time within which the job should complete, from its acceptance
};

/// The core's view of a worker has changed.
struct report_worker_change
{
    worker_id worker;
    std::string change;
    worker_boot boot = 0; ///< the known one before the change
};

/// A worker was lost with the runs on it.
struct report_worker_loss
{
    worker_id worker;
    std::string how; ///< restarted, unlisted or silent
    std::chrono::milliseconds silentFor {0}; ///< since its last answer, or the last start there
    std::size_t suspects = 0; ///< tasks and gangs there that it hadn't survived yet
    std::size_t others = 0; ///< those that it had
    bool isTrial = false; ///< the only suspect had started alone there
    bool isWave = false; ///< other workers were lost at the same time, so the trial proves little
};

/// A worker was lost soon after the start of this task there, so the task may be why.
struct report_suspect
{
    task_ref task;
    worker_id worker;
    lost_workers counts;
};

enum class trial_event
{
    begun, ///< a suspect has started where no other run could be why its worker is lost
    adopted, ///< a run that was found on its worker is one of a suspect
    survived, ///< the worker has answered long enough after the start
};

/// A trial of a task that may crash its workers. While it lasts, its worker takes no other start, and no other suspect
/// of its step starts.
struct report_trial
{
    run_id run;
    worker_id worker;
    trial_event event = trial_event::begun;
    lost_workers counts; ///< after the event
};

/// It is known what became of a worker whose leases had expired unseen under this run.
struct report_loss_settled
{
    run_id run;
    worker_id worker;
    bool isProven = false; ///< the worker has ended; otherwise it has answered in the same boot
    lost_workers counts;
};

/// The job of this task fails, because the task crashes the workers that start it.
struct report_given_up
{
    task_ref task;
    queue_name queue;
    worker_id worker; ///< the last one that it crashed
    lost_workers counts;
};

/// The rows of a job are too large for one commit, so its progress is stored without its checkpoints, or not at all if
/// that is too large too. Reported once for each job.
struct report_job_size
{
    job_id id;
    std::size_t bytes = 0; ///< bound on the encoded length of the rows
};

/// A step waits only for the limit of its workspace. Reported from time to time for each workspace.
struct report_limit_reached
{
    workspace_name workspace;
    step_ref step;
    std::size_t waitingTasks = 0; ///< of the step
    resources needed; ///< by one task
    resources running; ///< by the workspace's runs
    resources mostInUse; ///< with what may run unseen since an earlier owner
    resources limit;
};

/// A worker refused an order because it obeys a later owner.
struct report_fenced
{
    worker_id worker;
};

using cell_action =
    std::variant<send_start, send_stop, send_list, ask_advice, commit_rows, report_placed, report_unanswered_start,
                 report_doubted_run, report_gang_stopped, report_ended, report_second_run, report_job_end,
                 report_worker_change, report_worker_loss, report_suspect, report_trial, report_loss_settled,
                 report_given_up, report_job_size, report_limit_reached, report_fenced>;

} // namespace primrosecroft
