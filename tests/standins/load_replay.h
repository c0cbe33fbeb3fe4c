#pragma once

#include "owned_cell.h"
#include "owner_session/admission_control.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/**
 * Replays a drawn load through the owner's core, admission and calls for advice in virtual time, and tells how its
 * callers were served. What is drawn depends on the seed and the load alone, so that two replays differ only in what
 * the core makes of the same jobs.
 */
namespace primrosecroft
{

/// Jobs of one kind, which arrive at random times. Sizes are drawn around the means.
struct load_kind
{
    std::string name;
    std::string pool;
    double jobsPerSecond = 0;
    std::int32_t priority = 0;
    double steps = 1; ///< mean number of steps in a row
    double width = 1; ///< mean number of tasks of a step
    double widthSpread = 0; ///< of the width's logarithm
    resources size; ///< of a task, but for its accelerators
    std::vector<std::int64_t> accelerators {0}; ///< one of them is drawn for each job
    std::chrono::milliseconds work {0}; ///< mean time of a task on a worker of usual speed
    double workSpread = 0; ///< of the logarithm of a step's work
    double estimateError = 0; ///< a step's estimate is off by up to this share of its work
    bool isGang = false;
    double slowdownFactor = 1; ///< as in queue_policy
    std::chrono::milliseconds target {0};
    advice_policy advice;
    double allowedShare = 1; ///< of the workers that the advice service allows for a step
};

/// Workers of one size.
struct load_workers
{
    std::string pool;
    int count = 0;
    resources capacity;
    double slowness = 1; ///< time that work takes there
};

/// For this time arrivals come at a multiple of their rates.
struct load_phase
{
    std::chrono::milliseconds length {0};
    double factor = 1;
    std::string kind; ///< that the factor applies to; empty for all
};

struct load_pattern
{
    std::vector<load_kind> kinds;
    std::vector<load_workers> workers;
    std::vector<load_phase> phases;
    int adviceRoutes = 1; ///< the advice service serves one call at a time on each
};

/// Where the core gets durations from.
enum class duration_source
{
    estimates,
    learned,
    truth, ///< the estimates are exact
};

/// What became of the jobs of one kind.
struct load_result
{
    int sent = 0;
    int inTime = 0; ///< ended within the objective, by the true durations
    int late = 0; ///< ended within maxObjectives times that
    int failed = 0;
    int turnedAway = 0; ///< after as many tries as callers make
    int adviceCalls = 0;
    double adviceSeconds = 0; ///< time that the advice service took for them
    int steps = 0; ///< of the jobs sent
    int turnedAwayWithRoom = 0; ///< refusals while as many cores as the job's first step asks for were free
};

/// How the workers of a pool were used while tasks waited.
struct pool_result
{
    double offered = 0; ///< core-seconds of the workers
    double used = 0; ///< of these, those that runs held
    double idle = 0; ///< those that waiting tasks would have taken if all workers were allowed for them
};

struct load_results
{
    std::map<std::string, load_result> kinds; ///< by name
    std::map<std::string, pool_result> pools; ///< by name
};

/// Returns the share of a kind's worth that its callers got: late jobs count a fifth.
double shareServed(const load_result &result);

load_results replayLoad(const load_pattern &load, duration_source source, std::uint32_t seed);

} // namespace primrosecroft
