#include "relays/relay_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

/// The processes that carry the owner's orders.
using namespace primrosecroft;

namespace
{

const vm_capacity strong {500, 200};
const vm_capacity usual {250, 1'000};
const vm_capacity weak {120, 20};

std::vector<relay_candidate> candidatesOf(const failure_domain_id &domain, int strongOnes, int weakOnes)
{
    std::vector<relay_candidate> result;
    const int count = strongOnes + weakOnes;
    result.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        result.push_back({domain + '-' + std::to_string(number), domain, number < strongOnes ? strong : weak});
    }
    return result;
}

std::map<worker_id, process_id> relaysOfWorkers(const relay_plan &plan, int workers)
{
    std::map<worker_id, process_id> result;
    for (int number = 0; number < workers; ++number) {
        const auto worker = "worker-" + std::to_string(number);
        result[worker] = relayFor(plan, worker, "dyce");
    }
    return result;
}

} // namespace

TEST_CASE("an owner whose VM carries the cell's workers sends its orders itself")
{
    const auto plan = planRelays(usual, {{"dyce", 24}, {"keith", 24}}, candidatesOf("dyce", 3, 0));
    CHECK(plan.relays.empty());
    CHECK(relayFor(plan, "worker-1", "dyce").empty());
}

TEST_CASE("more workers than the owner's VM carries get relays in their own failure domain")
{
    auto candidates = candidatesOf("dyce", 3, 20);
    std::ranges::copy(candidatesOf("keith", 3, 20), std::back_inserter(candidates));
    const auto plan = planRelays(strong, {{"dyce", 550}, {"keith", 550}}, candidates);
    CHECK(std::ranges::all_of(plan.relays.at("dyce"), [](const auto &each) { return each.starts_with("dyce"); }));
    CHECK(std::ranges::all_of(plan.relays.at("keith"), [](const auto &each) { return each.starts_with("keith"); }));
    CHECK(plan.relays.at("dyce").size() == 3);
}

TEST_CASE("a failure domain has two relays, however few its workers are")
{
    const auto plan = planRelays(strong, {{"dyce", 10}, {"keith", 400}}, candidatesOf("dyce", 3, 0));
    CHECK(plan.relays.at("dyce").size() == 2);
}

TEST_CASE("weak VMs are no relays where strong ones run")
{
    const auto plan = planRelays(strong, {{"dyce", 1'000}}, candidatesOf("dyce", 2, 20));
    CHECK(plan.relays.at("dyce").size() == 2);
}

TEST_CASE("the workers of a failure domain without a process get relays from the others")
{
    const auto plan = planRelays(strong, {{"dyce", 300}, {"keith", 300}}, candidatesOf("dyce", 3, 0));
    CHECK(plan.relays.at("keith").size() == 2);
}

TEST_CASE("a link that is full before the processor limits what a VM carries")
{
    CHECK(carriedWorkers({120, 2}) < carriedWorkers(weak));
}

TEST_CASE("the loss of a relay moves its own workers only")
{
    const auto before = planRelays(weak, {{"dyce", 170}}, candidatesOf("dyce", 0, 4));
    REQUIRE(before.relays.at("dyce").size() == 4);
    auto after = before;
    const auto lost = after.relays.at("dyce").back();
    after.relays.at("dyce").pop_back();
    const auto earlier = relaysOfWorkers(before, 170);
    const auto later = relaysOfWorkers(after, 170);
    CHECK(std::ranges::all_of(
        earlier, [&](const auto &each) { return each.second == lost || later.at(each.first) == each.second; }));
}

TEST_CASE("each relay has its share of the workers")
{
    const auto plan = planRelays(weak, {{"dyce", 170}}, candidatesOf("dyce", 0, 4));
    std::map<process_id, int> workers;
    for (const auto &[worker, relay] : relaysOfWorkers(plan, 170)) {
        ++workers[relay];
    }
    REQUIRE(workers.size() == 4);
    CHECK(std::ranges::all_of(workers, [](const auto &each) { return each.second > 20 && each.second < 70; }));
}

TEST_CASE("a relay stays when an equal process becomes known, and goes when a much stronger one does")
{
    const auto first = planRelays(weak, {{"dyce", 60}}, candidatesOf("dyce", 0, 2));
    const auto second = planRelays(weak, {{"dyce", 60}}, candidatesOf("dyce", 0, 30), first);
    CHECK(std::set(first.relays.at("dyce").begin(), first.relays.at("dyce").end())
          == std::set(second.relays.at("dyce").begin(), second.relays.at("dyce").end()));
    const auto third = planRelays(weak, {{"dyce", 60}}, candidatesOf("dyce", 2, 30), second);
    CHECK(std::ranges::all_of(third.relays.at("dyce"),
                              [](const auto &each) { return each == "dyce-0" || each == "dyce-1"; }));
}

TEST_CASE("the failure domains of a region that isn't in contact yet spread over the processes that are")
{
    const auto plan =
        planRelays(strong, {{"keith", 180}, {"peterhead", 180}, {"elgin", 180}}, candidatesOf("dyce", 6, 0));
    std::set<process_id> relays;
    for (const auto &[domain, names] : plan.relays) {
        relays.insert(names.begin(), names.end());
    }
    CHECK(relays.size() > 2);
}
