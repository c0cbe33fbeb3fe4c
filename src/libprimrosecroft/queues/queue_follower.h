#pragma once

#include "io/timer.h"
#include "observability/decision_log.h"
#include "queues/queue_table.h"
#include "store/store.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Where the configuration lies, and how its text is read.
struct queue_source
{
    std::string table;
    std::string key;
    std::function<queue_table(const std::string &text)> decode; ///< throws error
};

/**
 * Keeps the configuration in force at this process: reads it once, then follows its table.
 * A version in force never gives way to an older one.
 */
class queue_follower
{
public:
    queue_follower(store &source, queue_source where, decision_log &log);

    /// Begins; @p applied is called with each new version in force.
    void start(std::function<void(const queue_table &)> applied);

    const std::optional<queue_table> &current() const;

    /// When the store last answered this process; what is in force was the newest then.
    instant confirmedAt() const;

private:
    void read();
    void follow();
    void apply(const store_row &row);
    void retry(void (queue_follower::*next)());

    store &m_store;
    queue_source m_source;
    decision_log &m_log;
    std::function<void(const queue_table &)> m_applied;
    std::optional<queue_table> m_current;
    row_version m_after = 0;
    instant m_confirmedAt;
    bool m_isStoreLost = false;
    timer m_retry;
};

} // namespace primrosecroft
