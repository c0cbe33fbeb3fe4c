#pragma once

#include "configuration/configuration_follower.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/peer_hub.h"
#include "membership/membership.h"
#include "observability/metrics.h"
#include "platform/platform_client.h"
#include "settings/daemon_settings.h"

#include <functional>
#include <string>

namespace primrosecroft
{

/// What is special to one kind of daemon.
struct daemon_role
{
    std::string name; ///< entryd or schedd

    /// Requests on paths that not every daemon has.
    http_handler request;

    /// Messages that not every daemon understands.
    peer_hub::message_handler message;

    std::function<void(const planning_sheet &sheet)> sheetApplied;
    std::function<void()> membershipChanged;

    /// Each heartbeat; none when the role needs only changes.
    std::function<void(const peer_record &peer)> peerHeard;

    /// The balancer's pause is over: finish what is in flight.
    std::function<void()> drain;

    /// True when nothing is in flight any more.
    std::function<bool()> isDrained;

    /// What a forced end would cut off, for the log.
    std::function<std::string()> unfinished;

    /// True when this scheduler places; entry daemons never do.
    std::function<bool()> isPlacing;

    /// Fields of /v1/status beyond the common ones, as a JSON object.
    std::function<std::string()> status;
};

/**
 * What both daemons share: the main loop, configuration, membership, the common
 * paths and the orderly shutdown.
 */
class daemon
{
public:
    daemon(daemon_settings settings, daemon_role role);
    ~daemon();
    daemon(const daemon &) = delete;
    daemon &operator=(const daemon &) = delete;

    /// Serves until it is told to end. Returns the exit status.
    int run();

    const daemon_settings &settings() const;
    http_client &http();
    platform_client &platform();
    peer_hub &peers();
    metrics &measures();
    configuration_follower &configuration();
    const membership_state &membership() const;
    std::int64_t incarnation() const;
    bool isLeaving() const;

    /// Peer addresses of the schedulers of @p domain, placing ones first.
    std::vector<peer_address> schedulersOf(const failure_domain_id &domain) const;

    /// Peer addresses of all other daemons.
    std::vector<peer_address> otherDaemons() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

/// Sets up logging to standard error for a program of this project.
void startLogging(const char *program);

/**
 * Reads the command line of a daemon and runs it. Returns the exit status: 0 after an
 * orderly end, 1 for bad settings or an address in use, 3 when work was cut off.
 */
int runDaemon(int argumentCount, char **arguments, const std::string &description,
              const std::function<int(const daemon_settings &)> &serve);

} // namespace primrosecroft
