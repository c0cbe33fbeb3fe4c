#include "leadership/handover.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr instant now {1h};

/// An owner that has no reason for a hand-over.
owner_status healthyOwner()
{
    owner_status owner;
    owner.ownsSince = now - 60s;
    owner.confirmedAt = now - 100ms;
    owner.storeRoundTrip = 5ms;
    return owner;
}

successor_candidate makeCandidate(std::chrono::milliseconds storeRoundTrip, std::chrono::milliseconds storeAge = 300ms)
{
    return {{"10.0.0.1", 1}, "north", now - 100ms, storeAge, storeRoundTrip, 60s, false};
}

successor_candidate inOtherRegion(std::chrono::milliseconds storeAge = 300ms)
{
    auto candidate = makeCandidate(44ms, storeAge);
    candidate.region = "south";
    return candidate;
}

std::optional<process_id> successorOf(const owner_status &owner,
                                      const std::map<process_id, successor_candidate> &candidates)
{
    const auto found = planHandover(owner, candidates, now);
    return found ? std::optional(found->successor) : std::nullopt;
}

} // namespace

TEST_CASE("a healthy owner keeps its shard")
{
    CHECK_FALSE(successorOf(healthyOwner(), {{"a", makeCandidate(5ms)}}));
}

TEST_CASE("an owner that can't reach the store hands over to a process that reaches it and is near it")
{
    auto owner = healthyOwner();
    owner.confirmedAt = now - 1s;
    CHECK(successorOf(owner, {{"far", inOtherRegion(10ms)}, {"near", makeCandidate(7ms, 700ms)}}) == "near");
    CHECK(successorOf(owner, {{"far", makeCandidate(44ms)}, {"cut", makeCandidate(5ms, 5s)}}) == "far");
    CHECK_FALSE(successorOf(owner, {{"cut", makeCandidate(5ms, 5s)}}));
}

TEST_CASE("an owner whose store calls fail hands over earlier than one whose calls get no answers")
{
    auto owner = healthyOwner();
    owner.confirmedAt = now - 500ms;
    CHECK_FALSE(successorOf(owner, {{"a", makeCandidate(5ms)}}));
    owner.storeFailingSince = now - 400ms;
    CHECK(successorOf(owner, {{"a", makeCandidate(5ms)}}) == "a");
    owner.storeFailingSince = now - 100ms;
    CHECK_FALSE(successorOf(owner, {{"a", makeCandidate(5ms)}}));
}

TEST_CASE("an owner that leaves hands over to the near process that was restarted last")
{
    auto owner = healthyOwner();
    owner.isLeaving = true;
    auto old = makeCandidate(5ms);
    auto fresh = makeCandidate(110ms); // all its reads so far were made while the store was slow
    fresh.uptime = 2s;
    auto farFresh = inOtherRegion();
    farFresh.uptime = 1s;
    auto leaving = makeCandidate(5ms);
    leaving.isLeaving = true;
    leaving.uptime = 0ms;
    CHECK(successorOf(owner, {{"old", old}, {"fresh", fresh}, {"far", farFresh}, {"leaving", leaving}}) == "fresh");
}

TEST_CASE("a successor that doesn't take over in time is replaced by another, but not earlier")
{
    auto owner = healthyOwner();
    owner.isLeaving = true;
    owner.handoverRequestedAt = now - 300ms;
    owner.lastSuccessor = "a";
    const std::map<process_id, successor_candidate> candidates {{"a", makeCandidate(5ms)}, {"b", makeCandidate(44ms)}};
    CHECK_FALSE(successorOf(owner, candidates));
    owner.handoverRequestedAt = now - 1s;
    CHECK(successorOf(owner, candidates) == "b");
}

TEST_CASE("an owner far from the store hands over to a much nearer process, but not again soon after a hand-over")
{
    auto owner = healthyOwner();
    owner.storeRoundTrip = 44ms;
    CHECK(successorOf(owner, {{"near", makeCandidate(7ms)}}) == "near");
    CHECK_FALSE(successorOf(owner, {{"far", makeCandidate(40ms)}}));
    auto restarted = makeCandidate(7ms);
    restarted.uptime = 500ms;
    CHECK_FALSE(successorOf(owner, {{"restarted", restarted}}));
    owner.handoverRequestedAt = now - 5s;
    CHECK_FALSE(successorOf(owner, {{"near", makeCandidate(7ms)}}));
}

TEST_CASE("a process whose store contact has grown too old since its presence message isn't asked to take over")
{
    auto owner = healthyOwner();
    owner.isLeaving = true;
    auto silent = makeCandidate(5ms, 1s);
    silent.lastContactAt = now - 1s;
    CHECK_FALSE(successorOf(owner, {{"silent", silent}}));
    owner.isLeaving = false;
    owner.confirmedAt = now - 1s;
    silent.storeAge = 200ms; // 1.2 s ago by now
    CHECK(successorOf(owner, {{"recent", makeCandidate(5ms, 400ms)}, {"silent", silent}}) == "recent");
}

TEST_CASE("a process that hasn't read the store yet doesn't count as the nearest one")
{
    auto owner = healthyOwner();
    owner.confirmedAt = now - 1s;
    auto unmeasured = makeCandidate(0ms, 100ms);
    unmeasured.storeRoundTrip.reset();
    unmeasured.region = "south";
    CHECK(successorOf(owner, {{"near", makeCandidate(20ms)}, {"unmeasured", unmeasured}}) == "near");
    CHECK(successorOf(owner, {{"a", unmeasured}, {"b", unmeasured}}) == "a");
    owner = healthyOwner();
    owner.storeRoundTrip = 44ms;
    CHECK_FALSE(successorOf(owner, {{"unmeasured", unmeasured}}));
}

TEST_CASE("a far owner moves only to a process that is itself much nearer and has run for a while")
{
    auto owner = healthyOwner();
    owner.storeRoundTrip = 44ms;
    const auto nearest = makeCandidate(18ms, 500ms);
    const auto asFar = makeCandidate(46ms, 100ms);
    auto restarted = makeCandidate(7ms, 100ms);
    restarted.uptime = 500ms;
    CHECK(successorOf(owner, {{"asFar", asFar}, {"nearest", nearest}}) == "nearest");
    CHECK(successorOf(owner, {{"nearest", nearest}, {"restarted", restarted}}) == "nearest");
}
