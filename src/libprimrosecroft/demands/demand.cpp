#include "demands/demand.h"

#include "settings/checked_node.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t mostMilliCores = 1'024'000;
constexpr double mostCores = 1024.0;
constexpr double milliCoresPerCore = 1000.0;
constexpr std::int64_t mostAccelerators = 1024;
constexpr auto longestRunTime = 24h * 366;

demand_kind kindFrom(const std::string &text)
{
    if (text == "service") {
        return demand_kind::service;
    }
    return text == "gang" ? demand_kind::gang : demand_kind::batch;
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
    spec.kind = kindFrom(node.at("kind").choice({"service", "batch", "gang"}));
    spec.team = node.at("team").name();
    spec.tasks = static_cast<std::int32_t>(node.at("tasks").integer(1, mostTasksPerDemand));
    spec.size.milliCores = static_cast<std::int64_t>(node.at("cores").number(0.001, mostCores) * milliCoresPerCore);
    spec.size.memoryMib = node.at("memory").memoryMib();
    if (node.has("accelerators")) {
        spec.size.accelerators = node.at("accelerators").integer(0, mostAccelerators);
    }
    if (node.has("priority")) {
        spec.priority = node.at("priority").choice({"normal", "urgent"}) == "urgent" ? demand_priority::urgent
                                                                                     : demand_priority::normal;
    }
    if (node.has("onPartition")) {
        spec.onPartition = node.at("onPartition").choice({"stay", "move"}) == "move" ? partition_preference::move
                                                                                     : partition_preference::stay;
    }
    if (node.has("runTime")) {
        spec.declaredRunTime = node.at("runTime").time(0ms, longestRunTime);
    }
    if (node.has("repeatable")) {
        spec.repeatable = node.at("repeatable").boolean();
    }
    if (node.has("failureDomain")) {
        spec.failureDomain = node.at("failureDomain").name();
    }
    if (spec.size.milliCores > mostMilliCores || spec.size.milliCores < 1) {
        node.at("cores").fail("at least 0.001 cores");
    }
    if (spec.kind == demand_kind::service && !spec.repeatable) {
        node.at("repeatable").fail("true for a service, whose lost tasks are started again");
    }
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
        {"repeatable", spec.repeatable},
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
    spec.repeatable = body.at("repeatable").get<bool>();
    if (body.contains("failureDomain")) {
        spec.failureDomain = body.at("failureDomain").get<std::string>();
    }
    return spec;
}

} // namespace primrosecroft
