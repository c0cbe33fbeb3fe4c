#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The daemons' metrics over time, as a series of scrapes.
namespace primrosecroft
{

/// One sample of a scrape, from the Prometheus text format 0.0.4.
struct metric_sample
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Parses the Prometheus text format. Skips comments and malformed lines.
std::vector<metric_sample> parseMetrics(const std::string &text);

/// One daemon's part of a scrape.
struct daemon_scrape
{
    std::string process;
    std::string failureDomain;
    std::optional<std::vector<metric_sample>> samples; ///< std::nullopt if the daemon gave no answer
};

struct scrape
{
    std::chrono::milliseconds at {0}; ///< since the epoch, on the clock of the process that scraped
    std::vector<daemon_scrape> daemons;
};

/// Returns one line of a saved series, as JSON. @p texts are the metrics of @p daemons in the same order, std::nullopt
/// for a daemon that gave no answer.
std::string toLine(std::chrono::milliseconds at, const std::vector<daemon_scrape> &daemons,
                   const std::vector<std::optional<std::string>> &texts);

/// Reads a saved series, which has one scrape per line, and sorts it by time. Throws error that names a malformed line.
std::vector<scrape> readSeries(const std::string &text, const std::string &name);

} // namespace primrosecroft
