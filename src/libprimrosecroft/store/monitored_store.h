#pragma once

#include "core/types.h"
#include "store/store.h"

#include <cstdint>
#include <optional>

namespace primrosecroft
{

/// Passes calls on and keeps what their answers tell of the store: its clock, and when it was last reached.
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

    /// The store's steady clock now, as far as known; 0 before its first answer.
    std::chrono::milliseconds storeTime() const;

    /// When the last call that was answered well was sent.
    instant lastReachedAt() const;

    /// The shortest read so far, there and back: how far the store is, whatever its pace. 0 before the first.
    std::chrono::milliseconds minRoundTrip() const;

    /// When calls began to fail; none after one that was answered.
    std::optional<instant> failingSince() const;

    /// How long commits have taken lately, smoothed.
    std::chrono::milliseconds smoothedCommitTime() const;

    std::uint64_t writes() const;
    std::uint64_t reads() const;

private:
    void recordOutcome(store_outcome outcome, std::chrono::milliseconds storeTime, instant sentAt);

    store &m_target;
    std::chrono::milliseconds m_sampledTime {0};
    instant m_sampledAt;
    instant m_lastReachedAt;
    std::optional<instant> m_failingSince;
    std::chrono::milliseconds m_minRoundTrip {0};
    std::chrono::duration<double, std::milli> m_smoothedCommitTime {0};
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace primrosecroft
