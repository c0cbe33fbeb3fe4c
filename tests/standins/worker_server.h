#pragma once

#include "executor_emulator.h"
#include "io/http_server.h"
#include "waiting_calls.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace primrosecroft::standins
{

/// What the user of a worker's server decides, and what it is told.
struct worker_server_hooks
{
    std::function<task_behaviour(const run_id &run, const std::string &payload)> behaviourOf;

    /// Tells whether the worker takes a start with this ticket, which may be empty.
    std::function<bool(const run_id &run, const std::string &ticket)> acceptsTicket;

    /// Called after each start order; @p isNew tells that a run has begun with it.
    std::function<void(const run_id &run, row_version token, bool isNew, const std::string &payload)> started;
    std::function<void(const run_id &run, row_version token)> stopped; ///< called after each stop order that is obeyed
    std::function<void()> listed; ///< called after each list request that is obeyed
    std::function<void(const std::shared_ptr<http_request> &request, const http_response &answer)> answer;
};

/// Carries out one order of an owner over HTTP on an emulated worker. Members of @p hooks may be empty, except
/// behaviourOf and answer. A list request that waits is aborted if the worker has restarted meanwhile.
void serveOrder(executor_emulator &worker, const std::shared_ptr<http_request> &request, waiting_calls &calls,
                const worker_server_hooks &hooks);

/// Returns the value of the entry by which a worker announces itself in the store. @p sequence counts its entries.
std::string workerEntry(const worker_description &worker, std::int64_t sequence);

} // namespace primrosecroft::standins
