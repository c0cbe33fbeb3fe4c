#include "leadership/handover.h"
#include "leadership/tick_lateness.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

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
    return {{"10.0.0.1", 1}, "north", now - 100ms, storeAge, storeRoundTrip, 60s, false, {}, 0ms};
}

constexpr vm_capacity strong {500, 200};
constexpr vm_capacity weak {120, 10};

owner_status ownerOn(const vm_capacity &capacity, std::chrono::milliseconds storeRoundTrip = 5ms)
{
    auto owner = healthyOwner();
    owner.capacity = capacity;
    owner.storeRoundTrip = storeRoundTrip;
    return owner;
}

successor_candidate candidateOn(const vm_capacity &capacity, std::chrono::milliseconds storeRoundTrip = 5ms,
                                std::chrono::milliseconds storeAge = 300ms)
{
    auto candidate = makeCandidate(storeRoundTrip, storeAge);
    candidate.capacity = capacity;
    return candidate;
}

successor_candidate farCandidateOn(const vm_capacity &capacity, std::chrono::milliseconds storeAge = 300ms)
{
    auto candidate = candidateOn(capacity, 44ms, storeAge);
    candidate.region = "south";
    return candidate;
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

/// Draws processes in two regions, some of which can't be the successor.
std::map<process_id, successor_candidate> drawCandidates(std::mt19937 &random)
{
    const auto pick = [&random](int max) { return std::uniform_int_distribution(0, max)(random); };
    std::map<process_id, successor_candidate> result;
    for (const auto *name : {"a", "b", "c", "d", "e", "f"}) {
        auto candidate = makeCandidate(pick(60) * 1ms, pick(2'000) * 1ms);
        candidate.region = pick(1) == 0 ? "north" : "south";
        candidate.lastContactAt = now - pick(1'500) * 1ms;
        candidate.uptime = pick(9'000) * 1ms;
        candidate.isLeaving = pick(9) == 0;
        result[name] = candidate;
    }
    return result;
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

TEST_CASE("an owner that leaves or is cut off hands over to a strong process, though a weak one comes first otherwise")
{
    auto owner = ownerOn(strong);
    owner.confirmedAt = now - 1s;
    const auto recentWeak = candidateOn(weak, 5ms, 10ms);
    CHECK(successorOf(owner, {{"strong", candidateOn(strong, 7ms, 700ms)}, {"weak", recentWeak}}) == "strong");
    CHECK(successorOf(owner, {{"far", farCandidateOn(strong)}, {"weak", recentWeak}}) == "far");
    CHECK(successorOf(
              owner,
              {{"far", farCandidateOn(strong, 10ms)}, {"half", candidateOn({250, 100}, 5ms)}, {"weak", recentWeak}})
          == "half");
    CHECK(successorOf(owner, {{"weak", recentWeak}}) == "weak");
    const auto slowLink = candidateOn({500, 10}, 5ms, 10ms);
    CHECK(successorOf(owner, {{"link", slowLink}, {"strong", candidateOn(strong)}}) == "strong");
    owner.isLeaving = true;
    auto freshWeak = recentWeak;
    freshWeak.uptime = 2s;
    CHECK(successorOf(owner, {{"strong", candidateOn(strong)}, {"weak", freshWeak}}) == "strong");
}

TEST_CASE("an owner on a weak VM hands over to a strong process that has run for a while, but not again soon after")
{
    auto owner = ownerOn(weak);
    const std::map<process_id, successor_candidate> candidates {
        {"far", farCandidateOn(strong, 10ms)}, {"near", candidateOn(strong)}, {"weak", candidateOn(weak, 1ms, 10ms)}};
    const auto found = planHandover(owner, candidates, now);
    REQUIRE(found);
    CHECK(found->successor == "near");
    CHECK(found->reason == handover_reason::weak);
    CHECK(successorOf(owner, {{"far", farCandidateOn(strong)}, {"weak", candidateOn(weak)}}) == "far");
    auto restarted = candidateOn(strong);
    restarted.uptime = 2s;
    CHECK_FALSE(successorOf(owner, {{"restarted", restarted}}));
    auto unreached = candidateOn(strong, 5ms, 5s);
    CHECK_FALSE(successorOf(owner, {{"unreached", unreached}}));
    owner.handoverRequestedAt = now - 5s;
    CHECK_FALSE(successorOf(owner, candidates));
    owner.handoverRequestedAt.reset();
    owner.ownsSince = now - 2s;
    CHECK_FALSE(successorOf(owner, candidates));
}

TEST_CASE("an owner on a strong VM stays, though others are a bit stronger or nearer and weak")
{
    CHECK_FALSE(successorOf(ownerOn(strong), {{"weak", candidateOn(weak, 1ms)}, {"more", candidateOn({900, 900})}}));
    CHECK_FALSE(successorOf(ownerOn(strong, 44ms), {{"weak", candidateOn(weak, 1ms)}}));
    CHECK(successorOf(ownerOn(strong, 44ms), {{"near", candidateOn(strong)}, {"weak", candidateOn(weak, 1ms)}})
          == "near");
    CHECK_FALSE(successorOf(ownerOn({250, 1'000}), {{"unknown", candidateOn({})}}));
    CHECK_FALSE(successorOf(ownerOn({}), {{"usual", candidateOn({250, 1'000})}}));
}

TEST_CASE("on equal VMs capacity decides nothing")
{
    std::mt19937 random {1}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same cases in each run
    int handovers = 0;
    for (int i = 0; i < 5'000; ++i) {
        auto owner = healthyOwner();
        owner.isLeaving = i % 3 == 0;
        owner.confirmedAt = i % 3 == 1 ? now - 1s : owner.confirmedAt;
        owner.storeRoundTrip = i % 3 == 2 ? 44ms : 5ms;
        auto candidates = drawCandidates(random);
        const auto without = successorOf(owner, candidates);
        owner.capacity = i % 2 == 0 ? weak : strong;
        for (auto &[name, candidate] : candidates) {
            candidate.capacity = owner.capacity;
        }
        REQUIRE(successorOf(owner, candidates) == without);
        handovers += without ? 1 : 0;
    }
    CHECK(handovers > 1'000);
}

TEST_CASE("relocations never lead the ownership back, whichever processes are usable at times")
{
    std::mt19937 random {2}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same cases in each run
    int moves = 0;
    for (int deployment = 0; deployment < 2'000; ++deployment) {
        const auto pick = [&random](int max) { return std::uniform_int_distribution(0, max)(random); };
        auto processes = drawCandidates(random);
        for (auto &[name, process] : processes) {
            process.capacity = {100 + 50 * pick(9), 10 + 10 * pick(9)};
        }
        process_id owner = "a";
        std::set<process_id> earlier {owner};
        for (int round = 0; round < 40; ++round) {
            auto candidates = processes;
            candidates.erase(owner);
            for (auto &[name, candidate] : candidates) {
                candidate.uptime = 1h;
                candidate.lastContactAt = pick(1) == 0 ? now : now - 1min;
                candidate.storeAge = 0ms;
            }
            const auto &process = processes.at(owner);
            if (const auto next = successorOf(ownerOn(process.capacity, *process.storeRoundTrip), candidates)) {
                owner = *next;
                ++moves;
                REQUIRE(earlier.insert(owner).second);
            }
        }
    }
    CHECK(moves > 1'000);
}

TEST_CASE("an owner whose ticks are late for a second hands over to one of its capacity that isn't late, each 10 s")
{
    auto owner = ownerOn(strong);
    owner.lateSince = now - 1s;
    auto late = candidateOn(strong, 5ms, 10ms);
    late.lateness = 100ms;
    auto unknown = candidateOn(strong, 5ms, 10ms);
    unknown.lateness.reset();
    const auto lesser = candidateOn({450, 200}, 5ms, 10ms);
    const auto farther = farCandidateOn({900, 900}, 10ms);
    const std::map<process_id, successor_candidate> without {
        {"farther", farther}, {"late", late}, {"lesser", lesser}, {"unknown", unknown}};
    CHECK_FALSE(successorOf(owner, without));
    auto candidates = without;
    candidates["prompt"] = candidateOn(strong);
    const auto found = planHandover(owner, candidates, now);
    REQUIRE(found);
    CHECK(found->successor == "prompt");
    CHECK(found->reason == handover_reason::late);
    auto recent = owner;
    recent.ownsSince = now - 9s;
    CHECK_FALSE(successorOf(recent, candidates));
    recent = owner;
    recent.handoverRequestedAt = now - 9s;
    CHECK_FALSE(successorOf(recent, candidates));
    recent = owner;
    recent.lateSince = now - 900ms;
    CHECK_FALSE(successorOf(recent, candidates));
}

TEST_CASE("an owner on a weak VM doesn't move to a strong process that is late")
{
    auto late = candidateOn(strong);
    late.lateness = 200ms;
    CHECK_FALSE(successorOf(ownerOn(weak), {{"late", late}}));
    late.lateness.reset(); // of an earlier build
    CHECK(successorOf(ownerOn(weak), {{"late", late}}) == "late");
}

TEST_CASE("a process is late once its ticks come late again and again, not after one long pause")
{
    tick_lateness lateness;
    auto time = now;
    const auto tickAfter = [&](std::chrono::milliseconds span) {
        time += span;
        recordTick(lateness, 200ms, time);
    };
    tickAfter(0ms);
    tickAfter(200ms);
    tickAfter(30s);
    CHECK_FALSE(lateness.lateSince);
    for (int i = 0; i < 10; ++i) {
        tickAfter(210ms);
    }
    CHECK(lateness.smoothed < 30ms);
    for (int i = 0; i < 10; ++i) {
        tickAfter(500ms);
    }
    REQUIRE(lateness.lateSince);
    CHECK(*lateness.lateSince < time - 1s);
    for (int i = 0; i < 5; ++i) {
        tickAfter(200ms);
    }
    CHECK_FALSE(lateness.lateSince);
}

TEST_CASE("an owner that is unconfirmed because the store is slow for every process does not hand over")
{
    auto owner = healthyOwner();
    owner.confirmedAt = now - 1'000ms;
    CHECK_FALSE(planHandover(owner, {{"a", makeCandidate(5ms, 950ms)}}, now));
    const auto chosen = planHandover(owner, {{"a", makeCandidate(5ms, 950ms)}, {"b", makeCandidate(5ms, 300ms)}}, now);
    REQUIRE(chosen);
    CHECK(chosen->successor == "b");
    CHECK(chosen->reason == handover_reason::cutOff);
}

TEST_CASE("an owner after take-overs that brought nothing waits longer for its confirmation before it hands over")
{
    auto owner = healthyOwner();
    owner.confirmedAt = now - 1'500ms;
    const std::map<process_id, successor_candidate> candidates {{"b", makeCandidate(5ms)}};
    CHECK(successorOf(owner, candidates) == "b");
    owner.patience = 2;
    CHECK_FALSE(successorOf(owner, candidates));
    owner.confirmedAt = now - 1'900ms;
    CHECK(successorOf(owner, candidates) == "b");
}
