#include "configuration/configuration.h"

#include "core/error.h"
#include "io/glib_pointer.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

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
        throw error("read configuration row", "", fault.what());
    }
}

std::string sheetHash(const std::string &text)
{
    const text_pointer hash(
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.data(), static_cast<gssize>(text.size())));
    return hash.get();
}

bool supersedes(const configuration_version &offered, const std::optional<configuration_version> &current)
{
    if (offered.version <= 0 || (current && offered.version <= current->version)) {
        return false;
    }
    return sheetHash(offered.text) == offered.hash;
}

} // namespace primrosecroft
