#include "leadership/leadership.h"

#include "core/error.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Tests of the election of the owner, each with one sequence of messages.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr instant start {1h};

template<typename action>
bool hasAction(const std::vector<leadership_action> &actions)
{
    return std::ranges::any_of(actions, [](const auto &each) { return std::holds_alternative<action>(each); });
}

/// Returns the state of a process that is the owner with fencing token 5.
leadership_state makeOwner()
{
    leadership_settings settings;
    settings.process = "a";
    settings.incarnation = 1;
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, std::nullopt, 0, 0, 5ms}, start);
    step(state, leadership_ticked {}, start + 1s);
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

TEST_CASE("a former owner that is leaving finds the new owner, so that it can forward requests")
{
    auto state = makeOwner();
    REQUIRE(state.owns);
    auto now = start + 2s;
    step(state, leave_requested {}, now);
    const auto afterLoss = step(state, ownership_lost {}, now);
    CHECK(hasAction<end_ownership>(afterLoss));
    CHECK(hasAction<poll_owner>(afterLoss));
    const auto afterPoll = step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, 10, 5ms}, now + 100ms);
    CHECK(hasAction<report_owner>(afterPoll));
    CHECK(state.owner->process == "b");
    for (auto time = now; time < now + 5s; time += 200ms) {
        CHECK_FALSE(hasAction<take_ownership>(step(state, leadership_ticked {}, time)));
    }
}

TEST_CASE("an owner that doesn't answer is replaced once its renewals stop, not before")
{
    leadership_settings settings;
    settings.process = "a";
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, 10, 5ms}, start);
    auto hasTakenOver = false;
    auto now = start;
    row_version renewal = 10;
    const auto advance = [&](std::chrono::milliseconds time, bool renews) {
        for (const auto end = now + time; now < end; now += 100ms) {
            for (const auto &action : step(state, leadership_ticked {}, now)) {
                hasTakenOver = hasTakenOver || std::holds_alternative<take_ownership>(action);
                if (std::holds_alternative<poll_owner>(action)) {
                    renewal += renews ? 1 : 0;
                    step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 9, renewal, 5ms}, now);
                }
            }
        }
    };
    advance(5s, true);
    CHECK_FALSE(hasTakenOver);
    advance(1s, false);
    CHECK(hasTakenOver);
}

TEST_CASE("an owner's row that can't be read ends no process, nobody takes over, and a later valid row is adopted")
{
    leadership_settings settings;
    settings.process = "a";
    auto state = makeLeadership(settings, start);
    range_result answer;
    answer.outcome = store_outcome::done;
    answer.rows = {{ownerPlace(), "garbage", 9, false}, {renewalPlace(), "1", 10, false}};
    owner_poll_answered unreadable;
    REQUIRE_NOTHROW(unreadable = ownerPollOf(answer, 5ms));
    CHECK_FALSE(unreadable.fault.empty());
    int polls = 0;
    for (auto now = start; now < start + 10s; now += 100ms) {
        const auto actions = step(state, leadership_ticked {}, now);
        CHECK_FALSE(hasAction<take_ownership>(actions));
        if (hasAction<poll_owner>(actions)) {
            ++polls;
            CHECK_FALSE(hasAction<take_ownership>(step(state, unreadable, now)));
        }
    }
    CHECK(polls > 10);
    answer.rows.front().value = encodeOwner(rowOf("b"));
    answer.rows.front().version = 11;
    const auto valid = ownerPollOf(answer, 5ms);
    CHECK(valid.renewal == 10);
    CHECK(hasAction<report_owner>(step(state, valid, start + 10s)));
}

TEST_CASE("an owner's row with a term below 0 is rejected")
{
    auto row = rowOf("b");
    CHECK(decodeOwner(encodeOwner(row)) == row);
    row.term = -1;
    CHECK_THROWS_AS(decodeOwner(encodeOwner(row)), error);
}

TEST_CASE("a process that finds a row of its earlier run reads the row again after a take-over that conflicts")
{
    leadership_settings settings;
    settings.process = "a";
    settings.incarnation = 7;
    auto state = makeLeadership(settings, start);
    const auto found = step(state, owner_poll_answered {store_outcome::done, rowOf("a"), 9, 10, 5ms}, start);
    REQUIRE(hasAction<take_ownership>(found));
    const auto answered = step(state, take_over_answered {store_outcome::conflict, 0}, start + 10ms);
    CHECK_FALSE(hasAction<take_ownership>(answered));
    CHECK(hasAction<poll_owner>(answered));
    CHECK(hasAction<report_owner>(
        step(state, owner_poll_answered {store_outcome::done, rowOf("b"), 11, 12, 5ms}, start + 20ms)));
}
