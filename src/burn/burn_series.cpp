#include "burn_series.h"

#include "core/error.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

namespace primrosecroft
{

namespace
{

/// Parses `key="value",...}`. Returns the position after the brace, or npos if the text is malformed.
std::size_t readLabels(const std::string &line, std::size_t at, std::map<std::string, std::string> &labels)
{
    while (at < line.size() && line[at] != '}') {
        const auto equals = line.find("=\"", at);
        if (equals == std::string::npos) {
            return std::string::npos;
        }
        const auto key = line.substr(at, equals - at);
        std::string value;
        for (at = equals + 2; at < line.size() && line[at] != '"'; ++at) {
            if (line[at] == '\\' && at + 1 < line.size()) {
                ++at;
            }
            value += line[at];
        }
        labels[key] = value;
        at = at + 1 < line.size() && line[at + 1] == ',' ? at + 2 : at + 1;
    }
    return at < line.size() ? at + 1 : std::string::npos;
}

std::optional<metric_sample> parseSample(const std::string &line)
{
    if (line.empty() || line.front() == '#') {
        return std::nullopt;
    }
    const auto nameEnd = line.find_first_of("{ ");
    if (nameEnd == std::string::npos) {
        return std::nullopt;
    }
    metric_sample sample;
    sample.name = line.substr(0, nameEnd);
    const auto valueAt = line[nameEnd] == '{' ? readLabels(line, nameEnd + 1, sample.labels) : nameEnd;
    if (valueAt == std::string::npos) {
        return std::nullopt;
    }
    const auto *begin = line.c_str() + valueAt;
    char *end = nullptr;
    sample.value = std::strtod(begin, &end);
    return end == begin ? std::nullopt : std::optional(sample);
}

} // namespace

std::vector<metric_sample> parseMetrics(const std::string &text)
{
    std::vector<metric_sample> result;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (auto sample = parseSample(line)) {
            result.push_back(std::move(*sample));
        }
    }
    return result;
}

std::string toLine(std::chrono::milliseconds at, const std::vector<daemon_scrape> &daemons,
                   const std::vector<std::optional<std::string>> &texts)
{
    auto list = nlohmann::json::array();
    for (std::size_t index = 0; index < daemons.size(); ++index) {
        nlohmann::json entry {{"process", daemons[index].process}, {"failureDomain", daemons[index].failureDomain}};
        entry["metrics"] = texts.at(index) ? nlohmann::json(*texts[index]) : nlohmann::json();
        list.push_back(std::move(entry));
    }
    return nlohmann::json {{"atMs", at.count()}, {"daemons", list}}.dump(-1, ' ', false,
                                                                         nlohmann::json::error_handler_t::replace);
}

std::vector<scrape> readSeries(const std::string &text, const std::string &name)
{
    std::vector<scrape> result;
    std::istringstream stream(text);
    std::size_t number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        try {
            const auto body = nlohmann::json::parse(line);
            scrape each;
            each.at = std::chrono::milliseconds(body.at("atMs").get<std::int64_t>());
            for (const auto &daemon : body.at("daemons")) {
                daemon_scrape entry {daemon.at("process"), daemon.at("failureDomain"), std::nullopt};
                if (!daemon.at("metrics").is_null()) {
                    entry.samples = parseMetrics(daemon.at("metrics").get<std::string>());
                }
                each.daemons.push_back(std::move(entry));
            }
            result.push_back(std::move(each));
        } catch (const nlohmann::json::exception &fault) {
            throw error("read " + name, "", "line " + std::to_string(number) + ": " + fault.what());
        }
    }
    std::ranges::sort(result, {}, &scrape::at);
    return result;
}

} // namespace primrosecroft
