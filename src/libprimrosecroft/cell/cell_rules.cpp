#include "cell/cell_rules.h"

#include "core/row_value.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

std::string encodeRules(const cell_rules &rules)
{
    const auto &policy = rules.policy;
    std::string result;
    nlohmann::json::to_cbor({{"drained", rules.drained},
                             {"policy",
                              {policy.packingWeight, policy.balanceWeight, policy.spreadWeight, policy.strandingWeight,
                               policy.shortFirst}}},
                            result);
    return result;
}

cell_rules decodeRules(const std::string &row)
{
    try {
        const auto parsed = nlohmann::json::from_cbor(row);
        const auto &policy = parsed.at("policy");
        const auto weight = [&policy](std::size_t index) { return rowValue<double>(policy.at(index)); };
        return {rowValue<std::set<worker_id>>(parsed.at("drained")),
                {weight(0), weight(1), weight(2), weight(3), weight(4)}};
    } catch (const nlohmann::json::exception &fault) {
        throw error("decode cell rules", "", fault.what());
    }
}

} // namespace primrosecroft
