#include "burn_output.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace primrosecroft
{

namespace
{

void printNote(std::ostream &out, const char *what, const std::set<std::string> &processes)
{
    if (processes.empty()) {
        return;
    }
    out << "    " << what << ':';
    for (const auto &each : processes) {
        out << ' ' << each;
    }
    out << '\n';
}

std::string cellText(const window_result &window, const alert_window &definition)
{
    std::ostringstream out;
    if (window.burn) {
        out << std::fixed << std::setprecision(2) << *window.burn;
    } else {
        out << '-';
    }
    // A star marks a window that the series covers only in part.
    out << (window.covered < definition.length ? "*" : "");
    return out.str();
}

} // namespace

std::string toText(const burn_report &report)
{
    std::ostringstream out;
    out << std::left << std::setw(26) << "objective" << std::setw(14) << "domain" << std::setw(10) << "target";
    for (const auto &window : alertWindows) {
        out << std::right << std::setw(10) << window.name;
    }
    out << "  state\n";
    for (const auto &row : report.rows) {
        out << std::left << std::setw(26) << row.objective << std::setw(14)
            << (row.failureDomain.empty() ? "all" : row.failureDomain) << std::setw(10) << row.target;
        for (std::size_t index = 0; index < alertWindows.size(); ++index) {
            out << std::right << std::setw(10) << cellText(row.windows.at(index), alertWindows.at(index));
        }
        out << "  " << toString(row.state) << '\n';
        printNote(out, "missing now", row.missing);
        printNote(out, "was missing in the last 6h", row.gaps);
        printNote(out, "counters were reset", row.resets);
    }
    out << "A burn rate of 1 uses up the error budget exactly by the end of its period. "
           "*: the series covers only part of the window.\n";
    return out.str();
}

std::string toJson(const burn_report &report)
{
    auto rows = nlohmann::json::array();
    for (const auto &row : report.rows) {
        nlohmann::json windows;
        for (std::size_t index = 0; index < alertWindows.size(); ++index) {
            const auto &window = row.windows.at(index);
            windows[alertWindows.at(index).name] = {
                {"burn", window.burn ? nlohmann::json(*window.burn) : nlohmann::json()},
                {"good", window.good},
                {"total", window.total},
                {"coveredMs", window.covered.count()}};
        }
        rows.push_back({{"objective", row.objective},
                        {"failureDomain", row.failureDomain},
                        {"target", row.target},
                        {"state", toString(row.state)},
                        {"windows", windows},
                        {"missing", row.missing},
                        {"gaps", row.gaps},
                        {"resets", row.resets}});
    }
    return nlohmann::json {{"atMs", report.at.count()}, {"rows", rows}}.dump();
}

} // namespace primrosecroft
