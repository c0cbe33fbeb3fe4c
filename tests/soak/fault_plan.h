#pragma once

#include "site.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The faults of a soak, drawn from its seed. Pure.
namespace primrosecroft::soak
{

enum class fault_kind
{
    pauseDaemons,
    killDaemons, ///< and start them again when the duration is over
    terminateDaemons, ///< SIGTERM, SIGKILL after the grace period, then a start when the duration is over
    restartWorkers, ///< they are down for the duration and come back under the same id
    freezeWorkers, ///< their requests wait until the end; their runs and clocks go on
    cutWorkers, ///< from one side or from all; they run on
    cutWorkersOff, ///< from all sides and from the store, so that their entries expire; they run on
    delayOrders, ///< of half of the requests: carried out seconds later and never answered
    loseOrderAnswers,
    turnDaemonsAway, ///< the store serves the others
    stopStore,
    slowStore,
    loseStoreAnswers, ///< of half of the transactions, which are carried out at once or seconds later
    dropStoreHistory,
};

/// What a request meets that isn't served.
enum class fault_manner
{
    unavailable, ///< 503
    busy, ///< 429
    reset,
    silent,
};

struct fault
{
    std::chrono::milliseconds at {0}; ///< since the start of the traffic
    std::chrono::milliseconds duration {0};
    fault_kind kind = fault_kind::pauseDaemons;
    std::vector<int> targets; ///< numbers of daemons or workers, from 0
    bool hitsOwner = false; ///< in place of the first target: the daemon that owns when the fault begins
    bool followsTask = false; ///< in place of the first target: the worker of the task it follows; none if that waits
    fault_manner manner = fault_manner::silent;
    std::optional<int> side; ///< of the workers that are cut; unset for all
    std::chrono::milliseconds entryDelay {0}; ///< from a worker's restart until its entry tells it
};

struct fault_plan
{
    std::vector<fault> faults; ///< by time
    std::chrono::milliseconds calmAt {0}; ///< when the last fault and what it entails are over
    bool forgetsUpToHighest = false; ///< see executor_bounds
};

inline constexpr std::chrono::milliseconds gracePeriod {6'000}; ///< between SIGTERM and SIGKILL

/// Draws the plan of a seed. The same seed and site give the same plan.
fault_plan planFaults(std::uint64_t seed, const soak_site &site);

std::string toString(fault_kind kind);

} // namespace primrosecroft::soak
