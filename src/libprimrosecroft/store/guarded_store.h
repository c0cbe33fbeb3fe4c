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

/// Empty when the read failed; an empty row when there is none.
using row_result = std::optional<std::optional<store_row>>;

/// Empty when a read failed.
using rows_result = std::optional<std::vector<store_row>>;

/**
 * The store behind a circuit breaker, for callers that are to be told at once that nothing
 * was done: after a failure no write is sent until a read has been answered. For a while
 * after the store's return, calls are spread over time.
 */
class guarded_store
{
public:
    /// @p timeout is that of each call.
    guarded_store(store &rows, object_store &objects, std::chrono::milliseconds timeout);

    /// Refused at once while the store is out of reach.
    void commit(const store_transaction &transaction, const std::function<void(commit_result)> &done);

    void readRow(const row_place &place, std::function<void(row_result)> done);

    /// All rows of the range, page by page.
    void readAll(const row_range &range, const std::function<void(rows_result)> &done);

    void putObject(const std::string &name, const std::string &bytes, const std::function<void(bool)> &done);
    void getObject(const std::string &name, const std::function<void(std::optional<std::string>)> &done);

    /// Calls a second of this process in the time after the store's return.
    void setRecoveryRate(double callsPerSecond);

    /// False from a failure until the next success.
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
    std::deque<queued_call> m_queue; ///< for the budget
    timer m_budgetTimer;
};

} // namespace primrosecroft
