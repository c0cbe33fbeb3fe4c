#pragma once

#include "cell/cell_rules.h"
#include "jobs/job.h"
#include "jobs/job_rows.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What the cell's core is told, and what it asks to have done.
namespace primrosecroft
{

/// Names one life of a worker: when it started, in milliseconds since 1970.
using worker_boot = std::int64_t;

/// A worker's own clock. It starts anew with each boot, and may run 2 % slow.
using worker_time = std::chrono::milliseconds;

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

/// What a worker says of itself in the platform's list.
struct worker_description
{
    worker_id id;
    worker_boot boot = 0;
    std::string address; ///< IP number and port
    std::string pool;
    failure_domain_id failureDomain;
    std::vector<std::string> labels; ///< its kind and its rack
    resources capacity;
    bool draining = false;
    std::optional<std::chrono::milliseconds> remaining; ///< while it drains: at least so much longer
};

struct listed_run
{
    run_id run;
    std::string checkpoint;
    std::int32_t percent = 0;
    std::int64_t load = 0; ///< of a task with a target its tail in milliseconds, else milli-cores in use
};

enum class run_end
{
    done,
    failed, ///< by its own fault or the worker's
    stopped,
    lapsed, ///< its lease ran out
    gangBroken, ///< another member of its gang ended
    gangIncomplete, ///< waited too long for the others of its gang
};

struct listed_end
{
    std::int64_t number = 0; ///< grows from 1 in each boot
    run_id run;
    run_end how = run_end::done;
    std::string checkpoint;
};

// --- what the core is told

struct worker_listed
{
    worker_description worker;
};

/// The platform's list no longer has it. It may run on, unseen.
struct worker_unlisted
{
    worker_id id;
};

struct job_arrived
{
    accepted_job job;
    job_progress progress;
    row_version version = 0; ///< of the job's row; 0 when only the notice of it came
    bool cancelled = false;
};

struct job_cancelled
{
    job_id id;
};

enum class order_result
{
    done,
    fenced, ///< another owner's orders are obeyed
    alreadyEnded, ///< that attempt, or a later one, has ended there
    deadlinePassed, ///< its deadline had passed
    noCapacity,
    noTicket,
    unhealthy, ///< nothing was done
    bootMismatch, ///< the worker has started anew
    invalid,
    unreachable, ///< the connection was refused: nothing was done; the worker may have ended, or be cut off
    lost, ///< it may have been carried out, now or later
};

struct start_answered
{
    worker_id worker;
    worker_boot boot = 0;
    run_id run;
    order_result result = order_result::lost;
    instant sentAt;
};

struct stop_answered
{
    worker_id worker;
    worker_boot boot = 0;
    run_id run;
    order_result result = order_result::lost;
    instant sentAt;
};

struct list_answered
{
    worker_id worker;
    order_result result = order_result::lost;
    instant sentAt;
    worker_boot boot = 0; ///< what answered
    worker_time clock {0};
    std::vector<listed_run> running;
    std::vector<listed_end> ended; ///< the oldest ones not forgotten
};

struct worker_ticket
{
    worker_id worker;
    std::string ticket;
};

struct advice_answered
{
    step_ref step;
    std::vector<worker_id> asked;
    bool answered = false;
    std::vector<worker_ticket> allowed;
    std::chrono::milliseconds valid {0};
    bool isCostly = false; ///< as the question was
};

struct commit_answered
{
    std::uint64_t number = 0;
    store_outcome outcome = store_outcome::lost;
    row_version commitSequence = 0; ///< of the chain's row, when done or in conflict
};

/// Ownership was in force at some moment after @p sentAt.
struct ownership_confirmed
{
    instant sentAt;
};

/// The operators' rules, as stored.
struct rules_updated
{
    cell_rules rules;
};

struct clock_ticked
{
    std::chrono::milliseconds timeOfDay {0}; ///< since 1970
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock, as far as known
    std::int32_t adviceDispatchers = 1; ///< processes that can ask for advice
};

using cell_message =
    std::variant<worker_listed, worker_unlisted, job_arrived, job_cancelled, start_answered, stop_answered,
                 list_answered, advice_answered, commit_answered, ownership_confirmed, rules_updated, clock_ticked>;

// --- what the core asks for

struct send_start
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0;
    run_id run;
    std::string payload;
    worker_time deadline {0};
    std::string checkpoint;
    std::string ticket;
};

struct send_stop
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0;
    run_id run;
};

/// Sets the share at which a task works, in percent. Nobody waits for the answer.
struct send_pace
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0;
    run_id run;
    std::int32_t percent = 100;
};

/// Asks for what runs and has ended, and extends the lease of all that runs there.
struct send_list
{
    worker_id worker;
    std::string address;
    worker_boot boot = 0; ///< none but this one may answer; 0 for any
    std::optional<worker_time> deadline; ///< none before the worker's clock is known
    std::int64_t acknowledgedEnd = 0; ///< ends up to this one may be forgotten
    std::chrono::milliseconds wait {0}; ///< for an end
    std::chrono::milliseconds timeout {0}; ///< for the answer, the wait included
};

struct ask_advice
{
    step_ref step;
    std::vector<worker_id> workers;
    std::chrono::microseconds cost {0}; ///< time that the answer takes
    bool isCostly = false;
};

/// To be committed together, under the condition of ownership.
struct commit_rows
{
    std::uint64_t number = 0;
    store_transaction transaction;
};

struct report_placed
{
    run_id run;
    worker_id worker;
    std::chrono::milliseconds waited {0}; ///< since the task could first run
};

struct report_ended
{
    run_id run;
    worker_id worker;
    std::string how;
};

/// The job's end is stored; callers may be told.
struct report_job_end
{
    job_id id;
    queue_name queue;
    job_status status = job_status::complete;
    std::chrono::milliseconds took {0}; ///< since its acceptance
    std::chrono::milliseconds objective {0};
};

/// What the core believes of a worker has changed.
struct report_worker_change
{
    worker_id worker;
    std::string change;
};

/// A worker obeys a later owner.
struct report_fenced
{
    worker_id worker;
};

using cell_action = std::variant<send_start, send_stop, send_pace, send_list, ask_advice, commit_rows, report_placed,
                                 report_ended, report_job_end, report_worker_change, report_fenced>;

} // namespace primrosecroft
