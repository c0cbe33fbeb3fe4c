#pragma once

#include "core/types.h"
#include "store/store.h"

#include <cstdint>
#include <optional>

namespace primrosecroft
{

/// Decorator that forwards calls to a store and records the store's clock, its latency and when it last answered.
class monitored_store : public store
{
public:
    explicit monitored_store(store &target);

    void commit(const store_transaction &transaction, std::chrono::milliseconds timeout,
                std::function<void(commit_result)> done) override;
    void read(const row_range &range, std::chrono::milliseconds timeout,
              std::function<void(range_result)> done) override;
    void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds wait,
                     std::chrono::milliseconds timeout, std::function<void(feed_result)> done) override;

    /// Returns the estimated current value of the store's steady clock; 0 before its first answer.
    std::chrono::milliseconds storeTime() const;

    /// Returns the time at which the last answered call was sent, or instant {} before the first one.
    instant lastReachedAt() const;

    /**
     * Returns the shortest duration of a read so far, or std::nullopt before the first one. The minimum reflects the
     * network distance to the store rather than its load.
     */
    std::optional<std::chrono::milliseconds> minRoundTrip() const;

    /// Returns the time of the first failure since the last answered call, or std::nullopt if there is none.
    std::optional<instant> failingSince() const;

    /// Returns the exponentially smoothed duration of recent commits; 0 before the first one.
    std::chrono::milliseconds smoothedCommitTime() const;

    /// Counts of the calls sent so far; reads include polls for changes.
    std::uint64_t writes() const;
    std::uint64_t reads() const;

private:
    void recordOutcome(store_outcome outcome, std::chrono::milliseconds storeTime, instant sentAt);

    store &m_target;
    std::chrono::milliseconds m_sampledTime {0}; ///< the store's clock in its last answer; 0 before the first one
    instant m_sampledAt; ///< when that answer arrived
    instant m_lastReachedAt;
    std::optional<instant> m_failingSince;
    std::optional<std::chrono::milliseconds> m_minRoundTrip;
    std::chrono::duration<double, std::milli> m_smoothedCommitTime {0};
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace primrosecroft
