#include "demands/demand_row.h"

#include "core/error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace primrosecroft
{

namespace
{

constexpr std::array outcomeNames {"none", "done", "failed", "cancelled", "unknown"};
constexpr std::array endNames {"done", "failed", "unknown"};

template<typename value, std::size_t size>
value valueOf(const std::array<const char *, size> &names, const std::string &name)
{
    const auto found = std::ranges::find(names, name);
    if (found == names.end()) {
        throw error("read demand row", "", "unexpected value '" + name + "'");
    }
    return static_cast<value>(found - names.begin());
}

} // namespace

std::string toString(demand_outcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

demand_row merge(const demand_row &committed, const demand_row &wanted)
{
    auto result = committed;
    result.cancelled = committed.cancelled || wanted.cancelled;
    result.started.insert(wanted.started.begin(), wanted.started.end());
    result.ended.insert(wanted.ended.begin(), wanted.ended.end());
    if (committed.outcome == demand_outcome::none) {
        result.outcome = wanted.outcome;
        result.reason = wanted.reason;
    }
    return result;
}

std::string toJson(const demand_row &row)
{
    nlohmann::json ended = nlohmann::json::object();
    for (const auto &[index, end] : row.ended) {
        ended[std::to_string(index)] = endNames.at(static_cast<std::size_t>(end));
    }
    nlohmann::json started = nlohmann::json::object();
    for (const auto &[index, attempt] : row.started) {
        started[std::to_string(index)] = attempt;
    }
    const nlohmann::json body {
        {"key", row.key},
        {"home", row.home},
        {"demand", nlohmann::json::parse(toJson(row.spec))},
        {"cancelled", row.cancelled},
        {"started", started},
        {"ended", ended},
        {"outcome", toString(row.outcome)},
        {"reason", row.reason},
    };
    return body.dump();
}

demand_row rowFromJson(const std::string &text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        demand_row row;
        row.key = body.at("key").get<std::string>();
        row.home = body.at("home").get<std::string>();
        row.spec = demandFromJson(body.at("demand").dump());
        row.cancelled = body.at("cancelled").get<bool>();
        for (const auto &[index, attempt] : body.at("started").items()) {
            row.started.emplace(std::stoi(index), attempt.get<attempt_id>());
        }
        for (const auto &[index, end] : body.at("ended").items()) {
            row.ended.emplace(std::stoi(index), valueOf<task_end>(endNames, end.get<std::string>()));
        }
        row.outcome = valueOf<demand_outcome>(outcomeNames, body.at("outcome").get<std::string>());
        row.reason = body.at("reason").get<std::string>();
        return row;
    } catch (const nlohmann::json::exception &fault) {
        throw error("read demand row", "", fault.what());
    }
}

std::string demandRowKey(const demand_key &key)
{
    return "demand/" + key;
}

std::string activeRowPrefix(const failure_domain_id &home)
{
    return "active/" + home + '/';
}

std::string activeRowKey(const failure_domain_id &home, const demand_key &key)
{
    return activeRowPrefix(home) + key;
}

} // namespace primrosecroft
