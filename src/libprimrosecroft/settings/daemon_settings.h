#pragma once

#include "core/types.h"

#include <string>

namespace primrosecroft
{

/// Settings of an entry daemon, from its own YAML file.
struct daemon_settings
{
    process_id process;
    failure_domain_id failureDomain;
    std::string region;

    std::string address; ///< an IP number
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;

    std::string platformAddress;
    std::uint16_t platformPort = 0;
    std::chrono::milliseconds platformTimeout {2'000};

    std::string bookingPool = "bookings"; ///< service name of the executors that bookings go to
    std::string taskPool = "tasks"; ///< service name of the workers that run demands

    std::chrono::milliseconds heartbeatInterval {2'000};
    std::chrono::milliseconds configurationInterval {2'000};
    std::chrono::milliseconds vmListInterval {5'000};

    std::chrono::milliseconds balancerPause {2'000}; ///< not ready, yet still serving
    std::chrono::milliseconds shutdownTimeout {30'000};

    std::chrono::milliseconds bookingDeadline {5'000}; ///< for requests that name none
    std::chrono::milliseconds acceptDeadline {5'000}; ///< for a demand to be committed

    /// File with the bearer token of the administration paths; empty when they are open or closed.
    std::string tokenFile;
    std::string administrationToken; ///< what the file holds
    bool isAdministrationOpen = false; ///< no token is asked for; only where the settings say so
};

/// Throws error naming file, line, column, key and what was expected, for each fault a line.
daemon_settings readDaemonSettings(const std::string &text, const std::string &file);

/// All settings as YAML, defaults included. Reading the text gives the same settings.
std::string toYaml(const daemon_settings &settings);

/// Reads the file, its settings and the token file. Throws error, also when one can't be read.
daemon_settings loadDaemonSettings(const std::string &path);

/// A whole file. Throws error when it can't be read.
std::string readFile(const std::string &path);

} // namespace primrosecroft
