#include "burn_output.h"
#include "burn_picture.h"
#include "core/error.h"
#include "core/read_file.h"
#include "io/http_client.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <fstream>
#include <glib.h>
#include <iostream>
#include <thread>

namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;

constexpr auto scrapeTimeout = 2s;
constexpr int exitFailed = 1;
constexpr int exitBurning = 3; ///< there is an alert, for a fast or a slow burn
constexpr int exitUnseen = 4; ///< no alert, but daemons are missing from the last scrape

/// Scrapes all daemons at the same time and returns the line for the series. A daemon whose whole answer doesn't arrive
/// in time counts as not answering.
std::string scrapeAll(const burn_settings &settings)
{
    http_client http;
    std::vector<std::optional<std::string>> texts(settings.daemons.size());
    std::vector<daemon_scrape> daemons;
    std::size_t pendingCalls = settings.daemons.size();
    for (std::size_t index = 0; index < settings.daemons.size(); ++index) {
        const auto &daemon = settings.daemons[index];
        daemons.push_back({daemon.process, daemon.failureDomain, std::nullopt});
        http.call({"GET", daemon.url + "/metrics", {}, {}, {}, scrapeTimeout, false},
                  [&texts, &pendingCalls, index](const http_outcome &outcome) {
                      --pendingCalls;
                      const auto *answer = std::get_if<http_response>(&outcome);
                      if (answer != nullptr && answer->status == statusOk) {
                          texts[index] = answer->body;
                      }
                  });
    }
    while (pendingCalls > 0) {
        g_main_context_iteration(nullptr, TRUE);
    }
    const auto at =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    return toLine(at, daemons, texts);
}

void appendScrapes(const burn_settings &settings, const std::string &path, int scrapeCount,
                   std::chrono::seconds interval)
{
    for (int round = 0; round < scrapeCount; ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(interval);
        }
        std::ofstream file(path, std::ios::app);
        file << scrapeAll(settings) << '\n';
        if (!file.flush()) {
            throw error("save series", "", "can't write " + path);
        }
    }
}

int exitStatusOf(const burn_report &report)
{
    const auto any = [&report](burn_state state) {
        return std::ranges::any_of(report.rows, [state](const burn_row &row) { return row.state == state; });
    };
    if (any(burn_state::fastBurn) || any(burn_state::slowBurn)) {
        return exitBurning;
    }
    return any(burn_state::unseen) ? exitUnseen : 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Reports the burn rates of the objectives' error budgets.");
    std::string settingsPath;
    std::string seriesPath;
    std::string picture;
    std::string output = "text";
    int scrapes = 0;
    int interval = 30;
    app.add_option("settings", settingsPath, "YAML file with daemons and objectives")->required();
    app.add_option("--series", seriesPath, "file with the saved scrapes")->required();
    app.add_option("--scrape", scrapes, "first scrape all daemons this many times and append the results to the series")
        ->check(CLI::Range(0, 100'000));
    app.add_option("--every", interval, "seconds between two scrapes")
        ->check(CLI::Range(1, 3600))
        ->capture_default_str();
    app.add_option("--picture", picture, "also draw the report into this .png or .svg file");
    app.add_option("--output", output)->check(CLI::IsMember({"text", "json"}))->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    try {
        const auto settings = readBurnSettings(readFile(settingsPath), settingsPath);
        appendScrapes(settings, seriesPath, scrapes, std::chrono::seconds(interval));
        const auto series = readSeries(readFile(seriesPath), seriesPath);
        if (series.empty()) {
            throw error("read " + seriesPath, "", "the file contains no scrapes");
        }
        const auto report = makeBurnReport(settings, series);
        std::cout << (output == "json" ? toJson(report) + '\n' : toText(report));
        if (!picture.empty()) {
            drawPicture(report, picture);
        }
        return exitStatusOf(report);
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return exitFailed;
    }
}
