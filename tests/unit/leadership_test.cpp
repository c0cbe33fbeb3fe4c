#include "leadership/leadership.h"

#include "core/error.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

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

constexpr vm_capacity strong {500, 200};
constexpr vm_capacity weak {120, 10};

owner_row rowOn(const vm_capacity &capacity)
{
    auto row = rowOf("b");
    row.capacity = capacity;
    return row;
}

/// Returns how long process @p name on such a VM waits, from a refused connection or its start, until it takes over
/// from the owner of @p row.
std::chrono::milliseconds takeOverWait(const vm_capacity &capacity, const owner_row &row, const process_id &name = "a")
{
    leadership_settings settings;
    settings.process = name;
    settings.incarnation = 1;
    settings.capacity = capacity;
    auto state = makeLeadership(settings, start);
    if (hasAction<take_ownership>(step(state, owner_poll_answered {store_outcome::done, row, 9, 10, 5ms}, start))) {
        return 0ms;
    }
    if (name != row.process) {
        step(state, owner_connection_refused {}, start);
    }
    auto wait = 1ms;
    while (wait < 5s && !hasAction<take_ownership>(step(state, leadership_ticked {}, start + wait))) {
        ++wait;
    }
    return wait;
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

TEST_CASE("a process much weaker than the former owner waits 250 ms longer before it takes over")
{
    const auto wait = takeOverWait(strong, rowOn(strong));
    CHECK(wait < 100ms);
    CHECK(takeOverWait(weak, rowOn(strong)) == wait + 250ms);
    CHECK(takeOverWait({250, 200}, rowOn(strong)) == wait);
    CHECK(takeOverWait(weak, rowOn(weak)) == wait);
    CHECK(takeOverWait(strong, rowOn(weak)) == wait);
    auto resigned = rowOn(strong);
    resigned.hasResigned = true;
    CHECK(takeOverWait(weak, resigned) == wait + 250ms);
}

TEST_CASE("a restarted owner takes over at once, unless its VM has become much weaker")
{
    CHECK(takeOverWait(weak, rowOn(weak), "b") == 0ms);
    CHECK(takeOverWait({}, rowOn({}), "b") == 0ms);
    const auto wait = takeOverWait(weak, rowOn(strong), "b");
    CHECK(wait >= 250ms);
    CHECK(wait < 350ms);
}

TEST_CASE("the row that an owner writes tells its VM's capacity, also when it resigns")
{
    auto settings = leadership_settings {};
    settings.process = "a";
    settings.capacity = weak;
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, std::nullopt, 0, 0, 5ms}, start);
    const auto taking = step(state, leadership_ticked {}, start + 1s);
    REQUIRE(hasAction<take_ownership>(taking));
    CHECK(std::get<take_ownership>(taking.front()).row.capacity == weak);
    step(state, take_over_answered {store_outcome::done, 5}, start + 1s);
    CHECK(state.owner->capacity == weak);
    const auto resigning = step(state, resign_requested {}, start + 2s);
    const auto written = std::ranges::find_if(
        resigning, [](const auto &each) { return std::holds_alternative<write_resignation>(each); });
    REQUIRE(written != resigning.end());
    CHECK(std::get<write_resignation>(*written).row.capacity == weak);
}

TEST_CASE("an owner's row of an earlier build is read, and an earlier build reads a row of this one")
{
    auto row = rowOn(strong);
    row.address = {"10.0.0.1", 7720};
    CHECK(decodeOwner(encodeOwner(row)) == row);
    row.capacity = {std::nullopt, 0};
    CHECK(decodeOwner(encodeOwner(row)) == row);

    std::string earlier;
    nlohmann::json::to_cbor(nlohmann::json::array({"b", 2, "10.0.0.1", 7720, 1, false}), earlier);
    row.capacity = {};
    CHECK(decodeOwner(earlier) == row);
    const auto elements = nlohmann::json::from_cbor(encodeOwner(row));
    REQUIRE(elements.size() >= 6); // an earlier build reads these by their place
    CHECK(elements.at(0) == "b");
    CHECK(elements.at(3) == 7720);
    CHECK(elements.at(5) == false);
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

TEST_CASE("owners that are replaced soon after their take-over get more time to show that they run")
{
    auto row = rowOf("b");
    row.takenAt = 100s;
    leadership_settings settings;
    settings.process = "a";
    std::vector<std::int32_t> counts;
    std::vector<std::chrono::milliseconds> waits;
    for (int takeOver = 0; takeOver < 4; ++takeOver) {
        auto state = makeLeadership(settings, start);
        step(state, owner_poll_answered {store_outcome::done, row, 9, 10, 5ms}, start);
        std::vector<leadership_action> actions;
        auto wait = 0ms;
        while (!hasAction<take_ownership>(actions) && wait < 20s) {
            wait += 10ms;
            actions = step(state, leadership_ticked {row.takenAt + wait}, start + wait);
            if (hasAction<poll_owner>(actions)) {
                step(state, owner_poll_answered {store_outcome::done, row, 9, 10, 5ms}, start + wait);
            }
        }
        REQUIRE(hasAction<take_ownership>(actions));
        waits.push_back(wait);
        row = std::get<take_ownership>(actions.back()).row;
        row.process = "b";
        counts.push_back(row.doubtfulTakeOvers);
    }
    CHECK(counts == std::vector<std::int32_t> {1, 2, 2, 2});
    CHECK(waits[1] > waits[0] + 900ms);
    CHECK(waits[2] > waits[1] + 1'800ms);
    CHECK(waits[3] < 6s);
}

TEST_CASE("an owner whose process has ended is replaced as soon as ever, and an owner after a long ownership, too")
{
    auto row = rowOf("b");
    row.takenAt = 100s;
    row.doubtfulTakeOvers = 2;
    CHECK(takeOverWait(strong, row) < 300ms);
    leadership_settings settings;
    settings.process = "a";
    auto state = makeLeadership(settings, start);
    step(state, owner_poll_answered {store_outcome::done, row, 9, 10, 5ms}, start);
    step(state, handover_requested {9}, start);
    step(state, take_over_answered {store_outcome::refused, 0}, start);
    step(state, leadership_ticked {row.takenAt + 11s}, start);
    step(state, owner_poll_answered {store_outcome::done, row, 9, 10, 5ms}, start);
    const auto actions = step(state, handover_requested {9}, start);
    REQUIRE(hasAction<take_ownership>(actions));
    CHECK(std::get<take_ownership>(actions.front()).row.doubtfulTakeOvers == 0);
}

TEST_CASE("an owner's row tells when it was taken; the row of an earlier build doesn't")
{
    auto row = rowOn(weak);
    row.takenAt = 123'456ms;
    row.doubtfulTakeOvers = 2;
    CHECK(decodeOwner(encodeOwner(row)) == row);
    auto parsed = nlohmann::json::from_cbor(encodeOwner(row));
    parsed.erase(8);
    parsed.erase(8);
    std::string earlier;
    nlohmann::json::to_cbor(parsed, earlier);
    CHECK(decodeOwner(earlier) == rowOn(weak));
}
