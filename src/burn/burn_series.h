#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What the daemons' metrics said, scrape after scrape.
namespace primrosecroft
{

/// One series of one scrape, in Prometheus' text format 0.0.4.
struct metric_sample
{
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

/// Lines that are no samples are skipped.
std::vector<metric_sample> parseMetrics(const std::string &text);

/// One daemon's answer at one time; none when it could not be reached.
struct daemon_scrape
{
    std::string process;
    std::string failureDomain;
    std::optional<std::vector<metric_sample>> samples;
};

struct scrape
{
    std::chrono::milliseconds at {0}; ///< of the collector's clock
    std::vector<daemon_scrape> daemons;
};

/// One line of a saved series, JSON. @p texts are the daemons' metrics, none for one out of reach.
std::string toLine(std::chrono::milliseconds at, const std::vector<daemon_scrape> &daemons,
                   const std::vector<std::optional<std::string>> &texts);

/// Reads a saved series, one scrape a line, sorted by time. Throws error naming the line.
std::vector<scrape> readSeries(const std::string &text, const std::string &name);

} // namespace primrosecroft
