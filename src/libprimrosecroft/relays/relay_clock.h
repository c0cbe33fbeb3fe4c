#pragma once

#include "core/types.h"

#include <cstdint>

/**
 * The time of an order on its relay's clock. Clocks of two machines have nothing in common, so a relay counts the time
 * since its own start, which it tells the owner again and again. The owner derives from it when an order was made, in
 * the relay's time, and the relay how old the order is. So an order that has waited for too long on its way, or in a
 * process that stood still, isn't sent.
 */
namespace primrosecroft
{

/// One run of a process.
struct process_run
{
    std::int64_t incarnation = 0;
    instant startedAt;
};

/// What the owner knows of a relay's run.
struct relay_clock
{
    std::int64_t incarnation = 0; ///< of the run; 0 if none is known
    std::chrono::milliseconds uptime {0}; ///< at learnedAt the run had lasted for so long, or longer
    instant learnedAt;
};

/// Takes in that the run @p incarnation of the relay, of which a message arrived at @p now, had lasted for @p uptime or
/// longer by then. Messages that were on their way for longer than others tell less, so they are ignored.
void noteUptime(relay_clock &clock, std::int64_t incarnation, std::chrono::milliseconds uptime, instant now);

/// Returns for how long the relay's run has lasted at @p now at the least.
std::chrono::milliseconds leastUptime(const relay_clock &clock, instant now);

} // namespace primrosecroft
