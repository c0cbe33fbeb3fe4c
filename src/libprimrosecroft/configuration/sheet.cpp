#include "configuration/sheet.h"

#include "settings/checked_node.h"

namespace primrosecroft
{

namespace
{

constexpr double milliCoresPerCore = 1000.0;
constexpr double mostCores = 1024;
constexpr std::int64_t mostAccelerators = 64;
constexpr std::int64_t lastPort = 65535;
constexpr double largestWeight = 1000;

placement_policy readPolicy(const checked_node &node)
{
    placement_policy policy;
    const std::vector<std::pair<std::string, double *>> weights {{"packingWeight", &policy.packingWeight},
                                                                 {"balanceWeight", &policy.balanceWeight},
                                                                 {"spreadWeight", &policy.spreadWeight},
                                                                 {"strandingWeight", &policy.strandingWeight},
                                                                 {"shortFirst", &policy.shortFirst}};
    node.allowKeys({"packingWeight", "balanceWeight", "spreadWeight", "strandingWeight", "shortFirst"});
    for (const auto &[key, weight] : weights) {
        if (node.has(key)) {
            *weight = node.at(key).number(0, largestWeight);
        }
    }
    return policy;
}

sheet_worker readWorker(const checked_node &node, const planning_sheet &sheet)
{
    node.allowKeys({"failureDomain", "rack", "address", "port", "cores", "memory", "accelerators", "draining"});
    sheet_worker worker;
    worker.failureDomain = node.at("failureDomain").name();
    if (!sheet.regions.contains(worker.failureDomain)) {
        node.at("failureDomain").fail("a failure domain of this sheet");
    }
    worker.rack = node.at("rack").name();
    worker.address = node.at("address").name();
    worker.port = static_cast<std::uint16_t>(node.at("port").integer(1, lastPort));
    worker.total.milliCores = static_cast<std::int64_t>(node.at("cores").number(1, mostCores) * milliCoresPerCore);
    worker.total.memoryMib = node.at("memory").memoryMib();
    if (node.has("accelerators")) {
        worker.total.accelerators = node.at("accelerators").integer(0, mostAccelerators);
    }
    if (node.has("draining")) {
        worker.draining = node.at("draining").boolean();
    }
    return worker;
}

} // namespace

planning_sheet readSheet(const std::string &text, const std::string &name)
{
    const auto root = checked_node::parse(text, name);
    root.allowKeys({"sheet", "policy", "failureDomains", "workers", "demands"});
    planning_sheet sheet;
    sheet.name = root.at("sheet").name();
    if (root.has("policy")) {
        sheet.policy = readPolicy(root.at("policy"));
    }
    const auto domains = root.at("failureDomains");
    for (const auto &domain : domains.keys()) {
        const auto node = domains.at(domain);
        node.allowKeys({"region"});
        sheet.regions.emplace(domain, node.at("region").name());
    }
    const auto workers = root.at("workers");
    for (const auto &worker : workers.keys()) {
        sheet.workers.emplace(worker, readWorker(workers.at(worker), sheet));
    }
    if (root.has("demands")) {
        const auto demands = root.at("demands");
        for (const auto &demand : demands.keys()) {
            sheet.demands.emplace(demand, readDemand(demands.at(demand)));
        }
    }
    return sheet;
}

demand_key sheetDemandKey(const planning_sheet &sheet, const std::string &demand)
{
    return sheet.name + '.' + demand;
}

std::vector<configured_worker> workersOf(const planning_sheet &sheet, const failure_domain_id &domain)
{
    std::vector<configured_worker> result;
    for (const auto &[id, worker] : sheet.workers) {
        if (worker.failureDomain == domain) {
            result.push_back({id, worker.rack, worker.draining});
        }
    }
    return result;
}

cell emptyCell(const planning_sheet &sheet, const failure_domain_id &domain)
{
    cell result;
    for (const auto &[id, worker] : sheet.workers) {
        if (worker.failureDomain == domain) {
            result.emplace(id, cell_worker {id, worker.rack, worker.total, worker.total, !worker.draining});
        }
    }
    return result;
}

} // namespace primrosecroft
