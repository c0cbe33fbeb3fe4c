#include "configuration/configuration.h"

#include "core/checksum.h"
#include "core/error.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace primrosecroft
{

namespace
{

/// The rows are in the shard's partition of the store, so that a version and the cell's rules are written in one
/// transaction.
constexpr const char *configurationTable = "configuration";
constexpr std::size_t versionDigits = 19;

} // namespace

std::string toJson(const configuration_row &row)
{
    return nlohmann::json {{"version", row.version}, {"hash", row.hash}, {"writer", row.writer}}.dump();
}

configuration_row configurationRowFromJson(const std::string &text)
{
    try {
        const auto body = nlohmann::json::parse(text);
        return {body.at("version").get<std::int64_t>(), body.at("hash").get<std::string>(),
                body.at("writer").get<std::string>()};
    } catch (const nlohmann::json::exception &fault) {
        throw error("decode configuration row", "", fault.what());
    }
}

row_place configurationPlace()
{
    return {configurationTable, shardPartition, "current"};
}

row_place historyPlace(std::int64_t version)
{
    // Padded with zeros, so that the keys sort in the order of the versions.
    auto digits = std::to_string(version);
    digits.insert(0, versionDigits - std::min(versionDigits, digits.size()), '0');
    return {configurationTable, shardPartition, "history." + digits};
}

bool supersedes(const configuration_version &offered, const std::optional<configuration_version> &current)
{
    if (offered.version <= 0 || (current && offered.version <= current->version)) {
        return false;
    }
    return sha256(offered.text) == offered.hash;
}

} // namespace primrosecroft
