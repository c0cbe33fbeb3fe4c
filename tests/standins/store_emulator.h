#pragma once

#include "store/store.h"

#include <deque>
#include <map>

namespace primrosecroft
{

/// Emulates the platform's store in memory: versioned rows, conditional transactions and feeds of changes. All versions
/// come from one counter.
class store_emulator
{
public:
    /// Applies the whole transaction, or nothing if a condition doesn't hold. The outcome is `done` or `conflict`, or
    /// `refused` if the transaction is larger than the platform allows.
    commit_result commit(const store_transaction &transaction);

    range_result read(const row_range &range) const;

    /// Returns the changes of a table after a version, in order. The result is marked if some of them are no longer
    /// kept.
    feed_result follow(const std::string &table, row_version after) const;

    /// Writes a row without a condition, as an operator or a worker does.
    void put(const row_place &place, const std::string &value);
    void remove(const row_place &place);

    /// Drops all changes, so that a feed from an earlier version has to start again.
    void dropHistory();

    row_version version() const;
    const std::map<row_place, store_row> &rows() const;

    std::chrono::milliseconds now {1'000}; ///< the store's steady clock, advanced by the user

private:
    std::map<row_place, store_row> m_rows;
    std::deque<store_row> m_history;
    row_version m_historyStart = 0; ///< changes after this version are kept
    row_version m_version = 0;
};

} // namespace primrosecroft
