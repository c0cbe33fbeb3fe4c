#include "queues/queue_follower.h"

#include "core/clock.h"
#include "core/error.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto readTimeout = 700ms;
/// How long a poll waits for a change. Limits how long it goes unnoticed that polls are no longer answered.
constexpr auto pollWait = 800ms;
constexpr auto pollTimeout = 500ms; ///< in addition to pollWait
constexpr auto retryDelay = 150ms;

} // namespace

queue_follower::queue_follower(store &source, queue_source where, decision_log &log)
    : m_store(source)
    , m_source(std::move(where))
    , m_log(log)
{
}

void queue_follower::start(std::function<void(const queue_table &)> applied)
{
    m_applied = std::move(applied);
    read();
}

const std::optional<queue_table> &queue_follower::current() const
{
    return m_current;
}

instant queue_follower::confirmedAt() const
{
    return m_confirmedAt;
}

void queue_follower::read()
{
    const auto sentAt = bootNow();
    const auto range = rangeOf({m_source.table, "", m_source.key});
    m_store.read(range, readTimeout, [this, sentAt](const range_result &result) {
        if (result.outcome != store_outcome::done) {
            retry(&queue_follower::read);
            return;
        }
        m_confirmedAt = sentAt;
        m_after = result.version;
        for (const auto &row : result.rows) {
            apply(row);
        }
        poll();
    });
}

void queue_follower::poll()
{
    const auto sentAt = bootNow();
    m_store.pollChanges(m_source.table, m_after, pollWait, pollTimeout, [this, sentAt](const feed_result &result) {
        if (result.outcome != store_outcome::done) {
            retry(&queue_follower::poll);
            return;
        }
        if (result.isHistoryTruncated) {
            m_log.write("queues", "history-gone", {{"after", std::to_string(m_after)}});
            read();
            return;
        }
        if (std::exchange(m_isStoreLost, false)) {
            m_log.writeAlways("queues", "store-regained", {});
        }
        m_confirmedAt = sentAt;
        m_after = std::max(m_after, result.version);
        for (const auto &row : result.rows) {
            apply(row);
        }
        poll();
    });
}

void queue_follower::apply(const store_row &row)
{
    if (row.place.key != m_source.key || row.isRemoved) {
        return;
    }
    try {
        auto table = m_source.decode(row.value);
        if (m_current && table.version <= m_current->version) {
            return;
        }
        m_current = std::move(table);
        m_log.writeAlways("queues", "in-force",
                          {{"version", std::to_string(m_current->version)},
                           {"routes", std::to_string(m_current->routes.size())},
                           {"row", std::to_string(row.version)}});
        m_applied(*m_current);
    } catch (const error &fault) {
        m_log.writeAlways("queues", "refused", {{"row", std::to_string(row.version)}, {"reason", fault.what()}});
    }
}

void queue_follower::retry(void (queue_follower::*next)())
{
    if (!std::exchange(m_isStoreLost, true)) {
        m_log.writeAlways("queues", "store-lost", {{"version", std::to_string(m_current ? m_current->version : 0)}});
    }
    m_retry.once(retryDelay, [this, next] { (this->*next)(); });
}

} // namespace primrosecroft
