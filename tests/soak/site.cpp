#include "site.h"

#include "core/error.h"

#include <array>
#include <ranges>

namespace primrosecroft::soak
{

namespace
{

using namespace std::chrono_literals;

void addDaemons(soak_site &site, std::size_t domain, int count)
{
    for (int i = 0; i < count; ++i) {
        site.daemons.push_back({domain});
    }
}

soak_site kjaer()
{
    soak_site site;
    site.name = "kjaer-plan";
    site.domains = {{"aarhus-a", "jylland"}, {"vejle-b", "jylland"}, {"koege-a", "sjaelland"}};
    addDaemons(site, 0, 3);
    addDaemons(site, 1, 2);
    addDaemons(site, 2, 3);
    site.workers = 48;
    site.workerCapacity = {32'000, 64'000, 0};
    site.bounds = {6'000ms, 400ms, 3'000ms, false};
    site.workerSides = 3;
    site.quickJobs = 6;
    site.longJobs = 1;
    site.services = 0.13;
    return site;
}

soak_site small()
{
    auto site = kjaer();
    site.name = "small";
    site.daemons = {{0}, {0}, {1}, {2}};
    site.workers = 12;
    site.workersPerRack = 4;
    site.warmUp = 1'500ms;
    site.faultTime = 8'000ms;
    site.quickJobs = 4;
    site.longJobs = 0.7;
    site.services = 0.3;
    return site;
}

soak_site okalift()
{
    // Of each failure domain's daemons, so many have the processor share and the link of this row.
    struct kind
    {
        int count;
        double cpuShare;
        double linkMbps;
    };
    static constexpr std::array kinds {kind {2, 0.12, 10}, kind {2, 0.25, 200}, kind {1, 0.5, 50}, kind {1, 0.5, 200}};
    soak_site site;
    site.name = "okalift-ops-grown";
    for (const auto *name : {"khomas-a", "khomas-b", "khomas-c", "erongo-a", "erongo-b", "erongo-c"}) {
        site.domains.push_back({name, std::string(name).substr(0, 6)});
    }
    for (std::size_t domain = 0; domain < site.domains.size(); ++domain) {
        for (const auto &each : kinds) {
            for (int i = 0; i < each.count; ++i) {
                site.daemons.push_back({domain, each.cpuShare, each.linkMbps});
            }
        }
        if (domain % 2 == 0) {
            site.daemons.push_back({domain, 0.12, 20});
        }
    }
    site.workers = 350;
    site.workersPerRack = 20;
    site.workerCapacity = {16'000, 32'000, 0};
    site.bounds = {10'000ms, 400ms, 4'000ms, false};
    site.workerSides = 2;
    site.contactTime = 5'000ms;
    site.faultTime = 40'000ms;
    site.quickJobs = 10;
    site.longJobs = 2;
    site.services = 0.22;
    site.widest = 10;
    return site;
}

} // namespace

soak_site siteNamed(const std::string &name)
{
    for (auto site : {small(), kjaer(), okalift()}) {
        if (site.name == name) {
            return site;
        }
    }
    throw error("read options", name, "expected small, kjaer-plan or okalift-ops-grown");
}

} // namespace primrosecroft::soak
