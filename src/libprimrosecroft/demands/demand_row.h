#pragma once

#include "demands/demand.h"
#include "jobs/job.h"
#include "store/store.h"

/**
 * A demand in the store: the row under the caller's key, and the job of one step that runs the
 * demand. Both are written in one transaction. The result of the demand is that of its job.
 */
namespace primrosecroft
{

struct demand_row
{
    demand_key key;
    failure_domain_id home; ///< its tasks run only there, unless the demand may move on a partition
    demand_spec spec;

    friend bool operator==(const demand_row &, const demand_row &) = default;
};

std::string toJson(const demand_row &row);

/// Throws error if @p text isn't such a row.
demand_row rowFromJson(const std::string &text);

row_place demandPlace(const demand_key &key);

/// Id of the job that runs the demand. Derived from the key by a hash, and distinct from the ids that callers choose.
job_id jobOfDemand(const demand_key &key);

/// Makes the job that runs the demand on the workers of @p pool. The text of the row is the payload of its tasks.
/// @p acceptedAt is on the store's steady clock.
accepted_job makeDemandJob(const demand_row &row, const std::string &pool, std::chrono::milliseconds acceptedAt);

/// Returns the transaction that accepts the demand and notifies the owner by its inbox. It conflicts if the key or the
/// job already exists.
store_transaction demandAcceptance(const demand_row &row, const accepted_job &job);

/// Range of the rows of all demands' jobs that haven't ended.
row_range liveDemands();

} // namespace primrosecroft
