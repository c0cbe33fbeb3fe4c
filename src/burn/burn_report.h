#pragma once

#include "burn_objectives.h"
#include "burn_series.h"

#include <array>
#include <set>

/**
 * How fast error budgets burn. Alerts need a long and a short window over the same
 * threshold (The Site Reliability Workbook, chapter 5, "Multiwindow, Multi-Burn-Rate
 * Alerts"). What was not seen is told as such and never counts as good.
 */
namespace primrosecroft
{

/// Burn 1 spends the budget just within its period.
struct alert_window
{
    const char *name;
    std::chrono::milliseconds length;
    double threshold;
};

/// Fast 5 min and 1 h, slow 30 min and 6 h.
inline constexpr std::array<alert_window, 4> alertWindows {
    alert_window {"5min", std::chrono::minutes(5), 14.4}, alert_window {"1h", std::chrono::hours(1), 14.4},
    alert_window {"30min", std::chrono::minutes(30), 6.0}, alert_window {"6h", std::chrono::hours(6), 6.0}};

struct window_result
{
    double good = 0;
    double total = 0;
    std::optional<double> burn; ///< none without events
    std::chrono::milliseconds covered {0}; ///< how much of the window the series holds
};

enum class burn_state
{
    good,
    slowBurn,
    fastBurn,
    noEvents, ///< nothing happened that could be judged
    unseen, ///< daemons are missing, and what was seen is no alert
};

/// One objective in one failure domain, or in all of them.
struct burn_row
{
    std::string objective;
    std::string failureDomain; ///< empty for all
    double target = 0;
    std::array<window_result, alertWindows.size()> windows;
    burn_state state = burn_state::noEvents;
    std::set<std::string> missing; ///< daemons without an answer in the last scrape
    std::set<std::string> gaps; ///< daemons without an answer in some scrape of the longest window
    std::set<std::string> resets; ///< daemons whose counters began anew there
};

struct burn_report
{
    std::chrono::milliseconds at {0};
    std::vector<burn_row> rows;
};

/// The report at the last scrape of @p series.
burn_report makeBurnReport(const burn_settings &settings, const std::vector<scrape> &series);

std::string toString(burn_state state);

} // namespace primrosecroft
