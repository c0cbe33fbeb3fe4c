#pragma once

#include "cell/cell_rules.h"
#include "demands/demand.h"

#include <map>
#include <string>
#include <vector>

namespace primrosecroft
{

/// A worker's declared capacity and where it listens.
struct sheet_worker
{
    failure_domain_id failureDomain;
    std::string rack;
    std::string address;
    std::uint16_t port = 0;
    resources total;
    bool draining = false;
};

/**
 * A planning sheet: the policy in force, the workers that failure domains schedule
 * on, and the demands of the day.
 */
struct planning_sheet
{
    std::string name;
    placement_policy policy;
    std::map<failure_domain_id, std::string> regions; ///< by failure domain
    std::map<worker_id, sheet_worker> workers;
    std::map<std::string, demand_spec> demands; ///< by name
};

/// Reads a whole sheet. Throws error naming place and expectation.
planning_sheet readSheet(const std::string &text, const std::string &name);

/// Key under which a sheet's demand is accepted.
demand_key sheetDemandKey(const planning_sheet &sheet, const std::string &demand);

/// What the sheet says to the cell.
cell_rules rulesOf(const planning_sheet &sheet);

/// True when the empty workers of the failure domain could hold the demand; all of a gang at once.
bool hasCapacityFor(const planning_sheet &sheet, const demand_spec &spec, const failure_domain_id &domain);

} // namespace primrosecroft
