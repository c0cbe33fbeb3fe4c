#pragma once

#include "demands/demand.h"
#include "jobs/job.h"
#include "store/store.h"

/**
 * A demand of our own interface in the store: the row under the caller's key, and the job of
 * one step that runs it. Both are written in one transaction; how it ends is the job's.
 */
namespace primrosecroft
{

struct demand_row
{
    demand_key key;
    failure_domain_id home; ///< where its tasks run
    demand_spec spec;

    friend bool operator==(const demand_row &, const demand_row &) = default;
};

std::string toJson(const demand_row &row);

/// Throws error when @p text is not a row.
demand_row rowFromJson(const std::string &text);

row_place demandPlace(const demand_key &key);

/// The id of the job that runs the demand.
job_id jobOfDemand(const demand_key &key);

/// @p pool are the workers that run demands. The row is the payload that tasks get.
accepted_job makeDemandJob(const demand_row &row, const std::string &pool, std::chrono::milliseconds acceptedAt);

/// Accepts the demand: conflicts when its key or its job is known already, and tells the owner by its inbox.
store_transaction demandAcceptance(const demand_row &row, const accepted_job &job);

/// Rows of all demands' jobs that have not ended.
row_range liveDemands();

} // namespace primrosecroft
