#include "demands/demand_row.h"

#include "core/checksum.h"
#include "core/error.h"
#include "jobs/job_rows.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

namespace
{

constexpr const char *demandTable = "demands";
constexpr const char *demandQueue = "demands";
constexpr char jobPrefix = 'x'; ///< not a hexadecimal digit, so that no job id of a caller begins with it
constexpr char afterJobPrefix = 'y';
constexpr std::size_t hashDigits = 31;
constexpr std::int32_t maxTaskFailures = 3; ///< failed attempts of a repeatable demand's task after which its job fails

/// The objective for a demand's end is the declared run time times this factor, plus the latency target.
constexpr double demandSlowdownFactor = 2;
constexpr std::chrono::milliseconds demandLatencyTarget {2'000};

} // namespace

std::string toJson(const demand_row &row)
{
    return nlohmann::json {{"key", row.key}, {"home", row.home}, {"demand", nlohmann::json::parse(toJson(row.spec))}}
        .dump();
}

demand_row rowFromJson(const std::string &text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        return {body.at("key").get<std::string>(), body.at("home").get<std::string>(),
                demandFromJson(body.at("demand").dump())};
    } catch (const nlohmann::json::exception &fault) {
        throw error("decode demand row", "", fault.what());
    }
}

row_place demandPlace(const demand_key &key)
{
    return {demandTable, shardPartition, key};
}

job_id jobOfDemand(const demand_key &key)
{
    return jobPrefix + sha256(key).substr(0, hashDigits);
}

accepted_job makeDemandJob(const demand_row &row, const std::string &pool, std::chrono::milliseconds acceptedAt)
{
    const auto &spec = row.spec;
    step_spec step;
    step.count = spec.tasks;
    step.size = spec.size;
    step.estimate = spec.declaredRunTime;
    step.isGang = spec.kind == demand_kind::gang;
    step.isService = spec.kind == demand_kind::service;
    step.isAtMostOnce = !spec.isRepeatable;
    if (spec.onPartition == partition_preference::stay) {
        step.failureDomain = row.home;
    }
    accepted_job job;
    job.id = jobOfDemand(row.key);
    job.spec.payload = toJson(row);
    job.spec.steps = {step};
    job.queue = {demandQueue,
                 pool,
                 spec.priority == demand_priority::urgent ? 0 : 1,
                 spec.isRepeatable ? maxTaskFailures : 1,
                 demandSlowdownFactor,
                 demandLatencyTarget,
                 std::nullopt};
    job.acceptedAt = acceptedAt;
    return job;
}

store_transaction demandAcceptance(const demand_row &row, const accepted_job &job)
{
    auto result = acceptance(job.id, encodeJob(job));
    result.conditions.push_back({demandPlace(row.key), row_condition::absent});
    result.writes.push_back({demandPlace(row.key), toJson(row)});
    result.writes.push_back({inboxPlace(job.id), "1"});
    return result;
}

row_range liveDemands()
{
    return {jobTable, shardPartition, std::string(1, jobPrefix), std::string(1, afterJobPrefix)};
}

} // namespace primrosecroft
