#pragma once

#include "core/types.h"

#include <string>

namespace primrosecroft
{

/// Settings of an entry daemon, from its own YAML file.
struct entry_daemon_settings
{
    process_id process;
    failure_domain_id failureDomain;
    std::string region;

    std::string address; ///< an IP address
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;

    std::string platformAddress;
    std::uint16_t platformPort = 0;
    std::chrono::milliseconds platformTimeout {2'000}; ///< of each call of the platform's store

    std::string bookingPool = "bookings"; ///< service name of the executors that bookings go to
    std::string taskPool = "tasks"; ///< service name of the workers that run demands

    std::chrono::milliseconds heartbeatInterval {2'000};
    std::chrono::milliseconds configurationInterval {2'000}; ///< between reads of the configuration's version
    std::chrono::milliseconds vmListInterval {5'000}; ///< between reads of the VM list

    /// How long the daemon still serves requests after the shutdown signal, while it reports that it isn't ready.
    std::chrono::milliseconds balancerPause {2'000};
    std::chrono::milliseconds shutdownTimeout {30'000}; ///< after the pause, for requests in flight

    std::chrono::milliseconds bookingDeadline {5'000}; ///< default for requests without a deadline
    std::chrono::milliseconds acceptDeadline {5'000}; ///< from a demand's arrival; no retry starts later

    /// File with the bearer token of the administration paths. Empty if they need no token, or are closed to everybody.
    std::string tokenFile;
    std::string administrationToken; ///< content of the file, without a final newline; empty if there is no file
    bool isAdministrationOpen = false; ///< no token is needed; only if the settings open it explicitly
};

/// Parses the settings. Throws error with one line for each fault, which names file, line, column, key and what was
/// expected. @p file is the file's name in errors.
entry_daemon_settings readEntryDaemonSettings(const std::string &text, const std::string &file);

/// Prints all settings as YAML, defaults included. Parsing the text gives the same settings.
std::string toYaml(const entry_daemon_settings &settings);

/// Reads and parses the settings file, and reads the token file. Throws error if one of them can't be read or is
/// invalid.
entry_daemon_settings loadEntryDaemonSettings(const std::string &path);

} // namespace primrosecroft
