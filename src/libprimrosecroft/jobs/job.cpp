#include "jobs/job.h"

#include "core/error.h"
#include "core/row_value.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t maxMilliCores = 1'000'000'000;
constexpr std::int64_t maxMemoryMib = 1'000'000'000;
constexpr std::int64_t maxAccelerators = 1'000'000;
constexpr auto maxEstimate = std::chrono::hours(24 * 365); ///< of a caller's job
constexpr auto maxStoredEstimate =
    std::chrono::hours(24 * 366); ///< of any job, since demands have a limit of their own

[[noreturn]] void refuse(const std::string &reason)
{
    throw error("check job", "", reason);
}

void checkAmount(std::int64_t amount, std::int64_t limit, const char *name)
{
    if (amount < 0 || amount > limit) {
        refuse(std::string(name) + " is negative or too large");
    }
}

void checkStep(const step_spec &step, std::int32_t index, std::chrono::milliseconds maxTime)
{
    if (step.count < 1 || step.count > maxTasksPerStep) {
        refuse("a step's count must be 1 to " + std::to_string(maxTasksPerStep));
    }
    checkAmount(step.size.milliCores, maxMilliCores, "a step's processor time in millicores");
    checkAmount(step.size.memoryMib, maxMemoryMib, "a step's memory in MiB");
    checkAmount(step.size.accelerators, maxAccelerators, "a step's number of accelerators");
    checkAmount(step.estimate.count(), maxTime.count(), "a step's estimate in milliseconds");
    checkAmount(step.maxPerWorker, maxTasksPerStep, "a step's maximum of tasks per worker");
    checkAmount(step.maxUnavailable.value_or(0), maxTasksPerStep, "a step's maximum of unavailable tasks");
    checkAmount(step.targetLatency.count(), maxTime.count(), "a step's target latency in milliseconds");
    if (std::ranges::any_of(step.after, [index](std::int32_t each) { return each < 0 || each >= index; })) {
        refuse("a step can only depend on earlier steps");
    }
}

/// Checks all but the payload.
void checkSteps(const job_spec &spec, std::chrono::milliseconds maxTime)
{
    if (spec.steps.empty() || spec.steps.size() > static_cast<std::size_t>(maxSteps)) {
        refuse("a job must have 1 to " + std::to_string(maxSteps) + " steps");
    }
    checkAmount(spec.occurrences, maxOccurrences, "the number of occurrences");
    checkAmount(spec.interval.count(), maxTime.count(), "the interval in milliseconds");
    checkAmount(spec.firstDue.count(), maxTime.count() * 1'000, "the start of the first occurrence in milliseconds");
    for (std::int32_t index = 0; const auto &step : spec.steps) {
        checkStep(step, index++, maxTime);
    }
}

/// Adds @p amount unless it has its type's default value. Like the short keys this keeps rows small, since the store
/// charges for each byte.
template<typename value>
void put(json &target, const char *key, const value &amount)
{
    if (amount != value {}) {
        target[key] = amount;
    }
}

/// Reads a value into @p target, which stays unchanged if the key is missing.
template<typename value>
void get(const json &source, const char *key, value &target)
{
    const auto found = source.find(key);
    if (found != source.end()) {
        target = rowValue<value>(*found);
    }
}

template<typename time>
void getTime(const json &source, const char *key, time &target)
{
    typename time::rep amount = 0;
    get(source, key, amount);
    target = time(amount);
}

json toRow(const step_spec &step)
{
    json row = json::object();
    put(row, "n", step.count);
    put(row, "c", step.size.milliCores);
    put(row, "m", step.size.memoryMib);
    put(row, "g", step.size.accelerators);
    put(row, "e", step.estimate.count());
    put(row, "a", step.after);
    put(row, "sp", step.savesProgress);
    put(row, "ga", step.isGang);
    put(row, "sr", step.prefersSameRack);
    put(row, "du", step.allowsCopies);
    put(row, "la", step.isService);
    put(row, "fi", step.isBestEffort);
    put(row, "ro", step.isAtMostOnce);
    put(row, "lb", step.label);
    put(row, "fd", step.failureDomain);
    put(row, "dr", step.dataRack);
    put(row, "pw", step.maxPerWorker);
    put(row, "tl", step.targetLatency.count());
    put(row, "im", step.image);
    if (step.maxUnavailable) {
        row["mm"] = *step.maxUnavailable; // also 0, which differs from a missing value
    }
    return row;
}

step_spec stepFrom(const json &row)
{
    step_spec step;
    get(row, "n", step.count);
    get(row, "c", step.size.milliCores);
    get(row, "m", step.size.memoryMib);
    get(row, "g", step.size.accelerators);
    getTime(row, "e", step.estimate);
    get(row, "a", step.after);
    get(row, "sp", step.savesProgress);
    get(row, "ga", step.isGang);
    get(row, "sr", step.prefersSameRack);
    get(row, "du", step.allowsCopies);
    get(row, "la", step.isService);
    get(row, "fi", step.isBestEffort);
    get(row, "ro", step.isAtMostOnce);
    get(row, "lb", step.label);
    get(row, "fd", step.failureDomain);
    get(row, "dr", step.dataRack);
    get(row, "pw", step.maxPerWorker);
    getTime(row, "tl", step.targetLatency);
    get(row, "im", step.image);
    if (const auto found = row.find("mm"); found != row.end()) {
        step.maxUnavailable = found->get<std::int32_t>();
    }
    return step;
}

json toRow(const queue_policy &queue)
{
    json row = json::object();
    put(row, "n", queue.name);
    put(row, "p", queue.pool);
    put(row, "pr", queue.priority);
    put(row, "mf", queue.maxFailures);
    put(row, "st", queue.slowdownFactor);
    put(row, "t", queue.target.count());
    if (queue.advice) {
        row["ad"] =
            json::array({queue.advice->decide.count(), queue.advice->perWorker.count(), queue.advice->valid.count()});
    }
    return row;
}

queue_policy queueFrom(const json &row)
{
    queue_policy queue;
    queue.maxFailures = 0; // put() leaves out zeros, so a missing value is 0 and not the member's initial value
    queue.slowdownFactor = 0;
    get(row, "n", queue.name);
    get(row, "p", queue.pool);
    get(row, "pr", queue.priority);
    get(row, "mf", queue.maxFailures);
    get(row, "st", queue.slowdownFactor);
    getTime(row, "t", queue.target);
    if (const auto found = row.find("ad"); found != row.end()) {
        queue.advice = advice_policy {std::chrono::microseconds(rowValue<std::int64_t>(found->at(0))),
                                      std::chrono::microseconds(rowValue<std::int64_t>(found->at(1))),
                                      std::chrono::milliseconds(rowValue<std::int64_t>(found->at(2)))};
    }
    return queue;
}

} // namespace

std::string toString(job_status status)
{
    switch (status) {
    case job_status::queued:
        return "queued";
    case job_status::running:
        return "running";
    case job_status::complete:
        return "complete";
    case job_status::failed:
        return "failed";
    case job_status::cancelled:
        return "cancelled";
    }
    return "";
}

std::optional<job_status> statusFromString(const std::string &text)
{
    for (const auto status :
         {job_status::queued, job_status::running, job_status::complete, job_status::failed, job_status::cancelled}) {
        if (toString(status) == text) {
            return status;
        }
    }
    return std::nullopt;
}

std::string toString(const task_ref &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

void checkJob(const job_spec &spec)
{
    if (spec.payload.size() > maxPayloadBytes) {
        refuse("the payload is longer than " + std::to_string(maxPayloadBytes) + " bytes");
    }
    checkSteps(spec, maxEstimate);
}

std::vector<std::chrono::milliseconds> criticalPathsFromSteps(const job_spec &spec)
{
    std::vector<std::chrono::milliseconds> estimates;
    std::ranges::transform(spec.steps, std::back_inserter(estimates), &step_spec::estimate);
    return criticalPathsFromSteps(spec, estimates);
}

std::vector<std::chrono::milliseconds> criticalPathsFromSteps(const job_spec &spec,
                                                              const std::vector<std::chrono::milliseconds> &durations)
{
    std::vector<std::chrono::milliseconds> result(spec.steps.size());
    for (auto index = spec.steps.size(); index-- > 0;) {
        result[index] += durations.at(index); // the steps that wait for it come later and have set their maximum
        for (const auto each : spec.steps[index].after) {
            auto &predecessor = result.at(static_cast<std::size_t>(each));
            predecessor = std::max(predecessor, result[index]);
        }
    }
    return result;
}

std::chrono::milliseconds criticalPathDuration(const job_spec &spec)
{
    const auto paths = criticalPathsFromSteps(spec);
    return paths.empty() ? std::chrono::milliseconds(0) : std::ranges::max(paths);
}

std::string encodeJob(const accepted_job &job)
{
    json row = json::object();
    row["i"] = job.id;
    row["q"] = toRow(job.queue);
    row["t"] = job.acceptedAt.count();
    put(row, "w", job.workspace);
    put(row, "p", job.spec.payload);
    put(row, "o", job.spec.occurrences);
    put(row, "f", job.spec.firstDue.count());
    put(row, "v", job.spec.interval.count());
    auto &steps = row["s"] = json::array();
    std::ranges::transform(job.spec.steps, std::back_inserter(steps),
                           [](const step_spec &step) { return toRow(step); });
    std::string result;
    json::to_cbor(row, result);
    return result;
}

accepted_job decodeJob(const std::string &row)
{
    try {
        const auto parsed = json::from_cbor(row);
        accepted_job job;
        get(parsed, "i", job.id);
        job.queue = queueFrom(parsed.at("q"));
        getTime(parsed, "t", job.acceptedAt);
        get(parsed, "w", job.workspace);
        get(parsed, "p", job.spec.payload);
        get(parsed, "o", job.spec.occurrences);
        getTime(parsed, "f", job.spec.firstDue);
        getTime(parsed, "v", job.spec.interval);
        std::ranges::transform(parsed.at("s"), std::back_inserter(job.spec.steps), stepFrom);
        checkSteps(job.spec, maxStoredEstimate);
        return job;
    } catch (const json::exception &fault) {
        throw error("decode job row", "", fault.what());
    }
}

accepted_job decodeJobOf(const job_id &id, const std::string &row)
{
    auto job = decodeJob(row);
    if (job.id != id) {
        throw error("decode job row", "", "it is a row of another job");
    }
    return job;
}

} // namespace primrosecroft
