#include "observability/decision_log.h"

#include "core/clock.h"
#include "observability/log_text.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace primrosecroft
{

namespace
{

constexpr double burstSeconds = 2; ///< a budget holds at most the lines of this time

bool isWritable(int descriptor)
{
    pollfd wanted {descriptor, POLLOUT, 0};
    return poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

} // namespace

decision_log::decision_log(double linesPerSecond, int descriptor)
    : m_linesPerSecond(linesPerSecond)
    , m_descriptor(descriptor)
{
}

void decision_log::write(std::string_view component, std::string_view event, std::initializer_list<log_field> fields)
{
    auto found = m_budgets.find(event);
    const auto now = std::chrono::steady_clock::now();
    if (found == m_budgets.end()) {
        found = m_budgets.emplace(event, budget {m_linesPerSecond * burstSeconds, now, 0}).first;
    }
    auto &eventBudget = found->second;
    eventBudget.remaining = std::min(
        m_linesPerSecond * burstSeconds,
        eventBudget.remaining + std::chrono::duration<double>(now - eventBudget.refilledAt).count() * m_linesPerSecond);
    eventBudget.refilledAt = now;
    if (eventBudget.remaining < 1) {
        ++eventBudget.skipped;
        return;
    }
    eventBudget.remaining -= 1;
    writeLine(component, event, fields, eventBudget.skipped);
    eventBudget.skipped = 0;
}

void decision_log::writeAlways(std::string_view component, std::string_view event,
                               std::initializer_list<log_field> fields)
{
    writeLine(component, event, fields, 0);
}

void decision_log::writeLine(std::string_view component, std::string_view event,
                             std::initializer_list<log_field> fields, std::uint64_t skipped)
{
    if (!isWritable(m_descriptor)) {
        ++m_droppedLines;
        return;
    }
    std::string line = std::to_string(timeOfDay().count());
    line.append(" ").append(component).append(" ").append(event);
    for (const auto &field : fields) {
        const auto text = logText(field.value);
        const bool isQuoted = text.find(' ') != std::string::npos;
        line.append(" ").append(field.key).append(isQuoted ? "=\"" : "=").append(text).append(isQuoted ? "\"" : "");
    }
    if (skipped > 0) {
        line.append(" skipped=").append(std::to_string(skipped));
    }
    const auto unreported = m_droppedLines - m_reportedDrops;
    if (unreported > 0) {
        line.append(" dropped=").append(std::to_string(unreported));
    }
    line.append("\n");
    // A pipe takes a write of up to PIPE_BUF bytes either whole or not at all (POSIX), and it was writable above.
    if (::write(m_descriptor, line.data(), line.size()) < 0) {
        ++m_droppedLines;
        return;
    }
    m_reportedDrops += unreported;
}

std::uint64_t decision_log::droppedLines() const
{
    return m_droppedLines;
}

} // namespace primrosecroft
