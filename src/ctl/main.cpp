#include "control_commands.h"

#include "core/error.h"

#include <CLI/CLI.hpp>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace primrosecroft;
    CLI::App app("Operators' command line of primrosecroft.");
    app.require_subcommand(1);
    control_options options;
    app.add_option("--entry", options.entry, "address of an entry daemon, such as http://127.0.0.1:7400")
        ->envname("PRIMROSECROFT_ENTRY")
        ->required();
    int status = 0;
    addSheetCommands(app, options, status);
    addDemandCommands(app, options, status);
    addStatusCommand(app, options, status);
    try {
        app.parse(argc, argv);
        return status;
    } catch (const CLI::ParseError &fault) {
        return app.exit(fault);
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return exitFailed;
    }
}
