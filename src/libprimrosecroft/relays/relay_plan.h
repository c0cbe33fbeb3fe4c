#pragma once

#include "core/types.h"
#include "core/vm_capacity.h"

#include <map>
#include <string>
#include <vector>

/**
 * Decides which processes carry the owner's orders to the workers. The calls of a large cell fill the processor or the
 * link of one VM, so the owner hands its orders in batches to relays in the workers' failure domains. A cell that the
 * owner's VM can carry has no relays.
 */
namespace primrosecroft
{

/// A process that can carry orders.
struct relay_candidate
{
    process_id process;
    failure_domain_id failureDomain;
    vm_capacity capacity;
};

struct relay_plan
{
    /// The relays of the workers in each failure domain. Empty if the owner sends its orders itself.
    std::map<failure_domain_id, std::vector<process_id>> relays;

    friend bool operator==(const relay_plan &, const relay_plan &) = default;
};

/// Number of workers in each failure domain.
using worker_counts = std::map<failure_domain_id, std::size_t>;

/// Number of workers whose orders a process on such a VM can carry beside its other work.
std::size_t carriedWorkers(const vm_capacity &capacity);

/// The relays that the owner on a VM of capacity @p owner needs. A failure domain without a candidate gets relays from
/// the other ones. The relays of the plan @p before stay where they are candidates and no much stronger one is, since
/// each change makes workers' connections anew.
relay_plan planRelays(const vm_capacity &owner, const worker_counts &workers,
                      const std::vector<relay_candidate> &candidates, const relay_plan &before = {});

/// Returns the relay for a worker, or an empty name if the owner sends the worker's orders itself. When a relay leaves
/// the plan, only its own workers get another one.
process_id relayFor(const relay_plan &plan, const worker_id &worker, const failure_domain_id &failureDomain);

} // namespace primrosecroft
