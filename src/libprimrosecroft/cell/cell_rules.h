#pragma once

#include "core/types.h"

#include <set>
#include <string>

namespace primrosecroft
{

/// What a deployment weighs when it chooses a worker. Weights are relative to each other.
struct placement_policy
{
    double packingWeight = 1.0; ///< fills the fullest worker first
    double balanceWeight = 0.0; ///< keeps free cores and memory of a worker in proportion
    double spreadWeight = 0.0; ///< keeps a step's tasks on different racks
    double strandingWeight = 10.0; ///< keeps accelerators free for what needs them
    double shortFirst = 0.0; ///< seconds that a step's place in the queue falls back for each estimated second

    friend bool operator==(const placement_policy &, const placement_policy &) = default;
};

/// What the operators' sheet in force says to a cell. One row in the store holds it.
struct cell_rules
{
    std::set<worker_id> drained; ///< get no new tasks
    placement_policy policy;

    friend bool operator==(const cell_rules &, const cell_rules &) = default;
};

std::string encodeRules(const cell_rules &rules);

/// Throws error when @p row is no such text.
cell_rules decodeRules(const std::string &row);

} // namespace primrosecroft
