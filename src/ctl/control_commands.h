#pragma once

#include <string>

namespace CLI
{
class App;
}

namespace primrosecroft
{

inline constexpr int exitFailed = 1; ///< bad input, or no usable answer from the entry daemon
inline constexpr int exitUsage = 2; ///< the command line can't be parsed
inline constexpr int exitRefused = 4; ///< the command was not carried out
inline constexpr int exitConflict = 5; ///< another version is in force, or the key belongs to another demand
inline constexpr int exitUnknown = 6; ///< the command may have been carried out
inline constexpr int exitNotConfirmed = 7; ///< the command was not carried out, since it needs --yes

struct control_options
{
    std::string entry; ///< URL of an entry daemon
    std::string tokenFile; ///< file with the bearer token; empty to send none
    std::string operatorName; ///< for the sheet's history; empty to send none
    bool asJson = false; ///< prints JSON instead of text
    bool isConfirmed = false; ///< true if --yes was given
};

/// Each of these functions adds subcommands to @p app. A subcommand that has run stores its exit status in @p status.
void addSheetCommands(CLI::App &app, control_options &options, int &status);
void addDemandCommands(CLI::App &app, control_options &options, int &status);

/// Adds the subcommands for workers, upstreams, versions of the configuration and the status.
void addClusterCommands(CLI::App &app, control_options &options, int &status);

/// Adds the subcommand for what a cell daemon has learned of durations.
void addEstimateCommands(CLI::App &app, control_options &options, int &status);

} // namespace primrosecroft
