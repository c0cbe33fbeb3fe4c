#pragma once

#include "cell/cell_rules.h"
#include "demands/demand.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace primrosecroft
{

/// A worker as the sheet declares it: its place, address and capacity.
struct sheet_worker
{
    failure_domain_id failureDomain;
    std::string rack;
    std::string address;
    std::uint16_t port = 0;
    resources total; ///< capacity
    bool isDraining = false; ///< it gets no new tasks
};

/// A weight of the placement policy, by its key in a sheet.
struct policy_weight
{
    const char *key;
    double placement_policy::*value;
};

/// All weights of the placement policy.
inline constexpr std::array policyWeights {
    policy_weight {"packingWeight", &placement_policy::packingWeight},
    policy_weight {"balanceWeight", &placement_policy::balanceWeight},
    policy_weight {"spreadWeight", &placement_policy::spreadWeight},
    policy_weight {"strandingWeight", &placement_policy::strandingWeight},
    policy_weight {"shortFirst", &placement_policy::shortFirst},
};

/**
 * A planning sheet: the placement policy, the failure domains with their workers, and the demands of the day.
 */
struct planning_sheet
{
    std::string name;
    placement_policy policy;
    std::map<failure_domain_id, std::string> regions; ///< region of each failure domain
    std::map<worker_id, sheet_worker> workers;
    std::map<std::string, demand_spec> demands; ///< by name
};

/// Parses a whole sheet. Throws error with all faults, each with its place and what was expected. @p name is the
/// sheet's name in errors.
planning_sheet readSheet(const std::string &text, const std::string &name);

/// Key under which a sheet's demand is accepted: the sheet's name, a dot and the demand's name.
demand_key sheetDemandKey(const planning_sheet &sheet, const std::string &demand);

/// The part of the sheet that the cell uses: the placement policy and the workers to drain.
cell_rules rulesOf(const planning_sheet &sheet);

/// True if the workers of the failure domain, when empty, have the capacity for one task of the demand, or for all
/// tasks of a gang together.
bool hasCapacityFor(const planning_sheet &sheet, const demand_spec &spec, const failure_domain_id &domain);

} // namespace primrosecroft
