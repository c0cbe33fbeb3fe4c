#include "store_emulator.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxHistoryRows = 20'000;
constexpr std::size_t maxEntries = 100; ///< conditions, writes and removals of one transaction
constexpr std::size_t maxBytes = 1'000'000; ///< of the names and encoded values of one transaction

std::size_t sizeOf(const row_place &place)
{
    return place.table.size() + place.partition.size() + place.key.size();
}

/// Returns whether the platform takes a transaction of this size in one call.
bool isWithinLimits(const store_transaction &transaction)
{
    std::size_t bytes = 0;
    for (const auto &condition : transaction.conditions) {
        bytes += sizeOf(condition.place);
    }
    for (const auto &write : transaction.writes) {
        bytes += sizeOf(write.place) + write.value.size() * 4 / 3; // values are sent as text
    }
    for (const auto &place : transaction.removals) {
        bytes += sizeOf(place);
    }
    const auto entries = transaction.conditions.size() + transaction.writes.size() + transaction.removals.size();
    return entries <= maxEntries && bytes <= maxBytes;
}

} // namespace

commit_result store_emulator::commit(const store_transaction &transaction)
{
    commit_result result;
    result.storeTime = now;
    if (!isWithinLimits(transaction)) {
        result.outcome = store_outcome::refused;
        return result;
    }
    const bool isApplicable = std::ranges::all_of(transaction.conditions, [this](const row_condition &condition) {
        const auto found = m_rows.find(condition.place);
        return (found == m_rows.end() ? row_condition::absent : found->second.version) == condition.version;
    });
    if (!isApplicable) {
        result.outcome = store_outcome::conflict;
        result.version = m_version;
        for (const auto &condition : transaction.conditions) {
            const auto found = m_rows.find(condition.place);
            result.currentRows.push_back(found == m_rows.end() ? store_row {condition.place, "", 0, false}
                                                               : found->second);
        }
        return result;
    }
    ++m_version;
    const auto addToHistory = [this](const store_row &row) {
        m_history.push_back(row);
        if (m_history.size() > maxHistoryRows) {
            m_historyStart = m_history.front().version;
            m_history.pop_front();
        }
    };
    for (const auto &write : transaction.writes) {
        m_rows[write.place] = {write.place, write.value, m_version, false};
        addToHistory(m_rows[write.place]);
    }
    for (const auto &place : transaction.removals) {
        if (m_rows.erase(place) > 0) {
            addToHistory({place, "", m_version, true});
        }
    }
    result.outcome = store_outcome::done;
    result.version = m_version;
    return result;
}

range_result store_emulator::read(const row_range &range) const
{
    range_result result;
    result.outcome = store_outcome::done;
    result.version = m_version;
    result.storeTime = now;
    const auto first = m_rows.lower_bound({range.table, range.partition, range.from});
    for (const auto &[place, row] : std::ranges::subrange(first, m_rows.end())) {
        const bool isInRange = place.table == range.table && place.partition == range.partition
            && (range.before.empty() || place.key < range.before);
        if (!isInRange) {
            break;
        }
        if (static_cast<int>(result.rows.size()) >= range.limit) {
            result.hasMore = true;
            break;
        }
        result.rows.push_back(row);
    }
    return result;
}

feed_result store_emulator::follow(const std::string &table, row_version after) const
{
    feed_result result;
    result.outcome = store_outcome::done;
    result.version = m_version;
    if (after < m_historyStart) {
        result.isHistoryTruncated = true;
        return result;
    }
    const auto first = std::ranges::upper_bound(m_history, after, {}, &store_row::version);
    std::ranges::copy_if(std::ranges::subrange(first, m_history.end()), std::back_inserter(result.rows),
                         [&](const store_row &row) { return row.place.table == table; });
    return result;
}

void store_emulator::put(const row_place &place, const std::string &value)
{
    commit({{}, {{place, value}}, {}});
}

void store_emulator::remove(const row_place &place)
{
    commit({{}, {}, {place}});
}

void store_emulator::dropHistory()
{
    m_history.clear();
    m_historyStart = m_version;
}

row_version store_emulator::version() const
{
    return m_version;
}

const std::map<row_place, store_row> &store_emulator::rows() const
{
    return m_rows;
}

} // namespace primrosecroft
