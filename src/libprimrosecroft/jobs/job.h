#pragma once

#include "core/types.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * The one model of work: a job has steps, a step has equal tasks. A demand of our own
 * interface is a job with one step.
 */
namespace primrosecroft
{

using job_id = std::string;
using queue_name = std::string;

/// One step of a job. Sizes are those of one task; the estimate is the caller's and rough.
struct step_spec
{
    std::int32_t count = 1;
    resources size;
    std::chrono::milliseconds estimate {0};
    std::vector<std::int32_t> after; ///< earlier steps that must have ended first
    bool savesProgress = false; ///< leaves checkpoints to resume from
    bool gang = false; ///< its tasks work only all together
    bool sameRack = false; ///< slower when spread over racks
    bool allowsCopies = false; ///< copies may run; the first to end counts
    bool isService = false; ///< runs until the job is cancelled, restarted however it ends
    bool isBestEffort = false; ///< takes the processor time that others leave; needs no room for it
    bool isAtMostOnce = false; ///< no second run may start once the first may have
    std::string label; ///< that a worker must have; empty for any
    failure_domain_id failureDomain; ///< that a worker must be in; empty for any
    std::string dataRack; ///< where it runs fastest; empty for any
    std::string image; ///< tasks of one image behave alike
    std::int32_t maxPerWorker = 0; ///< of this step in one occurrence; 0 for any number
    std::chrono::milliseconds targetLatency {0}; ///< of a task that lasts towards its own users; 0 for none
    std::int32_t maxUnavailable = 0; ///< tasks that may be away at once by our own doing; 0 without such a bound

    friend bool operator==(const step_spec &, const step_spec &) = default;
};

struct job_spec
{
    std::string payload; ///< handed to each task as it came
    std::vector<step_spec> steps;
    std::int32_t occurrences = 0; ///< 0: once, at once
    std::chrono::milliseconds firstDue {0}; ///< time of day, since 1970
    std::chrono::milliseconds interval {0};

    friend bool operator==(const job_spec &, const job_spec &) = default;
};

/// Which workers may run a step is known to a service that has to be asked.
struct advice_policy
{
    std::chrono::microseconds decide {0}; ///< an answer takes at least this long
    std::chrono::microseconds perWorker {0}; ///< and this much more for each worker named
    std::chrono::milliseconds valid {0}; ///< how long a ticket may be used

    friend bool operator==(const advice_policy &, const advice_policy &) = default;
};

/// A queue's rules, as the configuration in force at acceptance gave them.
struct queue_policy
{
    queue_name name;
    std::string pool; ///< the workers that run its tasks
    std::int32_t priority = 0; ///< 0 comes first
    std::int32_t maxFailures = 1; ///< of a task or a gang, then the job has failed
    double slowdownFactor = 1; ///< times the longest chain of work, plus the target: the objective
    std::chrono::milliseconds target {0};
    std::optional<advice_policy> advice;

    friend bool operator==(const queue_policy &, const queue_policy &) = default;
};

/// What is stored at acceptance and never changes.
struct accepted_job
{
    job_id id;
    job_spec spec;
    queue_policy queue;
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

/// Inverse of toString; none for another text.
std::optional<job_status> statusFromString(const std::string &text);

struct task_ref
{
    job_id job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend auto operator<=>(const task_ref &, const task_ref &) = default;
};

/// For logs.
std::string toString(const task_ref &task);

inline constexpr std::int32_t maxSteps = 64;
inline constexpr std::int32_t maxTasksPerStep = 10'000;
inline constexpr std::int32_t maxOccurrences = 100'000;
inline constexpr std::size_t maxPayloadBytes = 4'000; ///< bytes

/// Throws error naming what is out of bounds, or a step that waits for a later one.
void checkJob(const job_spec &spec);

/// The longest chain of estimates through the steps.
std::chrono::milliseconds criticalPathDuration(const job_spec &spec);

std::string encodeJob(const accepted_job &job);

/// Inverse of encodeJob. Throws error when @p row is no such text.
accepted_job decodeJob(const std::string &row);

} // namespace primrosecroft
