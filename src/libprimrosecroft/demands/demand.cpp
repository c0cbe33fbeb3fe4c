#include "demands/demand.h"

#include "settings/checked_node.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t maxMilliCores = 1'024'000;
constexpr double maxCores = 1024.0;
constexpr double milliCoresPerCore = 1000.0;
constexpr std::int64_t maxAccelerators = 1024;
constexpr auto maxRunTime = 24h * 366;

demand_kind kindFrom(const std::string &text)
{
    if (text == "service") {
        return demand_kind::service;
    }
    return text == "gang" ? demand_kind::gang : demand_kind::batch;
}

std::int64_t readMilliCores(const checked_node &node)
{
    const auto milliCores = static_cast<std::int64_t>(node.number(0.001, maxCores) * milliCoresPerCore);
    if (milliCores > maxMilliCores || milliCores < 1) {
        node.fail("at least 0.001 cores");
    }
    return milliCores;
}

} // namespace

std::string toString(demand_kind kind)
{
    switch (kind) {
    case demand_kind::service:
        return "service";
    case demand_kind::gang:
        return "gang";
    case demand_kind::batch:
        break;
    }
    return "batch";
}

demand_spec readDemand(const checked_node &node)
{
    node.allowKeys({"kind", "priority", "onPartition", "team", "tasks", "cores", "memory", "accelerators", "runTime",
                    "repeatable", "failureDomain"});
    demand_spec spec;
    node.required("kind", [&](const auto &child) { spec.kind = kindFrom(child.choice({"service", "batch", "gang"})); });
    node.required("team", [&](const auto &child) { spec.team = child.name(); });
    node.required("tasks", [&](const auto &child) {
        spec.tasks = static_cast<std::int32_t>(child.integer(1, maxTasksPerDemand));
    });
    node.required("cores", [&](const auto &child) { spec.size.milliCores = readMilliCores(child); });
    node.required("memory", [&](const auto &child) { spec.size.memoryMib = child.memoryMib(); });
    node.optional("accelerators",
                  [&](const auto &child) { spec.size.accelerators = child.integer(0, maxAccelerators); });
    node.optional("priority", [&](const auto &child) {
        spec.priority =
            child.choice({"normal", "urgent"}) == "urgent" ? demand_priority::urgent : demand_priority::normal;
    });
    node.optional("onPartition", [&](const auto &child) {
        spec.onPartition =
            child.choice({"stay", "move"}) == "move" ? partition_preference::move : partition_preference::stay;
    });
    node.optional("runTime", [&](const auto &child) { spec.declaredRunTime = child.time(0ms, maxRunTime); });
    node.optional("repeatable", [&](const auto &child) { spec.isRepeatable = child.boolean(); });
    node.optional("failureDomain", [&](const auto &child) { spec.failureDomain = child.name(); });
    node.runCheck([&] {
        if (spec.kind == demand_kind::service && !spec.isRepeatable) {
            node.at("repeatable").fail("true for a service, whose lost tasks are started again");
        }
    });
    return spec;
}

std::string toJson(const demand_spec &spec)
{
    nlohmann::json body {
        {"kind", toString(spec.kind)},
        {"priority", spec.priority == demand_priority::urgent ? "urgent" : "normal"},
        {"onPartition", spec.onPartition == partition_preference::move ? "move" : "stay"},
        {"team", spec.team},
        {"tasks", spec.tasks},
        {"milliCores", spec.size.milliCores},
        {"memoryMib", spec.size.memoryMib},
        {"accelerators", spec.size.accelerators},
        {"runTimeMs", spec.declaredRunTime.count()},
        {"repeatable", spec.isRepeatable},
    };
    if (spec.failureDomain) {
        body["failureDomain"] = *spec.failureDomain;
    }
    return body.dump();
}

demand_spec demandFromJson(const std::string &text)
{
    const auto body = nlohmann::json::parse(text);
    demand_spec spec;
    spec.kind = kindFrom(body.at("kind").get<std::string>());
    spec.priority = body.at("priority") == "urgent" ? demand_priority::urgent : demand_priority::normal;
    spec.onPartition = body.at("onPartition") == "move" ? partition_preference::move : partition_preference::stay;
    spec.team = body.at("team").get<std::string>();
    spec.tasks = body.at("tasks").get<std::int32_t>();
    spec.size.milliCores = body.at("milliCores").get<std::int64_t>();
    spec.size.memoryMib = body.at("memoryMib").get<std::int64_t>();
    spec.size.accelerators = body.at("accelerators").get<std::int64_t>();
    spec.declaredRunTime = std::chrono::milliseconds(body.at("runTimeMs").get<std::int64_t>());
    spec.isRepeatable = body.at("repeatable").get<bool>();
    if (body.contains("failureDomain")) {
        spec.failureDomain = body.at("failureDomain").get<std::string>();
    }
    return spec;
}

} // namespace primrosecroft
