#pragma once

#include "core/types.h"

#include <set>
#include <string>

namespace primrosecroft
{

/// Weights of the costs by which a worker is chosen for a task. They only count relative to each other.
struct placement_policy
{
    /// Prefers the worker with the smallest free share of its cores. For a best-effort task it prefers the worker with
    /// the largest share of cores that no task asks for.
    double packingWeight = 1.0;
    double balanceWeight = 0.0; ///< keeps the free shares of a worker's cores and memory equal
    double spreadWeight = 0.0; ///< distributes the tasks of a step over racks
    double strandingWeight = 10.0; ///< keeps workers with accelerators free for tasks that need accelerators
    double shortFirst = 0.0; ///< seconds by which a step's place in the queue moves back for each estimated second

    friend bool operator==(const placement_policy &, const placement_policy &) = default;
};

/// Rules that the operators' sheet in force sets for a cell. A row of the store holds them.
struct cell_rules
{
    std::set<worker_id> drained; ///< workers that get no new tasks
    placement_policy policy;

    friend bool operator==(const cell_rules &, const cell_rules &) = default;
};

std::string encodeRules(const cell_rules &rules);

/// Inverse of encodeRules. Throws error if @p row is no encoded set of rules.
cell_rules decodeRules(const std::string &row);

} // namespace primrosecroft
