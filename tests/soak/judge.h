#pragma once

#include "cell/cell_messages.h"
#include "site.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Judges a soak by what workers and callers saw, as the users' rules say. Pure.
namespace primrosecroft::soak
{

/// One run of a task on a worker. Numbers order all starts and ends of the soak, also within a millisecond.
struct run_record
{
    run_id run;
    int worker = 0;
    worker_boot boot = 0;
    int side = 0; ///< at which its start arrived
    row_version token = 0; ///< of its start
    std::string sender; ///< daemon that owned with that token
    bool isGang = false;
    bool lasts = false; ///< its task
    bool isLate = false; ///< the worker carried its start out late
    bool isBesideCut = false; ///< the worker was cut off while it ran
    milliseconds startedAt {0};
    std::int64_t startNumber = 0;
    std::optional<milliseconds> stopOrderedAt;
    milliseconds endedAt {0};
    std::int64_t endNumber = 0; ///< 0 while it runs
    std::optional<run_end> how; ///< unset if its worker restarted under it, or while it runs
    std::optional<milliseconds> notedAt; ///< when its end was taken note of, with no lapse of the lease between
    bool isAcknowledged = false; ///< the worker has forgotten its end
    std::int64_t endOnWorker = 0; ///< number of its end in its boot
};

struct step_record
{
    int count = 1;
    bool isGang = false;
    bool lasts = false;
};

/// One job as its caller knows it.
struct job_record
{
    job_id id;
    std::string queue;
    std::vector<step_record> steps;
    int occurrences = 1;
    milliseconds sentAt {0};
    std::optional<milliseconds> acceptedAt;
    std::optional<milliseconds> cancelSentAt;
    std::optional<milliseconds> cancelledAt; ///< when the cancelling was acknowledged
    std::string state; ///< as last told
    std::optional<milliseconds> completeAt;
};

/// A broken rule, or one that is broken only beside an order carried out late or a worker that is cut off.
struct finding
{
    std::string rule;
    std::string text;
    bool isMarked = false;
};

struct judged_soak
{
    std::vector<run_record> runs;
    std::map<job_id, job_record> jobs;
    milliseconds now {0};
    bool isOver = false; ///< the time until which all jobs have to end has passed
};

/// Finds tasks that run twice at the same time, or again after an end as done that is taken note of.
std::vector<finding> findSecondRuns(const std::vector<run_record> &runs);

/// Finds jobs that haven't ended as they should: not complete, complete without all ends, failed without cause,
/// services that don't run, tasks that run on after their job was cancelled.
std::vector<finding> findUnfinishedJobs(const judged_soak &soak);

/// Finds out whether more than a fifth of the ends that present boots listed early enough wasn't taken note of.
std::vector<finding> findUnnotedEnds(const judged_soak &soak, const std::vector<worker_boot> &boots,
                                     milliseconds until);

std::string describe(const run_record &run);

} // namespace primrosecroft::soak
