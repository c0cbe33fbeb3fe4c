#include "configuration/sheet_change.h"

#include "core/error.h"

#include <algorithm>
#include <cmath>
#include <yaml-cpp/yaml.h>

namespace primrosecroft
{

namespace
{

std::string describe(const std::string &region)
{
    return "region " + region;
}

std::string describe(const resources &size)
{
    return std::to_string(size.milliCores) + " mcores " + std::to_string(size.memoryMib) + " MiB "
        + std::to_string(size.accelerators) + " accelerators";
}

std::string describe(const sheet_worker &worker)
{
    return worker.failureDomain + '/' + worker.rack + ' ' + worker.address + ':' + std::to_string(worker.port) + ' '
        + describe(worker.total) + (worker.isDraining ? " draining" : "");
}

std::string describe(const demand_spec &spec)
{
    return toJson(spec);
}

template<typename value>
void compare(const std::string &part, const std::map<std::string, value> &before,
             const std::map<std::string, value> &after, std::vector<sheet_change> &result)
{
    for (const auto &[name, old] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            result.push_back({change_kind::removed, part + name, describe(old), ""});
        } else if (describe(old) != describe(found->second)) {
            result.push_back({change_kind::changed, part + name, describe(old), describe(found->second)});
        }
    }
    for (const auto &[name, added] : after) {
        if (!before.contains(name)) {
            result.push_back({change_kind::added, part + name, "", describe(added)});
        }
    }
}

void compareWeight(const std::string &name, double before, double after, std::vector<sheet_change> &result)
{
    if (before != after) {
        result.push_back({change_kind::changed, name, std::to_string(before), std::to_string(after)});
    }
}

} // namespace

std::vector<sheet_change> differences(const planning_sheet &before, const planning_sheet &after)
{
    std::vector<sheet_change> result;
    if (before.name != after.name) {
        result.push_back({change_kind::changed, "sheet", before.name, after.name});
    }
    for (const auto &[key, value] : policyWeights) {
        compareWeight(std::string("policy.") + key, before.policy.*value, after.policy.*value, result);
    }
    compare("failureDomains.", before.regions, after.regions, result);
    compare("workers.", before.workers, after.workers, result);
    compare("demands.", before.demands, after.demands, result);
    return result;
}

std::string withDraining(const std::string &text, const worker_id &worker, bool draining)
{
    auto wanted = readSheet(text, "sheet");
    const auto found = wanted.workers.find(worker);
    if (found == wanted.workers.end()) {
        throw error("change sheet", "", "no worker " + worker + " in the sheet");
    }
    if (found->second.isDraining == draining) {
        return text;
    }
    found->second.isDraining = draining;
    const auto node = YAML::Load(text)["workers"][worker];
    const auto current = node["draining"];
    const std::string value = draining ? "true" : "false";
    auto result = text;
    if (current.IsDefined()) {
        result.replace(static_cast<std::size_t>(current.Mark().pos), current.Scalar().size(), value);
    } else if (node.Style() == YAML::EmitterStyle::Flow) {
        result.insert(static_cast<std::size_t>(node.Mark().pos) + 1, "draining: " + value + ", ");
    } else {
        const auto indent = std::string(static_cast<std::size_t>(node.Mark().column), ' ');
        result.insert(static_cast<std::size_t>(node.Mark().pos), "draining: " + value + '\n' + indent);
    }
    // The text was changed by position, so the result is parsed and compared with the intended sheet.
    if (!differences(wanted, readSheet(result, "sheet")).empty()) {
        throw error("change sheet", "", "draining of " + worker + " can't be set in a sheet of this form");
    }
    return result;
}

} // namespace primrosecroft
