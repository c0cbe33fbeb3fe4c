#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

/**
 * One line on standard output for each decision that touches a request or changes what the
 * process believes: `time component event key=value ...`. Each kind of event has a budget; what
 * goes over it is counted and told in the next line of its kind. Writing never blocks: when
 * the reader doesn't keep up, lines are dropped and counted too.
 */
namespace primrosecroft
{

struct log_field
{
    std::string_view key;
    std::string value;
};

class decision_log
{
public:
    /// @p linesPerSecond bounds each kind of event by itself.
    explicit decision_log(double linesPerSecond = 40, int descriptor = 1);

    void write(std::string_view component, std::string_view event, std::initializer_list<log_field> fields);

    /// For events that must not be lost among others of their kind: start, stop, lost and regained dependencies.
    void writeAlways(std::string_view component, std::string_view event, std::initializer_list<log_field> fields);

    std::uint64_t droppedLines() const;

private:
    struct budget
    {
        double remaining = 0;
        std::chrono::steady_clock::time_point refilledAt;
        std::uint64_t skipped = 0;
    };

    void writeLine(std::string_view component, std::string_view event, std::initializer_list<log_field> fields,
                   std::uint64_t skipped);

    double m_linesPerSecond;
    int m_descriptor;
    std::map<std::string, budget, std::less<>> m_budgets;
    std::uint64_t m_droppedLines = 0;
};

} // namespace primrosecroft
