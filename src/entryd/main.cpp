#include "core/error.h"
#include "entry_daemon.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace primrosecroft;
    CLI::App app("The daemon of one entry VM: serves bookings, demands and planning sheets over HTTP.");
    std::string path;
    bool checkOnly = false;
    bool printOnly = false;
    app.add_option("settings", path, "YAML file with this process's settings")->required();
    app.add_flag("--check-settings", checkOnly, "check the settings and exit");
    app.add_flag("--print-settings", printOnly, "print all settings, including defaults, and exit");
    CLI11_PARSE(app, argc, argv);
    try {
        const auto settings = loadEntryDaemonSettings(path);
        if (printOnly) {
            std::cout << toYaml(settings);
            return 0;
        }
        if (checkOnly) {
            std::cout << path << ": good\n";
            return 0;
        }
        FLAGS_logtostderr = true;
        google::InitGoogleLogging(argv[0]);
        return entry_daemon(settings).run();
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}
