#include "entry_daemon.h"

int main(int argc, char **argv)
{
    using namespace primrosecroft;
    return runDaemon(argc, argv, "Serves callers and operators on one entry VM.", [](const daemon_settings &settings) {
        entry_daemon daemon(settings);
        return daemon.run();
    });
}
