#include "cell/cell_rules.h"

#include "core/error.h"

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
        const auto weight = [&policy](std::size_t index) { return policy.at(index).get<double>(); };
        return {parsed.at("drained").get<std::set<worker_id>>(),
                {weight(0), weight(1), weight(2), weight(3), weight(4)}};
    } catch (const nlohmann::json::exception &fault) {
        throw error("decode cell rules", "", fault.what());
    }
}

} // namespace primrosecroft
