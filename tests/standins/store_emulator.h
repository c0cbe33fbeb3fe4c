#pragma once

#include "store/store.h"

#include <deque>
#include <map>

namespace primrosecroft
{

/// The platform's store: rows with versions from one counter, conditional transactions, feeds. Pure.
class store_emulator
{
public:
    /// Applies all of it or nothing. The outcome is `done` or `conflict`.
    commit_result commit(const store_transaction &transaction);

    range_result read(const row_range &range) const;

    /// Changes after a version, in order; history that was dropped is said to be gone.
    feed_result follow(const std::string &table, row_version after) const;

    /// A write by the operator or a worker, without condition.
    void put(const row_place &place, const std::string &value);
    void remove(const row_place &place);

    void dropHistory();

    row_version version() const;
    const std::map<row_place, store_row> &rows() const;

    std::chrono::milliseconds now {1'000}; ///< its steady clock

private:
    std::map<row_place, store_row> m_rows;
    std::deque<store_row> m_history;
    row_version m_historyFrom = 0; ///< changes after this version are still known
    row_version m_version = 0;
};

} // namespace primrosecroft
