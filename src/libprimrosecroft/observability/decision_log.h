#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

/**
 * Log of decisions: one line on standard output for each decision that affects a request or changes the process's
 * state: `time component event key=value ...`, with the time in milliseconds since 1970. Each kind of event is
 * limited to a rate; the lines skipped for it are counted and reported as `skipped` in the next line of that kind.
 * Writing never blocks: if the reader of the output doesn't keep up, lines are dropped, counted, and reported as
 * `dropped` in the next line written.
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
    /// @p linesPerSecond is the rate limit of each kind of event. Lines are written to the file descriptor
    /// @p descriptor.
    explicit decision_log(double linesPerSecond = 40, int descriptor = 1);

    void write(std::string_view component, std::string_view event, std::initializer_list<log_field> fields);

    /// Writes without rate limit, for events that must not be skipped: start, stop, lost and regained dependencies.
    void writeAlways(std::string_view component, std::string_view event, std::initializer_list<log_field> fields);

    /// Returns the number of lines dropped so far.
    std::uint64_t droppedLines() const;

private:
    /// Token bucket of one kind of event.
    struct budget
    {
        double remaining = 0; ///< lines that may be written at once
        std::chrono::steady_clock::time_point refilledAt;
        std::uint64_t skipped = 0; ///< lines since the last one written
    };

    void writeLine(std::string_view component, std::string_view event, std::initializer_list<log_field> fields,
                   std::uint64_t skipped);

    double m_linesPerSecond;
    int m_descriptor;
    std::map<std::string, budget, std::less<>> m_budgets;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDrops = 0; ///< dropped lines that a written line has reported
};

} // namespace primrosecroft
