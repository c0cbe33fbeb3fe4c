#include "control_commands.h"

#include "core/error.h"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace primrosecroft;
    CLI::App app("Command line tool for the operators of primrosecroft.");
    app.require_subcommand(1);
    control_options options;
    std::string output = "text";
    app.add_option("--entry", options.entry, "address of an entry daemon, such as http://127.0.0.1:7400")
        ->envname("PRIMROSECROFT_ENTRY");
    app.add_option("--token-file", options.tokenFile, "file with the bearer token for administration")
        ->envname("PRIMROSECROFT_TOKEN_FILE");
    app.add_option("--operator", options.operatorName, "name of who changes the sheet, kept in its history")
        ->envname("PRIMROSECROFT_OPERATOR");
    app.add_option("--output", output, "output format: text for people, json for scripts")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    app.add_flag("--yes", options.isConfirmed, "confirm a command that is hard to undo");
    app.parse_complete_callback([&] { options.asJson = output == "json"; });
    int status = 0;
    addSheetCommands(app, options, status);
    addDemandCommands(app, options, status);
    addClusterCommands(app, options, status);
    addEstimateCommands(app, options, status);
    // Accepts the options also after the subcommand.
    app.fallthrough();
    for (auto *group : app.get_subcommands({})) {
        group->fallthrough();
        for (auto *command : group->get_subcommands({})) {
            command->fallthrough();
        }
    }
    try {
        app.parse(argc, argv);
        return status;
    } catch (const CLI::ParseError &fault) {
        return app.exit(fault) == 0 ? 0 : exitUsage;
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return exitFailed;
    } catch (const std::exception &fault) {
        std::cerr << "read answer: " << fault.what() << '\n';
        return exitFailed;
    }
}
