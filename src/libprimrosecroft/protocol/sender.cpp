#include "protocol/sender.h"

#include "primrosecroft_types.h"

#include <random>

namespace primrosecroft
{

std::int64_t makeIncarnation()
{
    std::random_device random;
    return std::uniform_int_distribution<std::int64_t>(1)(random);
}

wire::Sender makeSender(const process_id &process, const std::string &role, const failure_domain_id &failureDomain,
                        std::int64_t incarnation)
{
    wire::Sender sender;
    sender.process = process;
    sender.role = role;
    sender.failureDomain = failureDomain;
    sender.incarnation = incarnation;
    return sender;
}

} // namespace primrosecroft
