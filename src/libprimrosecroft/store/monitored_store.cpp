#include "store/monitored_store.h"

#include "core/clock.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr double newestWeight = 0.3; ///< weight of the newest commit in the smoothed commit time

} // namespace

monitored_store::monitored_store(store &target)
    : m_target(target)
{
}

void monitored_store::commit(const store_transaction &transaction, std::chrono::milliseconds timeout,
                             std::function<void(commit_result)> done)
{
    ++m_writes;
    m_target.commit(transaction, timeout, [this, sentAt = bootNow(), done = std::move(done)](commit_result result) {
        recordOutcome(result.outcome, result.storeTime, sentAt);
        if (result.outcome == store_outcome::done || result.outcome == store_outcome::conflict) {
            m_smoothedCommitTime +=
                (std::chrono::duration<double, std::milli>(bootNow() - sentAt) - m_smoothedCommitTime) * newestWeight;
        }
        done(std::move(result));
    });
}

void monitored_store::read(const row_range &range, std::chrono::milliseconds timeout,
                           std::function<void(range_result)> done)
{
    ++m_reads;
    m_target.read(range, timeout, [this, sentAt = bootNow(), done = std::move(done)](range_result result) {
        recordOutcome(result.outcome, result.storeTime, sentAt);
        if (result.outcome == store_outcome::done) {
            const auto took = std::max<std::chrono::milliseconds>(
                std::chrono::milliseconds(1),
                std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - sentAt));
            m_minRoundTrip = std::min(m_minRoundTrip.value_or(took), took);
        }
        done(std::move(result));
    });
}

void monitored_store::pollChanges(const std::string &table, row_version after, std::chrono::milliseconds wait,
                                  std::chrono::milliseconds timeout, std::function<void(feed_result)> done)
{
    ++m_reads;
    m_target.pollChanges(table, after, wait, timeout,
                         [this, sentAt = bootNow(), done = std::move(done)](feed_result result) {
                             recordOutcome(result.outcome, std::chrono::milliseconds(0), sentAt);
                             done(std::move(result));
                         });
}

void monitored_store::recordOutcome(store_outcome outcome, std::chrono::milliseconds storeTime, instant sentAt)
{
    if (outcome != store_outcome::done && outcome != store_outcome::conflict) {
        m_failingSince = m_failingSince.value_or(bootNow());
        return;
    }
    m_failingSince.reset();
    m_lastReachedAt = std::max(m_lastReachedAt, sentAt);
    if (storeTime.count() > 0) {
        m_sampledTime = storeTime;
        m_sampledAt = bootNow();
    }
}

std::chrono::milliseconds monitored_store::storeTime() const
{
    if (m_sampledTime.count() == 0) {
        return m_sampledTime;
    }
    return m_sampledTime + std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - m_sampledAt);
}

instant monitored_store::lastReachedAt() const
{
    return m_lastReachedAt;
}

std::optional<std::chrono::milliseconds> monitored_store::minRoundTrip() const
{
    return m_minRoundTrip;
}

std::optional<instant> monitored_store::failingSince() const
{
    return m_failingSince;
}

std::chrono::milliseconds monitored_store::smoothedCommitTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_smoothedCommitTime);
}

std::uint64_t monitored_store::writes() const
{
    return m_writes;
}

std::uint64_t monitored_store::reads() const
{
    return m_reads;
}

} // namespace primrosecroft
