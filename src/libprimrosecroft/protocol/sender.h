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

/// A name for one life of a process. Random: no clock decides which of two came first.
std::int64_t makeIncarnation();

/// What a process says of itself in each of its messages. @p role is its program's short name.
wire::Sender makeSender(const process_id &process, const std::string &role, const failure_domain_id &failureDomain,
                        std::int64_t incarnation);

} // namespace primrosecroft
