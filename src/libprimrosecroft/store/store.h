#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/**
 * Interface to the platform's table service. Row versions come from one counter of the whole store,
 * so that a write can be made conditional on the version that it is based on.
 */
namespace primrosecroft
{

using row_version = std::int64_t;

/// Where a row is stored: its table, its partition and its key within the partition.
struct row_place
{
    std::string table;
    /// Rows of the same partition can be written in one transaction. Tables without a division have the one partition
    /// with the empty name.
    std::string partition;
    std::string key;

    friend auto operator<=>(const row_place &, const row_place &) = default;
};

struct store_row
{
    row_place place;
    std::string value;
    row_version version = 0;
    bool isRemoved = false; ///< the row was deleted; set only in a feed_result
};

/// Condition of a transaction: the row at this place has exactly this version.
struct row_condition
{
    static constexpr row_version absent = 0; ///< the row must not exist

    row_place place;
    row_version version = absent;
};

struct row_write
{
    row_place place;
    std::string value;
};

/// Writes and removals that take effect together, and only if all conditions hold.
struct store_transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_place> removals;
};

enum class store_outcome
{
    done,
    conflict, ///< a condition didn't hold; nothing was written
    refused, ///< certain not to have been carried out
    lost, ///< outcome unknown: a write may have taken effect, or may still do so later
};

/// Name of the outcome, for logs.
const char *toString(store_outcome outcome);

struct commit_result
{
    store_outcome outcome = store_outcome::lost;
    row_version version = 0; ///< version of all rows written; set if the outcome is `done`
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 without an answer
    std::vector<store_row> currentRows; ///< on conflict: the rows that the conditions name, in their current state
};

/// Keys of one partition from `from` up to, but not including, `before`.
struct row_range
{
    std::string table;
    std::string partition;
    std::string from; ///< empty: from the first key on
    std::string before; ///< empty: up to the last key
    int limit = 500; ///< maximum number of rows in one answer

    /// The answer may be large for the link. The read's timeout is then the time in which nothing of it arrives, so
    /// that an answer over a full link isn't given up and read again for ever.
    bool isLarge = false;
};

/// One page of a range.
struct range_result
{
    store_outcome outcome = store_outcome::lost; ///< never conflict
    std::vector<store_row> rows;
    bool hasMore = false; ///< the range holds further rows after these
    row_version version = 0; ///< the store's newest version at the time of the read
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 without an answer
};

/// Changes of a table since a version.
struct feed_result
{
    store_outcome outcome = store_outcome::lost; ///< never conflict
    bool isHistoryTruncated = false; ///< the store no longer has all changes asked for: read the whole table again
    std::vector<store_row> rows;
    row_version version = 0; ///< version after which the next poll continues
};

/// Returns a range that holds only the row at @p place.
row_range rangeOf(const row_place &place);

/// Returns the key that directly follows @p key in the order of keys.
std::string keyAfter(const std::string &key);

/// Returns the version of the row at @p place, or row_condition::absent if @p rows doesn't hold it.
row_version versionOf(const std::vector<store_row> &rows, const row_place &place);

/// Asynchronous calls of the table service.
class store
{
public:
    store() = default;
    virtual ~store() = default;
    store(const store &) = delete;
    store &operator=(const store &) = delete;

    virtual void commit(const store_transaction &transaction, std::chrono::milliseconds timeout,
                        std::function<void(commit_result)> done) = 0;
    virtual void read(const row_range &range, std::chrono::milliseconds timeout,
                      std::function<void(range_result)> done) = 0;

    /**
     * Long poll for changes of a table after the version @p after. The store answers at the first change, at the
     * latest after @p wait; the call fails after @p wait plus @p timeout in which nothing of the answer arrived.
     */
    virtual void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds wait,
                             std::chrono::milliseconds timeout, std::function<void(feed_result)> done) = 0;
};

} // namespace primrosecroft
