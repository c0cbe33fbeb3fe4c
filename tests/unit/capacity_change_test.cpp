#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Workers whose capacity shrinks and grows again while they run, in the same boot.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};

step_spec makeStep(std::int32_t count, std::int64_t milliCores)
{
    step_spec step;
    step.count = count;
    step.size = {milliCores, 1'000, 0};
    step.estimate = 800ms;
    return step;
}

owned_cell makeCellOf(std::initializer_list<const char *> workers)
{
    owned_cell cell;
    for (const auto *id : workers) {
        cell.addWorker(owned_cell::makeWorker(id, "r", wholeWorker));
    }
    return cell;
}

/// The platform lists the worker with another capacity.
void changeCapacity(owned_cell &cell, const worker_id &id, std::int64_t milliCores)
{
    step(cell.state, worker_listed {owned_cell::makeWorker(id, "r", {milliCores, wholeWorker.memoryMib, 0})}, cell.now,
         cell.actions);
}

} // namespace

TEST_CASE("nothing starts beyond a capacity that has shrunk, and starts under way count against it")
{
    auto cell = makeCellOf({"a"});
    cell.addJob(owned_cell::makeJob("first", {makeStep(2, 2'000)}));
    REQUIRE(cell.runSchedulingPass().size() == 2); // not answered yet
    changeCapacity(cell, "a", 5'000);
    cell.addJob(owned_cell::makeJob("second", {makeStep(1, 2'000)}));
    CHECK(cell.runSchedulingPass().empty());
    changeCapacity(cell, "a", 6'000);
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a run that is being stopped counts against a capacity that has shrunk below what is used")
{
    auto cell = makeCellOf({"a"});
    cell.addJob(owned_cell::makeJob("first", {makeStep(2, 3'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 2);
    for (const auto &start : starts) {
        step(cell.state, start_answered {"a", 1, start.run, order_result::done, cell.now}, cell.now, cell.actions);
    }
    changeCapacity(cell, "a", 2'000); // 4,000 fewer than what runs
    step(cell.state, job_cancelled {"first"}, cell.now, cell.actions);
    for (const auto &start : starts) {
        step(cell.state, stop_answered {"a", 1, start.run, order_result::done, cell.now}, cell.now, cell.actions);
    }
    cell.addJob(owned_cell::makeJob("second", {makeStep(1, 1'000)}));
    CHECK(cell.runSchedulingPass().empty());
    cell.answerList("a", {}, {{1, starts[0].run, run_end::stopped, ""}, {2, starts[1].run, run_end::stopped, ""}});
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a step for which no worker is large enough any more waits, and starts when one has grown back")
{
    auto cell = makeCellOf({"a", "b"});
    changeCapacity(cell, "a", 1'000);
    changeCapacity(cell, "b", 1'000);
    cell.addJob(owned_cell::makeJob("large", {makeStep(1, 7'000)}));
    cell.addJob(owned_cell::makeJob("small", {makeStep(1, 1'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run.task.job == "small");
    cell.advance(20s);
    cell.answerList("a", {});
    cell.answerList("b", {});
    changeCapacity(cell, "a", 8'000);
    changeCapacity(cell, "b", 8'000);
    const auto later = cell.runSchedulingPass();
    CHECK(std::ranges::any_of(later, [](const send_start &each) { return each.run.task.job == "large"; }));
    CHECK_FALSE(cell.state.jobs.at("large").hasFailed);
}

TEST_CASE("a gang doesn't start on workers that have shrunk below what they run")
{
    auto cell = makeCellOf({"a", "b"});
    cell.addJob(owned_cell::makeJob("first", {makeStep(2, 3'000)}));
    REQUIRE(cell.runSchedulingPass().size() == 2);
    changeCapacity(cell, "a", 2'000);
    changeCapacity(cell, "b", 2'000);
    auto gang = makeStep(3, 1'000);
    gang.isGang = true;
    cell.addJob(owned_cell::makeJob("gang", {gang}));
    CHECK(cell.runSchedulingPass().empty());
}
