#pragma once

#include <string>

namespace CLI
{
class App;
}

namespace primrosecroft
{

inline constexpr int exitFailed = 1; ///< bad input, or nobody could be reached
inline constexpr int exitUsage = 2; ///< the command line can't be understood
inline constexpr int exitRefused = 4; ///< it was not done
inline constexpr int exitConflict = 5; ///< another version is in force
inline constexpr int exitUnknown = 6; ///< it may have been done
inline constexpr int exitNotConfirmed = 7; ///< nothing was done; it needs --yes

struct control_options
{
    std::string entry;
    std::string tokenFile;
    std::string operatorName;
    bool asJson = false;
    bool isConfirmed = false;
};

/// Each adds its subcommands; what they did shows in @p status.
void addSheetCommands(CLI::App &app, control_options &options, int &status);
void addDemandCommands(CLI::App &app, control_options &options, int &status);

/// Workers, upstreams, versions of the configuration, and the status.
void addClusterCommands(CLI::App &app, control_options &options, int &status);

} // namespace primrosecroft
