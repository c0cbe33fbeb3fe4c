#pragma once

#include "fault_plan.h"
#include "io/http_client.h"
#include "waiting_calls.h"

#include <string>
#include <sys/types.h>
#include <utility>
#include <vector>

namespace primrosecroft::soak
{

/// The cell daemons of a soak: real processes, and the signals that disturb them.
class daemons
{
public:
    struct parts
    {
        const soak_site &site;
        std::string network;
        std::string program; ///< the daemon's program
        std::string folder; ///< for settings and logs
        standins::waiting_calls &calls;
    };

    explicit daemons(parts environment);
    ~daemons();
    daemons(const daemons &) = delete;
    daemons &operator=(const daemons &) = delete;

    void startAll();

    /// Begins a fault of @p numbers.
    void begin(const fault &what, const std::vector<int> &numbers);

    /// Notices processes that have ended, and starts them again when that is due.
    void supervise();

    /// Asks each daemon whether it is ready, as the platform does each second.
    void pollReadiness(http_client &client);

    /// Returns the daemons to which new connections go.
    std::vector<int> inRotation() const;
    bool areAllReady() const;

    /// Tells whether the process ran without a disturbance in all of that time.
    bool ranCalmly(int number, instant from, instant until) const;

    std::string callersAddress(int number) const;
    std::string nameOf(int number) const;

    /// Returns what is known of processes that ended by themselves.
    const std::vector<std::string> &unexpectedEnds() const;

private:
    struct daemon_process
    {
        pid_t pid = 0; ///< 0 while it doesn't run
        bool isToEnd = false; ///< a fault has told it to
        instant startAt; ///< of the next start
        instant disturbedUntil;
        std::vector<std::pair<instant, instant>> disturbances;
        int misses = 2; ///< of the readiness poll, in a row
    };

    void start(int number);
    void disturb(daemon_process &what, instant until);
    void sendLater(milliseconds delay, int number, int signal);
    std::string writeSettings(int number) const;
    daemon_process &at(int number);

    parts m_parts;
    std::vector<daemon_process> m_processes;
    std::vector<std::string> m_unexpected;
};

} // namespace primrosecroft::soak
