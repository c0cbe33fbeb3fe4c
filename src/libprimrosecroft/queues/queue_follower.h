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

/// Place of the configuration in the store, and its decoder.
struct queue_source
{
    std::string table;
    std::string key;
    std::function<queue_table(const std::string &text)> decode; ///< throws error if the text is invalid
};

/**
 * Keeps this process's copy of the configuration up to date: reads it once and then polls its
 * table for changes. A version that is in force is never replaced by an older or invalid one.
 */
class queue_follower
{
public:
    queue_follower(store &source, queue_source where, decision_log &log);

    /// Starts reading. @p applied is called with each new version when it comes into force.
    void start(std::function<void(const queue_table &)> applied);

    /// The version in force. Returns std::nullopt before the first valid version.
    const std::optional<queue_table> &current() const;

    /// When the last call was sent that the store answered. The version in force was the newest one at that moment.
    instant confirmedAt() const;

private:
    void read();
    void poll();
    void apply(const store_row &row);
    void retry(void (queue_follower::*next)());

    store &m_store;
    queue_source m_source;
    decision_log &m_log;
    std::function<void(const queue_table &)> m_applied;
    std::optional<queue_table> m_current;
    row_version m_after = 0; ///< changes up to this version have been read
    instant m_confirmedAt;
    bool m_isStoreLost = false;
    timer m_retry;
};

} // namespace primrosecroft
