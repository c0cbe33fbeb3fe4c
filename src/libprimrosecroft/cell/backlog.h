#pragma once

#include "admission/admission.h"
#include "cell/detail/serving_order.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// The work that waits in a cell, as admission sees it.
namespace primrosecroft
{

/// The tasks of a step that need room to start.
struct waiting_tasks
{
    resources size; ///< of each
    std::int64_t count = 0;
    bool isGang = false;
    double allowedShare = 1; ///< of the workers, as far as advice usually allows them
};

/// Work of a step that waits, or that will wait once the steps before it have ended.
struct waiting_work
{
    detail::serving_rank rank;
    double cores = 0; ///< of all its tasks
    double coreSeconds = 0;
    std::chrono::milliseconds readyIn {0}; ///< estimated time of the steps before it; 0 if it is ready
    waiting_tasks tasks;
};

struct pool_backlog
{
    std::vector<waiting_work> waiting; ///< in no order
    pool_capacity capacity;
    std::vector<resources> room; ///< on each worker that may take tasks and isn't full
};

/// A cell's backlog at one moment, by the name of the pool.
struct cell_backlog
{
    std::map<std::string, pool_backlog> pools;
    instant at; ///< zero before the first one
};

cell_backlog backlogOf(const cell_state &state, instant now);

/// A job that isn't accepted yet, as the cell would serve it.
struct job_outlook
{
    std::string pool;
    admission_request request; ///< without the time that the caller has waited
    waiting_work work; ///< of all its steps, at the rank of its first one and with its tasks
};

/// Returns std::nullopt for a job that is always accepted: one with a service, for which its users wait as long as it
/// takes, one with a schedule, whose work comes later, and one that no worker is large enough for now.
std::optional<job_outlook> outlookOf(const cell_state &state, const accepted_job &job, instant now);

/// Returns whether the workers have room for all tasks of the job's first step, beside those that wait, are served
/// before and may start now.
bool hasRoomNow(const cell_backlog &backlog, const job_outlook &job);

/// The work that the cell does before the job's. Work that is late counts although it is served after the job: it was
/// accepted, and each job that goes before it without being counted would put it off for good.
work_ahead workAheadOf(const cell_state &state, const cell_backlog &backlog, const job_outlook &job, instant now);

} // namespace primrosecroft
