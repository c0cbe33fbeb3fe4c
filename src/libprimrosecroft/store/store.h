#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/**
 * The platform's table service as the product uses it. Rows carry versions from one counter,
 * so that a write can name the version that it was made against.
 */
namespace primrosecroft
{

using row_version = std::int64_t;

struct row_place
{
    std::string table;
    std::string partition; ///< rows of one part can be written in one transaction
    std::string key;

    friend auto operator<=>(const row_place &, const row_place &) = default;
};

struct store_row
{
    row_place place;
    std::string value;
    row_version version = 0;
    bool isRemoved = false; ///< only in a feed: the row was removed
};

struct row_condition
{
    static constexpr row_version absent = 0;

    row_place place;
    row_version version = absent;
};

struct row_write
{
    row_place place;
    std::string value;
};

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
    refused, ///< the store says, or it is certain, that nothing was done
    lost, ///< a write may have taken effect, now or later
};

/// For logs.
const char *toString(store_outcome outcome);

struct commit_result
{
    store_outcome outcome = store_outcome::lost;
    row_version version = 0; ///< of all rows written, when done
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 without an answer
    std::vector<store_row> currentRows; ///< on conflict: the rows of the conditions, as they are
};

struct row_range
{
    std::string table;
    std::string partition;
    std::string from;
    std::string before; ///< excluded; empty for no end
    int limit = 500;
};

struct range_result
{
    store_outcome outcome = store_outcome::lost; ///< never conflict
    std::vector<store_row> rows;
    bool hasMore = false;
    row_version version = 0; ///< the store's newest one at that moment
    std::chrono::milliseconds storeTime {0};
};

struct feed_result
{
    store_outcome outcome = store_outcome::lost; ///< never conflict
    bool isHistoryTruncated = false; ///< the rows have to be read anew
    std::vector<store_row> rows;
    row_version version = 0; ///< where to go on
};

/// The range of just that row.
row_range rangeOf(const row_place &place);

/// What follows @p key in the order of keys.
std::string keyAfter(const std::string &key);

/// 0 when the row isn't among @p rows.
row_version versionOf(const std::vector<store_row> &rows, const row_place &place);

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

    /// Changes of a table after @p after; waits up to @p wait for the first one. The timeout counts on top.
    virtual void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds wait,
                             std::chrono::milliseconds timeout, std::function<void(feed_result)> done) = 0;
};

} // namespace primrosecroft
