#include "routing/routing.h"

#include <catch2/catch.hpp>
#include <map>
#include <ranges>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

routing_state makeState(int upstreams)
{
    routing_settings settings;
    settings.failureDomain = "a";
    settings.region = "r";
    auto state = makeRouting(settings);
    upstreams_listed list;
    for (const auto number : std::views::iota(0, upstreams)) {
        list.upstreams.push_back({"x" + std::to_string(number), number % 2 == 0 ? "a" : "b", "r", false});
    }
    step(state, list, instant {});
    return state;
}

const send_attempt &sent(const std::vector<routing_action> &actions)
{
    REQUIRE(actions.size() == 1);
    return std::get<send_attempt>(actions.front());
}

} // namespace

TEST_CASE("a request goes first to an executor in the daemon's own failure domain")
{
    auto state = makeState(6);
    const auto actions = step(state, request_arrived {1, instant {} + 5s, true}, instant {});
    CHECK(state.upstreams.at(sent(actions).upstream).description.failureDomain == "a");
}

TEST_CASE("a daemon never sends an executor more requests than it has slots")
{
    auto state = makeState(2);
    for (const auto id : std::views::iota(1, 40)) {
        step(state, request_arrived {static_cast<std::uint64_t>(id), instant {} + 5s, true}, instant {});
    }
    CHECK(state.upstreams.at("x0").inFlight == 8);
    CHECK(state.upstreams.at("x1").inFlight == 8);
    CHECK(state.queue.size() == 23);
}

TEST_CASE("a request that must not be repeated has an unknown outcome after its answer was lost")
{
    auto state = makeState(4);
    step(state, request_arrived {1, instant {} + 5s, false}, instant {});
    const auto actions = step(state, attempt_finished {1, attempt_result::lost, false, false, {}, 1ms}, instant {});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<report_unknown>(actions.front()));
}

TEST_CASE("a request that was not run goes to another executor, even if it must not be repeated")
{
    auto state = makeState(4);
    state.retryBudget = 5;
    const auto first = sent(step(state, request_arrived {1, instant {} + 5s, false}, instant {})).upstream;
    const auto actions = step(state, attempt_finished {1, attempt_result::notRun, false, false, {}, 1ms}, instant {});
    CHECK(sent(actions).upstream != first);
}

TEST_CASE("a leaving executor gets no new requests and is announced to the peers once")
{
    auto state = makeState(1);
    step(state, request_arrived {1, instant {} + 5s, true}, instant {});
    const auto actions = step(state, attempt_finished {1, attempt_result::answered, true, true, {}, 1ms}, instant {});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<announce_leaving>(actions.front()));
    const auto next = step(state, request_arrived {2, instant {} + 5s, true}, instant {});
    REQUIRE(next.size() == 1);
    CHECK(std::holds_alternative<refuse_request>(next.front()));
}

TEST_CASE("a refusal names a pause until the next attempt, with jitter")
{
    auto state = makeState(0);
    std::set<std::int64_t> pauses;
    for (const auto id : std::views::iota(1, 30)) {
        const auto actions =
            step(state, request_arrived {static_cast<std::uint64_t>(id), instant {} + 5s, true}, instant {});
        REQUIRE(actions.size() == 1);
        pauses.insert(std::get<refuse_request>(actions.front()).retryAfter.count());
    }
    CHECK(pauses.size() > 20);
    CHECK(*pauses.begin() >= 1'000);
}

TEST_CASE("an executor that fails several times in a row is ejected, probed and used again")
{
    auto state = makeState(1);
    auto now = instant {} + 1h;
    std::uint64_t id = 0;
    for (int round = 0; round < 3; ++round) {
        sent(step(state, request_arrived {++id, now + 5s, false}, now));
        step(state, attempt_finished {id, attempt_result::failed, false, false, {}, 1ms}, now);
    }
    const auto refused = step(state, request_arrived {++id, now + 1s, false}, now);
    CHECK(std::holds_alternative<refuse_request>(refused.front()));
    now += 2'100ms;
    sent(step(state, request_arrived {++id, now + 5s, false}, now));
    step(state, attempt_finished {id, attempt_result::answered, false, true, {}, 1ms}, now);
    CHECK(state.upstreams.at("x0").ejections == 0);
}

namespace
{

upstreams_listed listOf(const std::string &id, bool leaving)
{
    return {{{id, "a", "r", leaving}}};
}

bool getsRequest(routing_state &state, std::uint64_t id, instant now)
{
    const auto actions = step(state, request_arrived {id, now + 5s, true}, now);
    return std::ranges::any_of(actions,
                               [](const auto &action) { return std::holds_alternative<send_attempt>(action); });
}

} // namespace

TEST_CASE("a stale list doesn't bring back an executor that announced its leaving", "[promise-6]")
{
    auto state = makeState(1);
    auto now = instant {} + 1h;
    step(state, upstream_leaving_reported {"x0"}, now);
    for (std::uint64_t id = 1; id <= 30; ++id) {
        now += 1s;
        step(state, listOf("x0", false), now);
        CHECK_FALSE(getsRequest(state, id, now));
    }
}

TEST_CASE("an executor announced as leaving before it is listed gets no requests", "[promise-6]")
{
    auto state = makeState(0);
    const auto now = instant {} + 1h;
    step(state, upstream_leaving_reported {"x0"}, now);
    step(state, listOf("x0", false), now);
    CHECK_FALSE(getsRequest(state, 1, now));
}

TEST_CASE("an executor that the list shows as leaving is announced to the peers once", "[promise-6]")
{
    auto state = makeState(1);
    const auto now = instant {} + 1h;
    const auto actions = step(state, listOf("x0", true), now);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<announce_leaving>(actions.front()).upstream == "x0");
    CHECK(step(state, listOf("x0", true), now + 5s).empty());
    CHECK_FALSE(getsRequest(state, 1, now));
}

TEST_CASE("an executor restarted at the same id is used again once the list has shown it as leaving and then as active")
{
    auto state = makeState(1);
    auto now = instant {} + 1h;
    step(state, upstream_leaving_reported {"x0"}, now);
    step(state, listOf("x0", true), now + 30s);
    CHECK_FALSE(getsRequest(state, 1, now + 31s));
    step(state, listOf("x0", false), now + 60s);
    CHECK(getsRequest(state, 2, now + 61s));
}

TEST_CASE("an executor that the list never showed as leaving is probed by one request after five minutes")
{
    auto state = makeState(1);
    const auto now = instant {} + 1h;
    step(state, upstream_leaving_reported {"x0"}, now);
    step(state, routing_ticked {}, now + 299s);
    CHECK_FALSE(getsRequest(state, 1, now + 299s));
    step(state, routing_ticked {}, now + 301s);
    CHECK(getsRequest(state, 2, now + 301s));
    CHECK_FALSE(getsRequest(state, 3, now + 301s));
    step(state, attempt_finished {2, attempt_result::notRun, true, false, {}, 1ms}, now + 302s);
    CHECK_FALSE(getsRequest(state, 4, now + 303s));
}

TEST_CASE("requests in flight stay counted while an executor is missing from the list")
{
    auto state = makeState(1);
    const auto now = instant {} + 1h;
    CHECK(getsRequest(state, 1, now));
    step(state, upstreams_listed {}, now);
    step(state, listOf("x0", false), now);
    CHECK(state.upstreams.at("x0").inFlight == 1);
    step(state, attempt_finished {1, attempt_result::answered, false, true, {}, 1ms}, now);
    CHECK(state.upstreams.at("x0").inFlight == 0);
}

TEST_CASE("a queued request that can't meet its deadline is refused at once, whatever its place in the queue")
{
    auto state = makeState(1);
    const auto now = instant {} + 1h;
    for (std::uint64_t id = 1; id <= 9; ++id) {
        step(state, request_arrived {id, now + 5s, true}, now);
    }
    step(state, request_arrived {10, now + 100ms, true}, now);
    REQUIRE(state.queue.size() == 2);
    const auto actions = step(state, routing_ticked {}, now + 60ms);
    REQUIRE(actions.size() == 1);
    CHECK(std::get<refuse_request>(actions.front()).id == 10);
}

TEST_CASE("a repeatable request whose answer was lost and whose retry is refused has an unknown outcome", "[promise-4]")
{
    auto state = makeState(2);
    state.retryBudget = 1;
    const auto now = instant {} + 1h;
    step(state, request_arrived {1, now + 60ms, true}, now);
    step(state, attempt_finished {1, attempt_result::lost, false, false, {}, 1ms}, now);
    const auto actions = step(state, attempt_finished {1, attempt_result::notRun, false, false, {}, 1ms}, now + 20ms);
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<report_unknown>(actions.front()));
}

TEST_CASE("at first only a request that can be retried elsewhere probes an ejected executor")
{
    auto state = makeState(2);
    state.retryBudget = 5;
    const auto now = instant {} + 1h;
    state.upstreams.at("x0").ejections = 1;
    state.upstreams.at("x0").ejectedUntil = now; // the probe is due, but not yet for the grace period
    const auto first = sent(step(state, request_arrived {1, now + 5s, false}, now)).upstream;
    CHECK(first == "x1");
    const auto second = sent(step(state, request_arrived {2, now + 5s, true}, now)).upstream;
    CHECK(second == "x0");
}

TEST_CASE("each executor of a region is owned by exactly one of its daemons")
{
    std::map<upstream_id, int> owners;
    for (const std::string address : {"1", "2", "3"}) {
        routing_settings settings;
        settings.address = address;
        settings.region = "r";
        auto state = makeRouting(settings);
        upstreams_listed list;
        for (const auto number : std::views::iota(0, 10)) {
            list.upstreams.push_back({"x" + std::to_string(number), "a", "r", false});
        }
        list.upstreams.push_back({"far", "c", "s", false});
        list.entries = {{"1", "a", "r"}, {"2", "a", "r"}, {"3", "b", "r"}, {"4", "c", "s"}};
        step(state, list, instant {});
        for (const auto &[id, upstream] : state.upstreams) {
            owners[id] += upstream.isOwned ? 1 : 0;
        }
    }
    CHECK(owners.at("far") == 0);
    owners.erase("far");
    CHECK(std::ranges::all_of(owners | std::views::values, [](int count) { return count == 1; }));
}
