#include "store/watched_store.h"

#include "core/clock.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr double newestWeight = 0.3; ///< of the newest commit in the smoothed time

} // namespace

watched_store::watched_store(store &target)
    : m_target(target)
{
}

void watched_store::commit(const store_transaction &transaction, std::chrono::milliseconds timeout,
                           std::function<void(commit_result)> done)
{
    ++m_writes;
    m_target.commit(transaction, timeout, [this, sentAt = bootNow(), done = std::move(done)](commit_result result) {
        note(result.outcome, result.storeTime, sentAt);
        if (result.outcome == store_outcome::done || result.outcome == store_outcome::conflict) {
            m_commitTime +=
                (std::chrono::duration<double, std::milli>(bootNow() - sentAt) - m_commitTime) * newestWeight;
        }
        done(std::move(result));
    });
}

void watched_store::read(const row_range &range, std::chrono::milliseconds timeout,
                         std::function<void(range_result)> done)
{
    ++m_reads;
    m_target.read(range, timeout, [this, sentAt = bootNow(), done = std::move(done)](range_result result) {
        note(result.outcome, result.storeTime, sentAt);
        if (result.outcome == store_outcome::done) {
            const auto took = std::max<std::chrono::milliseconds>(
                std::chrono::milliseconds(1),
                std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - sentAt));
            m_distance = m_distance.count() == 0 ? took : std::min(m_distance, took);
        }
        done(std::move(result));
    });
}

void watched_store::follow(const std::string &table, row_version after, std::chrono::milliseconds wait,
                           std::chrono::milliseconds timeout, std::function<void(feed_result)> done)
{
    ++m_reads;
    m_target.follow(table, after, wait, timeout,
                    [this, sentAt = bootNow(), done = std::move(done)](feed_result result) {
                        note(result.outcome, std::chrono::milliseconds(0), sentAt);
                        done(std::move(result));
                    });
}

void watched_store::note(store_outcome outcome, std::chrono::milliseconds storeTime, instant sentAt)
{
    if (outcome != store_outcome::done && outcome != store_outcome::conflict) {
        m_failsSince = m_failsSince.value_or(bootNow());
        return;
    }
    m_failsSince.reset();
    m_reachedAt = std::max(m_reachedAt, sentAt);
    if (storeTime.count() > 0) {
        m_sampledTime = storeTime;
        m_sampledAt = bootNow();
    }
}

std::chrono::milliseconds watched_store::storeTime() const
{
    if (m_sampledTime.count() == 0) {
        return m_sampledTime;
    }
    return m_sampledTime + std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - m_sampledAt);
}

instant watched_store::reachedAt() const
{
    return m_reachedAt;
}

std::chrono::milliseconds watched_store::distance() const
{
    return m_distance;
}

std::optional<instant> watched_store::failsSince() const
{
    return m_failsSince;
}

std::chrono::milliseconds watched_store::commitTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_commitTime);
}

std::uint64_t watched_store::writes() const
{
    return m_writes;
}

std::uint64_t watched_store::reads() const
{
    return m_reads;
}

} // namespace primrosecroft
