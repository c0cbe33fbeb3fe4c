#pragma once

#include "configuration/configuration_step.h"
#include "configuration/sheet.h"
#include "io/timer.h"
#include "store/guarded_store.h"

#include <functional>
#include <optional>

namespace primrosecroft
{

/**
 * Keeps the highest version of the configuration that this process has seen, from
 * the table or from a peer, and hands each new sheet on.
 */
class configuration_follower
{
public:
    using applied_handler = std::function<void(const planning_sheet &sheet)>;

    configuration_follower(guarded_store &rows, applied_handler applied);

    void start(std::chrono::milliseconds interval);

    /// Asks the table at once, after a notice.
    void refresh();

    /// A peer's version; it goes into force only above the own one.
    void offer(const configuration_version &offered);

    /// A peer's heartbeat named its version.
    void recordPeerVersion(std::int64_t version);

    /// Whether this daemon fetches bodies across the link before its peers do.
    void setFetchesFirst(bool first);

    /// Highest version in force here, none before the first.
    const std::optional<configuration_version> &current() const;

    /// False while a version may be in force that this daemon hasn't learned.
    bool isKnown() const;

private:
    void handle(const configuration_message &message);
    void fetch(const configuration_row &row);
    void apply();

    guarded_store &m_store;
    applied_handler m_applied;
    configuration_state m_state;
    planning_sheet m_offered; ///< read from the body that is being offered
    timer m_timer;
    timer m_ticker;
    bool m_reading = false;
};

} // namespace primrosecroft
