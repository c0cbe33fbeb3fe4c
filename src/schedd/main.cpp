#include "scheduler_daemon.h"

int main(int argc, char **argv)
{
    using namespace primrosecroft;
    return runDaemon(argc, argv, "Places the demands of one failure domain.", [](const daemon_settings &settings) {
        scheduler_daemon daemon(settings);
        return daemon.run();
    });
}
