#pragma once

#include "demands/demand.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

/**
 * Seeded demands of published shape: run times and sizes are heavy tailed (log-normal
 * and bounded Pareto), most jobs have few tasks, and services, batch runs and gangs
 * of two priorities come side by side.
 */
namespace primrosecroft::bench
{

struct workload_shape
{
    double services = 0.2; ///< share of demands
    double gangs = 0.05; ///< share of demands
    double urgent = 0.1; ///< share of demands
    double accelerated = 0; ///< share of tasks that need accelerators
    std::int32_t mostTasks = 40;
};

inline double paretoBetween(std::mt19937_64 &random, double low, double high, double alpha)
{
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto ratio = std::pow(low / high, alpha);
    return low / std::pow(1 - uniform(random) * (1 - ratio), 1 / alpha);
}

inline demand_spec drawDemand(std::mt19937_64 &random, const workload_shape &shape)
{
    constexpr double sizeAlpha = 1.1;
    constexpr double taskAlpha = 1.5;
    constexpr double mostMilliCores = 8'000;
    constexpr double leastMilliCores = 250;
    constexpr double mibPerMilliCore = 2.0;
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> runTime(std::log(60'000.0), 1.5);
    std::lognormal_distribution<double> memoryRatio(0, 0.5);
    demand_spec spec;
    const auto kind = uniform(random);
    spec.kind = kind < shape.services         ? demand_kind::service
        : kind < shape.services + shape.gangs ? demand_kind::gang
                                              : demand_kind::batch;
    spec.priority = uniform(random) < shape.urgent ? demand_priority::urgent : demand_priority::normal;
    spec.tasks = static_cast<std::int32_t>(paretoBetween(random, 1, shape.mostTasks, taskAlpha));
    if (spec.kind == demand_kind::gang) {
        spec.tasks = std::max(spec.tasks, 2);
    }
    const auto milliCores = paretoBetween(random, leastMilliCores, mostMilliCores, sizeAlpha);
    // Sizes are declared in round numbers.
    spec.size.milliCores = static_cast<std::int64_t>(std::ceil(milliCores / leastMilliCores) * leastMilliCores);
    const auto memory = static_cast<double>(spec.size.milliCores) * mibPerMilliCore * memoryRatio(random);
    spec.size.memoryMib = static_cast<std::int64_t>(std::clamp(std::ceil(memory / 256) * 256, 256.0, 32'768.0));
    if (uniform(random) < shape.accelerated) {
        spec.size.accelerators = uniform(random) < 0.7 ? 1 : 2;
    }
    spec.declaredRunTime = std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(runTime(random), 1e3, 6e6)));
    return spec;
}

} // namespace primrosecroft::bench
