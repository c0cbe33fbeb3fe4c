#pragma once

#include "core/types.h"
#include "io/peer_hub.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace primrosecroft
{

/// An IP number with a port.
using socket_address = peer_address;

/// Parses `10.1.0.13:8161`. Throws error when @p text is not of that form.
socket_address parseSocketAddress(const std::string &text);

/// What the cell daemon needs to know before it starts, in the product's terms.
struct cell_daemon_settings
{
    process_id process;
    failure_domain_id failureDomain;
    std::string region;

    socket_address callers; ///< where callers' requests come in
    socket_address readiness; ///< where the balancer asks
    peer_address peers; ///< where other daemons connect

    socket_address store;
    socket_address advice; ///< empty where no queue needs advice

    std::chrono::milliseconds maxLease {0}; ///< of what runs on a worker
    std::chrono::milliseconds configurationApplyTimeout {0}; ///< a version has to be in force this long after its ack
    std::chrono::milliseconds terminationGrace {0}; ///< between SIGTERM and SIGKILL
    std::chrono::milliseconds statusRetention {0}; ///< ended jobs are shown at least so long
};

} // namespace primrosecroft
