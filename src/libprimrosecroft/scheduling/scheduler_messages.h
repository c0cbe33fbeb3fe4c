#pragma once

#include "demands/demand_row.h"
#include "workers/worker_messages.h"

#include <variant>

/// What the scheduler's core is told, and what it asks to have done.
namespace primrosecroft
{

struct configured_worker
{
    worker_id id;
    std::string rack;
    bool draining = false;
};

/// The set of workers that the majority is counted over, from the sheet in force.
struct workers_configured
{
    std::vector<configured_worker> workers;
};

struct claim_answered
{
    worker_id worker;
    std::uint64_t request = 0;
    claim_answer answer;
};

struct exchange_answered
{
    worker_id worker;
    std::uint64_t request = 0;
    exchange_answer answer;
};

/// No answer came: the request may or may not have taken effect.
struct worker_request_lost
{
    worker_id worker;
    std::uint64_t request = 0;
};

/// A demand's row as the table holds it now; no row means it is not accepted.
struct row_read
{
    demand_key key;
    std::optional<demand_row> row;
    std::int64_t version = 0;
    std::uint64_t takeover = 0; ///< scheduler_state::takeover when the read was sent
};

struct row_written
{
    demand_key key;
    std::uint64_t request = 0;
    std::int64_t version = 0;
};

/// The table could not be reached or its answer was lost: the write may have taken effect.
struct row_write_lost
{
    demand_key key;
    std::uint64_t request = 0;
};

/// The table holds another version; nothing was written.
struct row_write_refused
{
    demand_key key;
    std::uint64_t request = 0;
};

struct row_read_lost
{
    demand_key key;
};

/// Every active row was read since the scan's start, or the scan failed.
struct scan_finished
{
    std::uint64_t scan = 0;
    bool complete = false;
};

/// Another scheduler of this failure domain says that it places.
struct peer_placing
{
};

struct leave_requested
{
};

struct timer_ticked
{
};

using scheduler_message = std::variant<workers_configured, claim_answered, exchange_answered, worker_request_lost,
                                       row_read, row_written, row_write_lost, row_write_refused, row_read_lost,
                                       scan_finished, peer_placing, leave_requested, timer_ticked>;

struct send_claim
{
    worker_id worker;
    std::uint64_t request = 0;
    claim_request message;
};

struct send_exchange
{
    worker_id worker;
    std::uint64_t request = 0;
    exchange_request message;
};

/// Nobody waits for the answer.
struct send_release
{
    worker_id worker;
    fencing_token token = 0;
};

/// Replaces the row if the table still holds @ref version of it.
struct write_row
{
    std::uint64_t request = 0;
    demand_row row;
    std::int64_t version = 0;
};

struct read_row
{
    demand_key key;
};

/// Read every active row of this failure domain, then say that the scan finished.
struct scan_rows
{
    std::uint64_t scan = 0;
};

/// For metrics: a task runs.
struct report_placed
{
    task_id task;
    worker_id worker;
    std::chrono::milliseconds waited {0};
};

/// For logs and metrics: this scheduler began or ceased to place.
struct report_majority
{
    bool held = false;
};

using scheduler_action = std::variant<send_claim, send_exchange, send_release, write_row, read_row, scan_rows,
                                      report_placed, report_majority>;

} // namespace primrosecroft
