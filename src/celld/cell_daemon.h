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
    std::uint16_t metricsPort = 0; ///< 0: metrics are not served
    bool learnsDurations = true; ///< false: tasks are expected to take the callers' estimates
};

/**
 * One cell daemon of a deployment. Each daemon serves callers' requests; one of them owns the
 * shard and schedules its jobs. The other daemons find the owner by its row in the store.
 */
class cell_daemon
{
public:
    /// Reads the settings file. Throws error if it can't be read or is invalid.
    explicit cell_daemon(const cell_daemon_options &options);
    ~cell_daemon();
    cell_daemon(const cell_daemon &) = delete;
    cell_daemon &operator=(const cell_daemon &) = delete;

    /// Serves until SIGTERM or SIGINT. Returns the exit status. Throws error if a listening address can't be bound.
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
