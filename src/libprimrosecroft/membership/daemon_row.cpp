#include "membership/daemon_row.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

row_place daemonPlace(const std::string &id)
{
    return {daemonTable, "", id};
}

std::string encodeDaemon(const daemon_row &row)
{
    return nlohmann::json {{"failureDomain", row.vm.failureDomain},
                           {"region", row.vm.region},
                           {"address", row.vm.address},
                           {"port", row.vm.port},
                           {"leaving", row.vm.isLeaving},
                           {"writtenAt", row.writtenAt.count()}}
        .dump();
}

daemon_row decodeDaemon(const std::string &id, const std::string &row)
{
    try {
        const auto body = nlohmann::json::parse(row);
        daemon_row result;
        result.vm = {id,
                     vm_role::entry,
                     body.at("failureDomain").get<std::string>(),
                     body.at("region").get<std::string>(),
                     body.at("address").get<std::string>(),
                     body.at("port").get<std::uint16_t>(),
                     body.at("leaving").get<bool>()};
        result.writtenAt = std::chrono::milliseconds(body.at("writtenAt").get<std::int64_t>());
        return result;
    } catch (const nlohmann::json::exception &fault) {
        throw error("decode daemon row", id, fault.what());
    }
}

} // namespace primrosecroft
