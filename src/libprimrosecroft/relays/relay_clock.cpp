#include "relays/relay_clock.h"

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

/// The earliest start that messages of this time tell counts: their delays differ. Over a longer time the clocks of two
/// machines may drift apart by more than the owner's patience with a relay.
constexpr auto maxAge = 5s;

} // namespace

void noteUptime(relay_clock &clock, std::int64_t incarnation, std::chrono::milliseconds uptime, instant now)
{
    const auto startedBy = now - uptime;
    const bool isCurrent = clock.incarnation == incarnation && clock.learnedAt + maxAge > now;
    if (!isCurrent || startedBy <= clock.startedBy) {
        clock = {incarnation, startedBy, now};
    }
}

std::chrono::milliseconds leastUptime(const relay_clock &clock, instant now)
{
    return std::chrono::floor<std::chrono::milliseconds>(now - clock.startedBy);
}

} // namespace primrosecroft
