#pragma once

#include "burn_objectives.h"
#include "burn_series.h"

#include <array>
#include <set>

/**
 * Burn rates of error budgets. An alert needs a long and a short window that both exceed the
 * same threshold (The Site Reliability Workbook, chapter 5, "Multiwindow, Multi-Burn-Rate
 * Alerts"). Missing scrapes are reported as such and never count as good.
 */
namespace primrosecroft
{

/// A window over which the burn rate is computed. A rate of 1 uses up the error budget exactly by the end of its
/// period.
struct alert_window
{
    const char *name;
    std::chrono::milliseconds length;
    double threshold; ///< burn rate above which the window contributes to an alert
};

/// The first two windows make the alert for a fast burn, the last two the one for a slow burn.
inline constexpr std::array<alert_window, 4> alertWindows {
    alert_window {"5min", std::chrono::minutes(5), 14.4}, alert_window {"1h", std::chrono::hours(1), 14.4},
    alert_window {"30min", std::chrono::minutes(30), 6.0}, alert_window {"6h", std::chrono::hours(6), 6.0}};

/// Events and burn rate of one window.
struct window_result
{
    double good = 0; ///< good events
    double total = 0; ///< all events
    std::optional<double> burn; ///< burn rate; std::nullopt without events
    std::chrono::milliseconds covered {0}; ///< the part of the window for which there are scrapes
};

enum class burn_state
{
    good,
    slowBurn,
    fastBurn,
    noEvents, ///< no window has events, and no daemon is missing
    unseen, ///< daemons are missing from the last scrape, and the others give no alert
};

/// Result for one objective in one failure domain, or in all of them together.
struct burn_row
{
    std::string objective;
    std::string failureDomain; ///< empty: all failure domains
    double target = 0;
    std::array<window_result, alertWindows.size()> windows;
    burn_state state = burn_state::noEvents;
    std::set<std::string> missing; ///< daemons without an answer in the last scrape
    std::set<std::string> gaps; ///< daemons without an answer in some scrape of the longest window
    std::set<std::string> resets; ///< daemons whose counters were reset within a window
};

struct burn_report
{
    std::chrono::milliseconds at {0}; ///< time of the last scrape, since the epoch
    std::vector<burn_row> rows;
};

/// Makes the report for the time of the last scrape of @p series. Returns a report without rows for an empty series.
burn_report makeBurnReport(const burn_settings &settings, const std::vector<scrape> &series);

std::string toString(burn_state state);

} // namespace primrosecroft
