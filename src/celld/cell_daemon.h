#pragma once

#include "settings/cell_daemon_settings.h"

#include <cstdint>
#include <memory>
#include <string>

namespace primrosecroft
{

struct cell_daemon_options
{
    std::string settingsFile;
    std::uint16_t metricsPort = 0; ///< 0 for none
};

/**
 * One daemon of a deployment. Each takes callers' requests; one of them owns the shard and
 * schedules. The daemons find one another through the ownership row.
 */
class cell_daemon
{
public:
    explicit cell_daemon(const cell_daemon_options &options);
    ~cell_daemon();
    cell_daemon(const cell_daemon &) = delete;
    cell_daemon &operator=(const cell_daemon &) = delete;

    /// Serves until a signal ends it. Returns the exit status.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
