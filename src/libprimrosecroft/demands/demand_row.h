#pragma once

#include "demands/demand.h"

#include <map>

namespace primrosecroft
{

/// How a demand ended.
enum class demand_outcome
{
    none, ///< it has not ended
    done,
    failed,
    cancelled,
    unknown, ///< a task that must not be repeated was started and its end was lost
};

/// How one task ended. Only what has to outlive its worker is recorded.
enum class task_end
{
    done,
    failed,
    unknown,
};

/**
 * A demand's row in the table service: the one truth that it was accepted, where
 * its home is, and how it ended. Versions are the table's own.
 */
struct demand_row
{
    demand_key key;
    failure_domain_id home;
    demand_spec spec;
    bool cancelled = false;
    std::map<std::int32_t, attempt_id> started; ///< the one attempt of each task that must not be repeated
    std::map<std::int32_t, task_end> ended;
    demand_outcome outcome = demand_outcome::none;
    std::string reason;

    friend bool operator==(const demand_row &, const demand_row &) = default;
};

/// Joins what another writer committed with what this one wants to add.
demand_row merge(const demand_row &committed, const demand_row &wanted);

std::string toJson(const demand_row &row);

/// Throws error when @p text is not a row.
demand_row rowFromJson(const std::string &text);

std::string toString(demand_outcome outcome);

/// Key of a demand's row in the table.
std::string demandRowKey(const demand_key &key);

/// Prefix of the index of a failure domain's demands that have not ended.
std::string activeRowPrefix(const failure_domain_id &home);

std::string activeRowKey(const failure_domain_id &home, const demand_key &key);

} // namespace primrosecroft
