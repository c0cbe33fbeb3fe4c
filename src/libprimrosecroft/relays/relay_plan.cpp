#include "relays/relay_plan.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <ranges>
#include <tuple>

namespace primrosecroft
{

namespace
{

constexpr std::int64_t milliCoresPerTenWorkers = 25; ///< that a process needs for the calls to ten workers
constexpr std::size_t minRelays = 2; ///< for a failure domain, so that the loss of one doesn't stop all its orders

/// Differs for each pair, so that each relay comes first for its share of the workers or failure domains.
std::size_t rankOf(const process_id &relay, const std::string &served)
{
    return std::hash<std::string> {}(relay + '/' + served);
}

/// The strongest of @p candidates, as many as carry @p workers; those in @p before first.
std::vector<process_id> chooseRelays(std::vector<relay_candidate> candidates, std::size_t workers,
                                     const failure_domain_id &domain, const std::vector<process_id> &before)
{
    if (candidates.empty()) {
        return {};
    }
    const auto carried = [](const relay_candidate &each) { return carriedMilliCores(each.capacity); };
    const auto strongest = std::ranges::max_element(candidates, {}, carried)->capacity;
    std::erase_if(candidates, [&](const auto &each) { return isMuchWeaker(each.capacity, strongest); });
    // The rank spreads the failure domains without own candidates over all others.
    const auto order = [&](const relay_candidate &each) {
        const bool isNew = std::ranges::find(before, each.process) == before.end();
        return std::tuple(isNew, -carried(each), rankOf(each.process, domain));
    };
    std::ranges::sort(candidates, {}, order);
    const auto carriedByEach = std::max<std::size_t>(1, carriedWorkers(strongest));
    const auto needed = std::max(minRelays, (workers + carriedByEach - 1) / carriedByEach);
    std::vector<process_id> result;
    std::ranges::transform(candidates | std::views::take(needed), std::back_inserter(result),
                           &relay_candidate::process);
    return result;
}

} // namespace

std::size_t carriedWorkers(const vm_capacity &capacity)
{
    return static_cast<std::size_t>(carriedMilliCores(capacity) * 10 / milliCoresPerTenWorkers);
}

relay_plan planRelays(const vm_capacity &owner, const worker_counts &workers,
                      const std::vector<relay_candidate> &candidates, const relay_plan &before)
{
    const auto total = std::accumulate(workers.begin(), workers.end(), std::size_t {0},
                                       [](std::size_t sum, const auto &each) { return sum + each.second; });
    relay_plan plan;
    if (total <= carriedWorkers(owner) || candidates.empty()) {
        return plan;
    }
    for (const auto &[domain, count] : workers) {
        std::vector<relay_candidate> local;
        std::ranges::copy_if(candidates, std::back_inserter(local),
                             [&](const auto &each) { return each.failureDomain == domain; });
        if (local.empty()) {
            local = candidates;
        }
        const auto former = before.relays.find(domain);
        plan.relays[domain] = chooseRelays(std::move(local), count, domain,
                                           former == before.relays.end() ? std::vector<process_id>() : former->second);
    }
    return plan;
}

process_id relayFor(const relay_plan &plan, const worker_id &worker, const failure_domain_id &failureDomain)
{
    const auto relays = plan.relays.find(failureDomain);
    if (relays == plan.relays.end() || relays->second.empty()) {
        return {};
    }
    return *std::ranges::max_element(relays->second, {}, [&](const process_id &each) { return rankOf(each, worker); });
}

} // namespace primrosecroft
