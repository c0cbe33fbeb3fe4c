#include "burn_report.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

namespace
{

constexpr const char *versionMetric = "primrosecroft_configuration_version";

bool matches(const metric_sample &sample, const metric_selector &selector)
{
    return sample.name == selector.metric && std::ranges::all_of(selector.labels, [&sample](const auto &label) {
               const auto found = sample.labels.find(label.first);
               return found != sample.labels.end() && found->second == label.second;
           });
}

double sumOf(const std::vector<metric_sample> &samples, const metric_selector &selector)
{
    double sum = 0;
    for (const auto &sample : samples) {
        if (matches(sample, selector)) {
            sum += sample.value;
        }
    }
    return sum;
}

/// Returns the daemon's part of a scrape, or nullptr if it gave no answer.
const daemon_scrape *find(const scrape &each, const std::string &process)
{
    const auto found = std::ranges::find(each.daemons, process, &daemon_scrape::process);
    return found == each.daemons.end() || !found->samples ? nullptr : &*found;
}

/// Adds the events of one daemon in a window, across restarts: a counter that is lower than before was reset to 0, so
/// its whole value counts.
void addEvents(const burn_objective &objective, const metrics_endpoint &daemon, const std::vector<scrape> &series,
               std::chrono::milliseconds from, window_result &window, burn_row &row)
{
    const daemon_scrape *before = nullptr;
    for (const auto &each : series) {
        const auto *now = find(each, daemon.process);
        if (each.at < from || now == nullptr) {
            continue;
        }
        if (before != nullptr) {
            const auto totalBefore = sumOf(*before->samples, objective.total);
            const auto total = sumOf(*now->samples, objective.total);
            const auto good = sumOf(*now->samples, objective.good);
            const auto goodBefore = sumOf(*before->samples, objective.good);
            const auto isReset = total < totalBefore || good < goodBefore;
            window.total += isReset ? total : total - totalBefore;
            window.good += isReset ? good : good - goodBefore;
            if (isReset) {
                row.resets.insert(daemon.process);
            }
        }
        before = now;
    }
}

std::optional<double> versionOf(const daemon_scrape &daemon)
{
    const auto found = std::ranges::find(*daemon.samples, versionMetric, &metric_sample::name);
    return found == daemon.samples->end() ? std::nullopt : std::optional(found->value);
}

/// Adds one event for each scrape in which the daemon answered. It is good if the daemon has at least the highest
/// version that any daemon had at least `within` of the objective earlier.
void addVersions(const burn_objective &objective, const metrics_endpoint &daemon, const std::vector<scrape> &series,
                 std::chrono::milliseconds from, window_result &window)
{
    double requiredVersion = 0;
    auto earlier = series.begin();
    for (const auto &each : series) {
        for (; earlier != series.end() && earlier->at <= each.at - objective.within; ++earlier) {
            for (const auto &other : earlier->daemons) {
                requiredVersion = std::max(requiredVersion, other.samples ? versionOf(other).value_or(0) : 0);
            }
        }
        const auto *now = find(each, daemon.process);
        if (each.at < from || now == nullptr) {
            continue;
        }
        window.total += 1;
        window.good += versionOf(*now).value_or(0) >= requiredVersion ? 1 : 0;
    }
}

/// An alert takes precedence over missing daemons.
burn_state classify(const burn_row &row)
{
    const auto isOver = [&row](std::size_t index) {
        return row.windows.at(index).burn.value_or(0) > alertWindows.at(index).threshold;
    };
    if (isOver(0) && isOver(1)) {
        return burn_state::fastBurn;
    }
    if (isOver(2) && isOver(3)) {
        return burn_state::slowBurn;
    }
    if (!row.missing.empty()) {
        return burn_state::unseen;
    }
    const auto hasEvents =
        std::ranges::any_of(row.windows, [](const window_result &each) { return each.burn.has_value(); });
    return hasEvents ? burn_state::good : burn_state::noEvents;
}

/// Records whether the daemon is missing from the last scrape and from any scrape since @p from.
void recordGaps(const metrics_endpoint &daemon, const std::vector<scrape> &series, std::chrono::milliseconds from,
                burn_row &row)
{
    for (const auto &each : series) {
        if (each.at >= from && find(each, daemon.process) == nullptr) {
            row.gaps.insert(daemon.process);
        }
    }
    if (find(series.back(), daemon.process) == nullptr) {
        row.missing.insert(daemon.process);
    }
}

burn_row makeRow(const burn_objective &objective, const std::string &failureDomain, const burn_settings &settings,
                 const std::vector<scrape> &series)
{
    burn_row row;
    row.objective = objective.name;
    row.failureDomain = failureDomain;
    row.target = objective.target;
    const auto now = series.back().at;
    std::vector<metrics_endpoint> daemons;
    std::ranges::copy_if(settings.daemons, std::back_inserter(daemons), [&failureDomain](const metrics_endpoint &each) {
        return failureDomain.empty() || each.failureDomain == failureDomain;
    });
    for (std::size_t index = 0; index < alertWindows.size(); ++index) {
        auto &window = row.windows.at(index);
        const auto from = now - alertWindows.at(index).length;
        const auto first = std::ranges::find_if(series, [from](const scrape &each) { return each.at >= from; });
        window.covered = now - first->at;
        for (const auto &daemon : daemons) {
            if (objective.kind == objective_kind::ratio) {
                addEvents(objective, daemon, series, from, window, row);
            } else {
                addVersions(objective, daemon, series, from, window);
            }
        }
        if (window.total > 0) {
            window.burn = std::max(0.0, 1 - window.good / window.total) / (1 - objective.target);
        }
    }
    for (const auto &daemon : daemons) {
        recordGaps(daemon, series, now - alertWindows.back().length, row);
    }
    row.state = classify(row);
    return row;
}

} // namespace

burn_report makeBurnReport(const burn_settings &settings, const std::vector<scrape> &series)
{
    burn_report report;
    if (series.empty()) {
        return report;
    }
    report.at = series.back().at;
    std::set<std::string> domains {""};
    std::ranges::transform(settings.daemons, std::inserter(domains, domains.end()), &metrics_endpoint::failureDomain);
    for (const auto &objective : settings.objectives) {
        for (const auto &domain : domains) {
            report.rows.push_back(makeRow(objective, domain, settings, series));
        }
    }
    return report;
}

std::string toString(burn_state state)
{
    switch (state) {
    case burn_state::good:
        return "good";
    case burn_state::slowBurn:
        return "SLOW BURN";
    case burn_state::fastBurn:
        return "FAST BURN";
    case burn_state::noEvents:
        return "no events";
    case burn_state::unseen:
        break;
    }
    return "UNSEEN";
}

} // namespace primrosecroft
