#include "core/error.h"
#include "membership/daemon_row.h"
#include "membership/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

peer_record makePeer(const process_id &process, std::int64_t incarnation)
{
    peer_record peer;
    peer.process = process;
    peer.failureDomain = "dyce";
    peer.incarnation = incarnation;
    return peer;
}

membership_state makeState()
{
    membership_state state;
    state.self = "dyce-e2-entryd";
    state.failureDomain = "dyce";
    return state;
}

listed_vm makeVm(const std::string &id, const failure_domain_id &domain)
{
    listed_vm vm;
    vm.id = id;
    vm.failureDomain = domain;
    return vm;
}

} // namespace

TEST_CASE("a new incarnation replaces the old one, whichever number is higher")
{
    auto state = makeState();
    const instant now {};
    CHECK(recordHeartbeat(state, makePeer("dyce-e1-entryd", 900), now).hasChanged);
    // The new number is lower, as if it came from a clock that went back.
    CHECK(recordHeartbeat(state, makePeer("dyce-e1-entryd", 100), now + 1s).hasChanged);
    CHECK(state.peers.at("dyce-e1-entryd").incarnation == 100);
    CHECK(recordHeartbeat(state, makePeer("dyce-e1-entryd", 900), now + 2s).isDropped);
    CHECK(state.peers.at("dyce-e1-entryd").incarnation == 100);
}

TEST_CASE("late heartbeats of the eight incarnations that were replaced last are dropped, whatever their numbers")
{
    auto state = makeState();
    const instant now {};
    const auto isRising = GENERATE(true, false);
    const auto incarnationOf = [isRising](std::int64_t round) { return isRising ? round : 100 - round; };
    for (std::int64_t round = 1; round <= 20; ++round) {
        recordHeartbeat(state, makePeer("dyce-e1-entryd", incarnationOf(round)), now);
        for (auto late = std::max<std::int64_t>(1, round - 8); late < round; ++late) {
            REQUIRE(recordHeartbeat(state, makePeer("dyce-e1-entryd", incarnationOf(late)), now).isDropped);
        }
    }
}

TEST_CASE("a leaving notice is final for its incarnation and doesn't apply to the next one")
{
    auto state = makeState();
    const instant now {};
    auto leavingNotice = makePeer("dyce-e1-entryd", 1);
    leavingNotice.isLeaving = true;
    recordHeartbeat(state, leavingNotice, now);
    recordHeartbeat(state, makePeer("dyce-e1-entryd", 1), now + 1ms);
    CHECK(livePeers(state, now + 1ms).empty());
    recordHeartbeat(state, makePeer("dyce-e1-entryd", 2), now + 2ms);
    CHECK(livePeers(state, now + 2ms).size() == 1);
}

TEST_CASE("a paused peer is out of contact after the heartbeat timeout, and in contact again with its next heartbeat")
{
    auto state = makeState();
    const instant now {};
    recordHeartbeat(state, makePeer("dyce-e1-entryd", 1), now);
    CHECK(livePeers(state, now + heartbeatTimeout).empty());
    CHECK(recordHeartbeat(state, makePeer("dyce-e1-entryd", 1), now + 8s).hasChanged);
    CHECK(livePeers(state, now + 8s).size() == 1);
    CHECK_FALSE(recordHeartbeat(state, makePeer("dyce-e1-entryd", 1), now + 9s).hasChanged);
}

TEST_CASE("one entry daemon represents its failure domain, and another one once it leaves or is out of contact")
{
    auto state = makeState();
    const instant now {};
    CHECK(representsDomain(state, false, now));
    CHECK_FALSE(representsDomain(state, true, now));
    recordHeartbeat(state, makePeer("dyce-e1-entryd", 1), now);
    CHECK_FALSE(representsDomain(state, false, now));
    CHECK(representsDomain(state, false, now + heartbeatTimeout));
    auto leavingNotice = makePeer("dyce-e1-entryd", 1);
    leavingNotice.isLeaving = true;
    recordHeartbeat(state, leavingNotice, now + 1ms);
    CHECK(representsDomain(state, false, now + 1ms));
}

TEST_CASE("only the representative sends heartbeats to other failure domains, each round to another VM of each")
{
    auto state = makeState();
    state.vms = {makeVm("dyce-e1", "dyce"), makeVm("dyce-e2", "dyce"), makeVm("motherwell-e1", "motherwell"),
                 makeVm("motherwell-e2", "motherwell"), makeVm("grangemouth-e1", "grangemouth")};
    CHECK(heartbeatTargets(state, false, 1, 0).size() == 2);
    const auto first = heartbeatTargets(state, true, 1, 0);
    const auto second = heartbeatTargets(state, true, 1, 1);
    CHECK(first.size() == 4);
    CHECK(first.back().id != second.back().id);
}

TEST_CASE("82 replaced VMs a day leave no records behind")
{
    auto state = makeState();
    instant now {};
    for (int number = 0; number < 30 * 82; ++number) {
        now += 1'000s; // 82 times this is about a day
        recordHeartbeat(state, makePeer("dyce-e" + std::to_string(number) + "-entryd", number), now);
        removeExpiredPeers(state, now);
        REQUIRE(state.peers.size() <= 2);
        REQUIRE(state.retiredIncarnations.size() <= 2);
    }
}

TEST_CASE("an entry daemon's row is encoded and decoded without loss, and an invalid one is an error")
{
    daemon_row row;
    row.vm = {"dyce-e1", vm_role::entry, "dyce", "north-east", "127.0.0.1", 7401, false};
    row.writtenAt = 5s;
    CHECK(decodeDaemon("dyce-e1", encodeDaemon(row)) == row);
    CHECK_THROWS_AS(decodeDaemon("dyce-e1", "{}"), error);
    CHECK_THROWS_AS(decodeDaemon("dyce-e1", "nothing"), error);
}
