#pragma once

#include "core/process_limits.h"
#include "core/types.h"
#include "core/vm_capacity.h"
#include "io/peer_hub.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace primrosecroft
{

/// An IP address and a port.
using socket_address = peer_address;

/// Parses text such as `10.1.0.13:8161`. Throws error if @p text is not of that form.
socket_address parseSocketAddress(const std::string &text);

/// Settings that a cell daemon needs before it starts, in this project's terms instead of the platform's.
struct cell_daemon_settings
{
    process_id process;
    failure_domain_id failureDomain;
    std::string region;

    socket_address callers; ///< where this daemon listens for callers' requests
    socket_address readiness; ///< where it listens for the balancer's readiness checks
    peer_address peers; ///< where it listens for other daemons

    socket_address store;
    socket_address advice; ///< empty if no queue needs advice

    std::chrono::milliseconds maxLease {0}; ///< upper bound of the lease of a run on a worker
    std::chrono::milliseconds maxStopTime {0}; ///< for which a run holds its resources after an order to stop
    /// Within which a new configuration has to be in force at each daemon.
    std::chrono::milliseconds maxConfigurationDelay {0};
    /// By which a store that doesn't serve all daemons may extend that.
    std::chrono::milliseconds maxOutageDelay {0};
    std::chrono::milliseconds terminationGrace {0}; ///< between SIGTERM and SIGKILL to this daemon
    std::size_t maxRowBytes = 0; ///< the longest value of a row that the store takes
    vm_capacity capacity; ///< of the VM that this daemon runs on
    process_limits limits; ///< of this process on that VM
};

} // namespace primrosecroft
