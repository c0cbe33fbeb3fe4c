#pragma once

#include "core/types.h"
#include "executor_emulator.h"

#include <chrono>
#include <string>
#include <vector>

namespace primrosecroft::soak
{

using std::chrono::milliseconds;

struct domain_plan
{
    std::string name;
    std::string region;
};

struct daemon_plan
{
    std::size_t domain = 0;
    double cpuShare = 0.25; ///< of one core, as the settings tell it; nothing enforces it
    double linkMbps = 1'000;
};

/// What a soak emulates, and how much happens there.
struct soak_site
{
    std::string name;
    std::vector<domain_plan> domains;
    std::vector<daemon_plan> daemons;
    int workers = 0;
    int workersPerRack = 8;
    resources workerCapacity;
    executor_bounds bounds;
    int workerSides = 0; ///< addresses of each worker; daemons of domain D use side D modulo this number
    std::chrono::milliseconds contactTime {4'000};
    std::chrono::milliseconds warmUp {3'000}; ///< of traffic, before the first fault
    std::chrono::milliseconds faultTime {30'000}; ///< during which faults begin
    double quickJobs = 0; ///< a second
    double longJobs = 0; ///< a second, of two steps
    double services = 0; ///< a second
    int widest = 6; ///< most tasks of a step
};

/// Returns the site of that name: small, kjaer-plan or okalift-ops-grown. Throws error if there is none.
soak_site siteNamed(const std::string &name);

} // namespace primrosecroft::soak
