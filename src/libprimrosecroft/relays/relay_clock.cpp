#include "relays/relay_clock.h"

namespace primrosecroft
{

namespace
{

/// Clocks of two machines drift apart by less than this share.
constexpr std::int64_t driftDivisor = 1'000;

} // namespace

void noteUptime(relay_clock &clock, std::int64_t incarnation, std::chrono::milliseconds uptime, instant now)
{
    if (clock.incarnation != incarnation || uptime >= leastUptime(clock, now)) {
        clock = {incarnation, uptime, now};
    }
}

std::chrono::milliseconds leastUptime(const relay_clock &clock, instant now)
{
    const auto since = now - clock.learnedAt;
    return std::chrono::floor<std::chrono::milliseconds>(clock.uptime + since - since / driftDivisor);
}

} // namespace primrosecroft
