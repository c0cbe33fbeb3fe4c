#include "routing/routing.h"

#include <catch2/catch.hpp>
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

TEST_CASE("a request goes to an executor of its own failure domain first")
{
    auto state = makeState(6);
    const auto actions = step(state, request_arrived {1, instant {} + 5s, true}, instant {});
    CHECK(state.upstreams.at(sent(actions).upstream).description.failureDomain == "a");
}

TEST_CASE("no executor ever has more requests of ours than slots")
{
    auto state = makeState(2);
    for (const auto id : std::views::iota(1, 40)) {
        step(state, request_arrived {static_cast<std::uint64_t>(id), instant {} + 5s, true}, instant {});
    }
    CHECK(state.upstreams.at("x0").inFlight == 8);
    CHECK(state.upstreams.at("x1").inFlight == 8);
    CHECK(state.queue.size() == 23);
}

TEST_CASE("a lost answer of a request that must not be repeated is unknown")
{
    auto state = makeState(4);
    step(state, request_arrived {1, instant {} + 5s, false}, instant {});
    const auto actions = step(state, attempt_finished {1, attempt_result::lost, false, false, {}, 1ms}, instant {});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<report_unknown>(actions.front()));
}

TEST_CASE("a request that was not run goes elsewhere, even when it must not be repeated")
{
    auto state = makeState(4);
    state.retryBudget = 5;
    const auto first = sent(step(state, request_arrived {1, instant {} + 5s, false}, instant {})).upstream;
    const auto actions = step(state, attempt_finished {1, attempt_result::notRun, false, false, {}, 1ms}, instant {});
    CHECK(sent(actions).upstream != first);
}

TEST_CASE("a leaving executor gets no new work and peers are told once")
{
    auto state = makeState(1);
    step(state, request_arrived {1, instant {} + 5s, true}, instant {});
    const auto actions = step(state, attempt_finished {1, attempt_result::answered, true, true, {}, 1ms}, instant {});
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<spread_leaving>(actions.front()));
    const auto next = step(state, request_arrived {2, instant {} + 5s, true}, instant {});
    REQUIRE(next.size() == 1);
    CHECK(std::holds_alternative<refuse_request>(next.front()));
}

TEST_CASE("a refusal says when to come back, spread over time")
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

TEST_CASE("an executor that fails in a row is ejected, probed and taken back")
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
