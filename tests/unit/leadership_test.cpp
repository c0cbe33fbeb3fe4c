#include "leadership/leadership.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Who owns, one scene a case.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr instant start {1h};

template<typename action>
bool has(const std::vector<leadership_action> &actions)
{
    return std::ranges::any_of(actions, [](const auto &each) { return std::holds_alternative<action>(each); });
}

/// A process that owns under version 5.
leadership_state makeOwner()
{
    leadership_settings settings;
    settings.process = "a";
    settings.incarnation = 1;
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, std::nullopt, 0, 0, 5ms}, start);
    step(state, leadership_tick {}, start + 1s);
    step(state, take_over_answered {store_outcome::done, 5}, start + 1s);
    return state;
}

owner_row rowOf(const process_id &process)
{
    owner_row row;
    row.process = process;
    row.incarnation = 2;
    row.term = 1;
    return row;
}

} // namespace

TEST_CASE("an owner that has left its place learns who took it, so that it can pass requests on")
{
    auto state = makeOwner();
    REQUIRE(state.owns);
    auto now = start + 2s;
    step(state, leave_requested {}, now);
    const auto lost = step(state, ownership_lost {}, now);
    CHECK(has<end_ownership>(lost));
    CHECK(has<poll_owner>(lost));
    const auto seen = step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, 10, 5ms}, now + 100ms);
    CHECK(has<report_owner>(seen));
    CHECK(state.owner->process == "b");
    for (auto time = now; time < now + 5s; time += 200ms) {
        CHECK_FALSE(has<take_ownership>(step(state, leadership_tick {}, time)));
    }
}

TEST_CASE("an owner that falls silent is followed when its renewals stand still, not before")
{
    leadership_settings settings;
    settings.process = "a";
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, 10, 5ms}, start);
    auto taken = false;
    auto now = start;
    row_version renewal = 10;
    const auto pass = [&](std::chrono::milliseconds time, bool renews) {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (const auto &action : step(state, leadership_tick {}, now)) {
                taken = taken || std::holds_alternative<take_ownership>(action);
                if (std::holds_alternative<poll_owner>(action)) {
                    renewal += renews ? 1 : 0;
                    step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, renewal, 5ms}, now);
                }
            }
        }
    };
    pass(5s, true);
    CHECK_FALSE(taken);
    pass(1s, false);
    CHECK(taken);
}
