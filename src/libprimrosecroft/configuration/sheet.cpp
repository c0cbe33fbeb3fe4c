#include "configuration/sheet.h"

#include "settings/checked_node.h"

namespace primrosecroft
{

namespace
{

constexpr double milliCoresPerCore = 1000.0;
constexpr double maxCores = 1024;
constexpr std::int64_t maxAccelerators = 64;
constexpr std::int64_t maxPort = 65535;
constexpr double maxWeight = 1000;

placement_policy readPolicy(const checked_node &node)
{
    placement_policy policy;
    node.allowKeys({"packingWeight", "balanceWeight", "spreadWeight", "strandingWeight", "shortFirst"});
    for (const auto &weight : policyWeights) {
        node.optional(weight.key,
                      [&target = policy.*weight.value](const auto &child) { target = child.number(0, maxWeight); });
    }
    return policy;
}

void readDomain(const checked_node &node, const planning_sheet &sheet, failure_domain_id &target)
{
    target = node.name();
    if (!sheet.regions.contains(target)) {
        node.fail("a failure domain of this sheet");
    }
}

sheet_worker readWorker(const checked_node &node, const planning_sheet &sheet)
{
    node.allowKeys({"failureDomain", "rack", "address", "port", "cores", "memory", "accelerators", "draining"});
    sheet_worker worker;
    node.required("failureDomain", [&](const auto &child) { readDomain(child, sheet, worker.failureDomain); });
    node.required("rack", [&](const auto &child) { worker.rack = child.name(); });
    node.required("address", [&](const auto &child) { worker.address = child.name(); });
    node.required("port",
                  [&](const auto &child) { worker.port = static_cast<std::uint16_t>(child.integer(1, maxPort)); });
    node.required("cores", [&](const auto &child) {
        worker.total.milliCores = static_cast<std::int64_t>(child.number(1, maxCores) * milliCoresPerCore);
    });
    node.required("memory", [&](const auto &child) { worker.total.memoryMib = child.memoryMib(); });
    node.optional("accelerators",
                  [&](const auto &child) { worker.total.accelerators = child.integer(0, maxAccelerators); });
    node.optional("draining", [&](const auto &child) { worker.isDraining = child.boolean(); });
    return worker;
}

} // namespace

planning_sheet readSheet(const std::string &text, const std::string &name)
{
    const auto root = checked_node::parse(text, name).collectingFaults();
    planning_sheet sheet;
    root.runCheck([&] {
        root.allowKeys({"sheet", "policy", "failureDomains", "workers", "demands"});
        root.required("sheet", [&](const auto &node) { sheet.name = node.name(); });
        root.optional("policy", [&](const auto &node) { sheet.policy = readPolicy(node); });
        root.required("failureDomains", [&](const auto &node) {
            node.children([&](const auto &domain, const auto &child) {
                auto &region = sheet.regions[domain];
                child.allowKeys({"region"});
                child.required("region", [&](const auto &each) { region = each.name(); });
            });
        });
        root.required("workers", [&](const auto &node) {
            node.children([&](const auto &id, const auto &child) {
                sheet.workers.insert_or_assign(id, readWorker(child, sheet));
            });
        });
        root.optional("demands", [&](const auto &node) {
            node.children(
                [&](const auto &id, const auto &child) { sheet.demands.insert_or_assign(id, readDemand(child)); });
        });
    });
    root.throwFaults();
    return sheet;
}

demand_key sheetDemandKey(const planning_sheet &sheet, const std::string &demand)
{
    return sheet.name + '.' + demand;
}

cell_rules rulesOf(const planning_sheet &sheet)
{
    cell_rules rules;
    rules.policy = sheet.policy;
    for (const auto &[id, worker] : sheet.workers) {
        if (worker.isDraining) {
            rules.drained.insert(id);
        }
    }
    return rules;
}

bool hasCapacityFor(const planning_sheet &sheet, const demand_spec &spec, const failure_domain_id &domain)
{
    std::int64_t held = 0;
    const auto wanted = spec.kind == demand_kind::gang ? spec.tasks : 1;
    for (const auto &[id, worker] : sheet.workers) {
        auto free = worker.total;
        while (worker.failureDomain == domain && held < wanted && fits(spec.size, free)) {
            free -= spec.size;
            ++held;
        }
    }
    return held >= wanted;
}

} // namespace primrosecroft
