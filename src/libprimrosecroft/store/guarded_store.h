#pragma once

#include "io/timer.h"
#include "store/object_store.h"
#include "store/store.h"
#include "store/store_breaker.h"

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

/// Result of reading one row: std::nullopt if the read failed, an empty inner optional if the row doesn't exist.
using row_result = std::optional<std::optional<store_row>>;

/// Result of reading a range: std::nullopt if one of its reads failed.
using rows_result = std::optional<std::vector<store_row>>;

/**
 * Access to the store through a circuit breaker. After a failed call, writes fail at once as refused, without
 * being sent, until a read has been answered, so that it can be reported immediately that nothing was written.
 * For recoveryPeriod after an outage, calls are limited to a rate and queued.
 */
class guarded_store
{
public:
    /// @p timeout applies to each call of the store.
    guarded_store(store &rows, object_store &objects, std::chrono::milliseconds timeout);

    /// Ends as store_outcome::refused at once while the store is unreachable or too many calls are queued.
    void commit(const store_transaction &transaction, const std::function<void(commit_result)> &done);

    void readRow(const row_place &place, std::function<void(row_result)> done);

    /// Reads all rows of the range, page by page.
    void readAll(const row_range &range, const std::function<void(rows_result)> &done);

    /// Stores an object. Calls @p done with true if it is stored.
    void putObject(const std::string &name, const std::string &bytes, const std::function<void(bool)> &done);

    /// Reads an object. Calls @p done with std::nullopt if the object doesn't exist or the read failed.
    void getObject(const std::string &name, const std::function<void(std::optional<std::string>)> &done);

    /// Sets the number of calls per second that this process sends for recoveryPeriod after an outage.
    void setRecoveryRate(double callsPerSecond);

    /// False from a failed call until the next answered one.
    bool isReachable() const;

private:
    struct queued_call
    {
        std::function<void()> send;
        std::function<void()> refuse;
    };

    void enqueue(queued_call call);
    void sendQueued();
    void readPage(const row_range &range, std::vector<store_row> gathered,
                  const std::function<void(rows_result)> &done);
    void probeOrEnqueue(queued_call call);
    void recordOutcome(store_outcome outcome);

    store &m_rows;
    object_store &m_objects;
    std::chrono::milliseconds m_timeout;
    store_breaker m_breaker;
    std::deque<queued_call> m_queue; ///< calls that wait for the rate limit
    timer m_budgetTimer;
};

} // namespace primrosecroft
