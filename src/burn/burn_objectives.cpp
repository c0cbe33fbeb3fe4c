#include "burn_objectives.h"

#include "settings/checked_node.h"

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr double minTarget = 0.5;
constexpr double maxTarget = 0.999999;

metric_selector readSelector(const checked_node &node)
{
    node.allowKeys({"metric", "labels"});
    metric_selector selector;
    node.required("metric", [&](const auto &child) { selector.metric = child.name(); });
    node.optional("labels", [&](const auto &child) {
        child.children([&](const auto &label, const auto &value) { selector.labels[label] = value.text(); });
    });
    return selector;
}

burn_objective readObjective(const std::string &name, const checked_node &node)
{
    node.allowKeys({"kind", "target", "good", "total", "within"});
    burn_objective objective;
    objective.name = name;
    node.required("kind", [&](const auto &child) {
        objective.kind =
            child.choice({"ratio", "configuration"}) == "ratio" ? objective_kind::ratio : objective_kind::configuration;
    });
    node.required("target", [&](const auto &child) { objective.target = child.number(minTarget, maxTarget); });
    if (objective.kind == objective_kind::ratio) {
        node.required("good", [&](const auto &child) { objective.good = readSelector(child); });
        node.required("total", [&](const auto &child) { objective.total = readSelector(child); });
    } else {
        node.required("within", [&](const auto &child) { objective.within = child.time(100ms, 10min); });
    }
    return objective;
}

} // namespace

burn_settings readBurnSettings(const std::string &text, const std::string &name)
{
    const auto root = checked_node::parse(text, name).collectingFaults();
    burn_settings settings;
    root.runCheck([&] {
        root.allowKeys({"daemons", "objectives"});
        root.required("daemons", [&](const auto &node) {
            node.children([&](const auto &process, const auto &child) {
                child.allowKeys({"failureDomain", "url"});
                metrics_endpoint endpoint;
                endpoint.process = process;
                child.required("failureDomain", [&](const auto &each) { endpoint.failureDomain = each.name(); });
                child.required("url", [&](const auto &each) { endpoint.url = each.text(); });
                settings.daemons.push_back(endpoint);
            });
        });
        root.required("objectives", [&](const auto &node) {
            node.children([&](const auto &objective, const auto &child) {
                settings.objectives.push_back(readObjective(objective, child));
            });
        });
    });
    root.throwFaults();
    return settings;
}

} // namespace primrosecroft
