#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Supervision of late runs and of runs on unresponsive workers.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};

owned_cell makeCellOf(std::initializer_list<const char *> workers)
{
    owned_cell cell;
    for (const auto *id : workers) {
        cell.addWorker(owned_cell::makeWorker(id, "r", wholeWorker));
    }
    return cell;
}

step_spec makeStep(bool allowsCopies)
{
    step_spec step;
    step.count = 1;
    step.size = {1'000, 1'000, 0};
    step.estimate = 800ms;
    step.allowsCopies = allowsCopies;
    return step;
}

void acceptStart(owned_cell &cell, const send_start &start)
{
    step(cell.state, start_answered {start.worker, 1, start.run, order_result::done, cell.now}, cell.now, cell.actions);
}

/// Advances the time and then has both workers list their runs, @p start's with a progress of @p percent.
void advanceAndList(owned_cell &cell, std::chrono::milliseconds time, const send_start &start, std::int32_t percent)
{
    cell.advance(time);
    for (const auto *id : {"a", "b"}) {
        cell.answerList(id,
                        start.worker == id ? std::vector<listed_run> {{start.run, "", percent, 0}}
                                           : std::vector<listed_run> {});
    }
}

std::vector<run_id> stopsIn(const std::vector<cell_action> &actions)
{
    std::vector<run_id> result;
    for (const auto &action : actions) {
        if (const auto *stop = std::get_if<send_stop>(&action)) {
            result.push_back(stop->run);
        }
    }
    return result;
}

} // namespace

TEST_CASE("a run that takes far longer than estimated gets a copy on another worker if its step allows copies")
{
    for (const bool allowsCopies : {true, false}) {
        auto cell = makeCellOf({"a", "b"});
        cell.addJob(owned_cell::makeJob("job", {makeStep(allowsCopies)}));
        const auto first = cell.runSchedulingPass();
        REQUIRE(first.size() == 1);
        acceptStart(cell, first.front());
        advanceAndList(cell, 1s, first.front(), 20);
        CHECK(cell.runSchedulingPass().empty());
        advanceAndList(cell, 1'200ms, first.front(), 40);
        const auto copies = cell.runSchedulingPass();
        REQUIRE(copies.size() == (allowsCopies ? 1 : 0));
        if (allowsCopies) {
            CHECK(copies.front().worker != first.front().worker);
            CHECK(copies.front().run.attempt > first.front().run.attempt);
            advanceAndList(cell, 500ms, first.front(), 50);
            CHECK(cell.runSchedulingPass().empty());
        }
    }
}

TEST_CASE("a run on an unresponsive worker gets a copy at once, and the first end stops the other run")
{
    auto cell = makeCellOf({"a", "b"});
    cell.addJob(owned_cell::makeJob("job", {makeStep(true)}));
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    acceptStart(cell, first.front());
    cell.advance(300ms);
    list_answered lost;
    lost.worker = first.front().worker;
    lost.sentAt = cell.now;
    step(cell.state, lost, cell.now, cell.actions);
    const auto copies = cell.runSchedulingPass();
    REQUIRE(copies.size() == 1);
    CHECK(copies.front().worker != first.front().worker);
    acceptStart(cell, copies.front());
    cell.advance(800ms);
    cell.actions.clear();
    cell.answerList(copies.front().worker, {}, {{1, copies.front().run, run_end::done, ""}});
    const auto stops = stopsIn(cell.actions);
    CHECK(std::ranges::find(stops, first.front().run) != stops.end());
}
