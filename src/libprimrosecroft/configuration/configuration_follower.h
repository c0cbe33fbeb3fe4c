#pragma once

#include "configuration/configuration.h"
#include "configuration/sheet.h"
#include "io/timer.h"
#include "platform/platform_client.h"

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

    configuration_follower(platform_client &platform, applied_handler applied);

    void start(std::chrono::milliseconds interval);

    /// Asks the table at once, after a notice.
    void refresh();

    /// A peer's version; it goes into force only above the own one.
    void offer(const configuration_version &offered);

    /// Highest version in force here, none before the first.
    const std::optional<configuration_version> &current() const;

private:
    void rowRead(const row_result &result);
    void apply(const configuration_version &offered);

    platform_client &m_platform;
    applied_handler m_applied;
    std::optional<configuration_version> m_current;
    timer m_timer;
    bool m_reading = false;
};

} // namespace primrosecroft
