#include "owner_session/cell_rows_reader.h"

#include "durations/duration_row.h"
#include "owner_session/store_timing.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

cell_rows_reader::cell_rows_reader(const runner_context &context)
    : m_context(context)
{
}

void cell_rows_reader::load(std::function<void(row_version version)> done)
{
    // One read covers all rows that are needed: the commit sequence has the smallest key of them, the contacted
    // workers the largest.
    m_context.rows.read(
        {cellTable, shardPartition, commitSequencePlace().key, keyAfter(contactedWorkersPlace().key), 10}, readTimeout,
        m_context.guard.wrap([this, done = std::move(done)](const range_result &result) {
            if (result.outcome != store_outcome::done) {
                m_retryTimer.once(readRetryDelay, [this, done] { load(done); });
                return;
            }
            m_context.state.commitSequence = versionOf(result.rows, commitSequencePlace());
            m_context.state.acceptanceBar = versionOf(result.rows, acceptanceBarPlace());
            applyDurations(result.rows);
            applyContactedWorkers(result.rows);
            applyRules(result.rows);
            done(result.version);
        }));
}

/// A row that can't be read is left aside, since the durations can be learned anew.
void cell_rows_reader::applyDurations(const std::vector<store_row> &rows)
{
    const auto row = std::ranges::find(rows, durationsPlace(), &store_row::place);
    if (row == rows.end() || !m_context.state.settings.learnsDurations) {
        return;
    }
    try {
        m_context.state.durations = decodeDurations(row->value);
    } catch (const error &fault) {
        logUnreadable(*row, fault);
    }
}

void cell_rows_reader::applyContactedWorkers(const std::vector<store_row> &rows)
{
    auto &state = m_context.state;
    const auto row = std::ranges::find(rows, contactedWorkersPlace(), &store_row::place);
    if (row == rows.end()) {
        return;
    }
    try {
        state.contactedWorkers = decodeContactedWorkers(row->value);
        state.unreconciledWorkers = state.contactedWorkers;
    } catch (const error &fault) {
        state.areContactedWorkersUnknown = true;
        logUnreadable(*row, fault);
    }
}

void cell_rows_reader::logUnreadable(const store_row &row, const error &fault)
{
    m_context.log.writeAlways(
        "cell", "row-unreadable",
        {{"key", row.place.key}, {"version", std::to_string(row.version)}, {"reason", fault.what()}});
}

void cell_rows_reader::readRules(std::function<void(bool isRead)> done)
{
    const auto place = rulesPlace();
    m_context.rows.read(rangeOf(place), readTimeout,
                        m_context.guard.wrap([this, done = std::move(done)](const range_result &result) {
                            const bool isRead = result.outcome == store_outcome::done;
                            if (isRead) {
                                applyRules(result.rows);
                            }
                            done(isRead);
                        }));
}

void cell_rows_reader::applyRules(const std::vector<store_row> &rows)
{
    const auto row = std::ranges::find(rows, rulesPlace(), &store_row::place);
    if (row == rows.end() || row->version <= m_rulesVersion) {
        return; // no rules, or an answer that newer rules have overtaken
    }
    try {
        const auto rules = decodeRules(row->value);
        m_context.log.write(
            "cell", "rules",
            {{"version", std::to_string(row->version)}, {"drained", std::to_string(rules.drained.size())}});
        m_rulesVersion = row->version;
        m_context.apply(rules_updated {rules});
    } catch (const error &fault) {
        logUnreadable(*row, fault);
    }
}

void cell_rows_reader::stop()
{
    m_retryTimer.stop();
}

} // namespace primrosecroft
