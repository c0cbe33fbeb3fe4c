#pragma once

#include "core/types.h"
#include "workspaces/workspace.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * The model of work that all interfaces share: a job consists of steps, a step of identical
 * tasks. A demand is stored and run as a job with one step.
 */
namespace primrosecroft
{

using job_id = std::string;
using queue_name = std::string;

/// One step of a job: a number of tasks with the same requirements.
struct step_spec
{
    std::int32_t count = 1; ///< number of tasks
    resources size; ///< resources that one task needs
    std::chrono::milliseconds estimate {0}; ///< the caller's rough estimate of one task's duration
    std::vector<std::int32_t> after; ///< indices of the earlier steps that must be done before this one starts
    bool savesProgress = false; ///< the tasks write checkpoints from which another run can resume
    bool isGang = false; ///< the tasks can only work while all of them run
    bool prefersSameRack = false; ///< the tasks run slower when they are spread over several racks
    bool allowsCopies = false; ///< a task may run in several copies; the first one to end counts
    bool isService = false; ///< tasks run until the job is cancelled and are restarted however they end
    bool isBestEffort = false; ///< tasks use processor time that others leave idle; none is reserved for them
    bool isAtMostOnce = false; ///< a task isn't started a second time if an earlier run of it may have started
    std::string label; ///< label that a worker must have; empty for any worker
    failure_domain_id failureDomain; ///< failure domain that a worker must be in; empty for any
    std::string dataRack; ///< rack in which the tasks run fastest; empty for no preference
    std::int32_t maxPerWorker = 0; ///< tasks of this step in one occurrence on the same worker; 0 for no limit
    std::chrono::milliseconds targetLatency {0}; ///< target that a service has towards its own users; 0 for none
    /// Tasks of a service that orders may make unavailable at the same time, so 0 for none. Unset for no limit.
    std::optional<std::int32_t> maxUnavailable;
    std::string image; ///< what the tasks run; those of one image behave alike; empty if unknown

    friend bool operator==(const step_spec &, const step_spec &) = default;
};

/// A job as the caller submits it.
struct job_spec
{
    std::string payload; ///< passed to each task unchanged
    std::vector<step_spec> steps;
    std::int32_t occurrences = 0; ///< number of times that the job runs; 0: it runs once, immediately
    std::chrono::milliseconds firstDue {0}; ///< time since 1970 at which the first occurrence starts
    std::chrono::milliseconds interval {0}; ///< between the starts of two occurrences

    friend bool operator==(const job_spec &, const job_spec &) = default;
};

/// Timing of the advice service, which decides which workers may run the steps of a queue.
struct advice_policy
{
    std::chrono::microseconds decide {0}; ///< time that each answer takes, whatever the request names
    std::chrono::microseconds perWorker {0}; ///< additional time for each worker that the request names
    std::chrono::milliseconds valid {0}; ///< how long a ticket may be used

    friend bool operator==(const advice_policy &, const advice_policy &) = default;
};

/// Rules of a queue. A job keeps the rules of the configuration that was in force when the job was accepted.
struct queue_policy
{
    queue_name name;
    std::string pool; ///< name of the pool of workers that run the queue's tasks
    std::int32_t priority = 0; ///< 0 is the highest priority
    std::int32_t maxFailures = 1; ///< failed attempts of one task or gang after which the job fails
    /// A job's objective, the time within which it should complete, is its critical path times this factor, plus the
    /// target. The critical path then includes the calls of the advice service.
    double slowdownFactor = 1;
    std::chrono::milliseconds target {0}; ///< constant part of a job's objective
    std::optional<advice_policy> advice; ///< unset if every worker of the pool may run the tasks

    friend bool operator==(const queue_policy &, const queue_policy &) = default;
};

/// An accepted job. Its row is written at acceptance and never changes afterwards.
struct accepted_job
{
    job_id id;
    job_spec spec;
    queue_policy queue;
    workspace_name workspace; ///< empty if the job belongs to none
    std::chrono::milliseconds acceptedAt {0}; ///< on the store's steady clock
};

enum class job_status
{
    queued,
    running,
    complete,
    failed,
    cancelled,
};

std::string toString(job_status status);

/// Inverse of toString. Returns std::nullopt if @p text is no status.
std::optional<job_status> statusFromString(const std::string &text);

/// Identifies a task: its job, and its indices within the job.
struct task_ref
{
    job_id job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend auto operator<=>(const task_ref &, const task_ref &) = default;
};

/// Text for logs: job, occurrence, step and index, separated by dots.
std::string toString(const task_ref &task);

inline constexpr std::int32_t maxSteps = 64;
inline constexpr std::int32_t maxTasksPerStep = 10'000;
inline constexpr std::int32_t maxOccurrences = 100'000;
inline constexpr std::size_t maxPayloadBytes = 4'000;

/// Throws error naming the value that is out of bounds, also if a step depends on itself or on a later one.
void checkJob(const job_spec &spec);

/// For each step, the sum of the estimates along the longest chain of dependent steps that begins with it.
std::vector<std::chrono::milliseconds> criticalPathsFromSteps(const job_spec &spec);

/// Likewise, with a duration for each step in place of its estimate.
std::vector<std::chrono::milliseconds> criticalPathsFromSteps(const job_spec &spec,
                                                              const std::vector<std::chrono::milliseconds> &durations);

/// Sum of the estimates along the longest chain of dependent steps; 0 for a job without steps.
std::chrono::milliseconds criticalPathDuration(const job_spec &spec);

/// Encodes the job as the CBOR value of its row.
std::string encodeJob(const accepted_job &job);

/// Inverse of encodeJob. Throws error if @p row is no encoded job, or a value is out of the bounds that the cell relies
/// on.
accepted_job decodeJob(const std::string &row);

/// Like decodeJob(). Also throws error if @p row belongs to another job than @p id.
accepted_job decodeJobOf(const job_id &id, const std::string &row);

} // namespace primrosecroft
