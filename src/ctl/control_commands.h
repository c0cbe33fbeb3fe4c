#pragma once

#include <string>

namespace CLI
{
class App;
}

namespace primrosecroft
{

inline constexpr int exitFailed = 1; ///< bad input, or nobody could be reached
inline constexpr int exitRefused = 4; ///< it was not done
inline constexpr int exitConflict = 5; ///< another version is in force
inline constexpr int exitUnknown = 6; ///< it may have been done

struct control_options
{
    std::string entry;
};

/// Each adds its subcommands; what they did shows in @p status.
void addSheetCommands(CLI::App &app, control_options &options, int &status);
void addDemandCommands(CLI::App &app, control_options &options, int &status);
void addStatusCommand(CLI::App &app, control_options &options, int &status);

} // namespace primrosecroft
