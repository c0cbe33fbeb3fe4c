#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

/// What operators promise, and which metrics tell whether it is kept.
namespace primrosecroft
{

/// Series of one metric whose labels hold these values; their sum counts events.
struct metric_selector
{
    std::string metric;
    std::map<std::string, std::string> labels;
};

enum class objective_kind
{
    ratio, ///< good events among all
    configuration, ///< daemons that have the highest version in force in time
};

struct burn_objective
{
    std::string name;
    objective_kind kind = objective_kind::ratio;
    double target = 0.999; ///< share of good events, below 1
    metric_selector good;
    metric_selector total;
    std::chrono::milliseconds within {4'000}; ///< for configuration
};

/// Where one daemon shows its metrics.
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

/// Throws error with all faults.
burn_settings readBurnSettings(const std::string &text, const std::string &name);

} // namespace primrosecroft
