#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// Service level objectives, and the metrics by which they are measured.
namespace primrosecroft
{

/// Selects the series of one metric whose labels have these values. The sum of the series is a count of events.
struct metric_selector
{
    std::string metric;
    std::map<std::string, std::string> labels; ///< empty: all series of the metric
};

enum class objective_kind
{
    ratio, ///< share of good events among all events
    configuration, ///< share of scrapes in which a daemon has the latest configuration version in force in time
};

struct burn_objective
{
    std::string name;
    objective_kind kind = objective_kind::ratio;
    double target = 0.999; ///< share of good events, below 1
    metric_selector good; ///< only for ratio
    metric_selector total; ///< only for ratio
    std::chrono::milliseconds within {4'000}; ///< only for configuration: time until a version has to be in force
};

/// A daemon whose metrics are scraped, from /metrics below its URL.
struct metrics_endpoint
{
    std::string process;
    std::string failureDomain;
    std::string url;
};

struct burn_settings
{
    std::vector<metrics_endpoint> daemons;
    std::vector<burn_objective> objectives;
};

/// Reads settings in YAML. Throws error that names all faults.
burn_settings readBurnSettings(const std::string &text, const std::string &name);

} // namespace primrosecroft
