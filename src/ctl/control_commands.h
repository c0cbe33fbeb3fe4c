#pragma once

#include <string>

namespace CLI
{
class App;
}

namespace primrosecroft
{

inline constexpr int exitFailed = 1; ///< bad input, or the entry daemon can't be reached
inline constexpr int exitUsage = 2; ///< the command line can't be parsed
inline constexpr int exitRefused = 4; ///< the command was not carried out
inline constexpr int exitConflict = 5; ///< another version is in force
inline constexpr int exitUnknown = 6; ///< the command may have been carried out
inline constexpr int exitNotConfirmed = 7; ///< the command was not carried out, since it needs --yes

struct control_options
{
    std::string entry;
    std::string tokenFile;
    std::string operatorName;
    bool asJson = false;
    bool isConfirmed = false;
};

/// Each of these functions adds subcommands to @p app. A subcommand that has run stores its exit status in @p status.
void addSheetCommands(CLI::App &app, control_options &options, int &status);
void addDemandCommands(CLI::App &app, control_options &options, int &status);

/// Adds the subcommands for workers, upstreams, versions of the configuration and the status.
void addClusterCommands(CLI::App &app, control_options &options, int &status);

} // namespace primrosecroft
