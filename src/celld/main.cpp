#include "cell_daemon.h"
#include "core/error.h"
#include "platform/wire.h"

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    CLI::App program("Accepts callers' jobs and schedules them on the workers of a deployment.", "primrosecroft-celld");
    primrosecroft::cell_daemon_options options;
    if (const char *path = std::getenv(primrosecroft::platform::settingsVariable)) {
        options.settingsFile = path;
    }
    program.add_option("--settings", options.settingsFile,
                       std::string("Settings file. Default: the file named by ")
                           + primrosecroft::platform::settingsVariable + ".");
    program.add_option("--metrics-port", options.metricsPort, "Port that serves metrics. 0: metrics are not served.");
    bool isWithoutLearning = false;
    program.add_flag("--no-learned-durations", isWithoutLearning,
                     "Expect tasks to take the callers' estimates instead of learning from finished runs.");
    CLI11_PARSE(program, argc, argv);
    options.learnsDurations = !isWithoutLearning;
    try {
        return primrosecroft::cell_daemon(options).run();
    } catch (const primrosecroft::error &fault) {
        std::cerr << "primrosecroft-celld: " << fault.what() << '\n';
        return 1;
    }
}
