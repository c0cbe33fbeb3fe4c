#pragma once

#include "core/types.h"

#include <cstdint>
#include <string>

namespace primrosecroft
{

namespace wire
{
class Sender;
}

/**
 * Returns a random identifier for one run of a process. It distinguishes two runs of the same process, but doesn't
 * order them, since clocks aren't reliable for that.
 */
std::int64_t makeIncarnation();

/// Returns the sender that a process puts into each of its messages. @p role is the short name of its program.
wire::Sender makeSender(const process_id &process, const std::string &role, const failure_domain_id &failureDomain,
                        std::int64_t incarnation);

} // namespace primrosecroft
