#include "cell/detail/workspace_limits.h"
#include "owned_cell.h"
#include "workspaces/workspace_usage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ranges>

/// What workspaces hold, and starts under their limits.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr row_version ownToken = 10; ///< of owned_cell

step_spec makeStep(std::int32_t count, std::int64_t milliCores, std::int64_t memoryMib = 100)
{
    step_spec step;
    step.count = count;
    step.size = {milliCores, memoryMib, 0};
    step.estimate = 800ms;
    return step;
}

accepted_job makeJob(const job_id &id, const workspace_name &workspace, const std::vector<step_spec> &steps)
{
    auto job = owned_cell::makeJob(id, steps);
    job.workspace = workspace;
    return job;
}

workspace_policies policiesWith(const resources &limit)
{
    return {{"a", {1, limit}}, {"b", {1, {}}}};
}

void configure(owned_cell &cell, const workspace_policies &policies)
{
    step(cell.state, workspaces_updated {policies}, cell.now, cell.actions);
}

/// A cell with two workers of 8 cores, and a limit of workspace a.
owned_cell makeLimitedCell(const resources &limit)
{
    owned_cell cell;
    configure(cell, policiesWith(limit));
    for (const auto *id : {"w1", "w2"}) {
        cell.addWorker(owned_cell::makeWorker(id, "r", {8'000, 16'000, 2}));
    }
    return cell;
}

void confirmStarts(owned_cell &cell, const std::vector<send_start> &starts)
{
    for (const auto &start : starts) {
        step(cell.state, start_answered {start.worker, 1, start.run, order_result::done, cell.now}, cell.now,
             cell.actions);
    }
}

} // namespace

TEST_CASE("a limit of 0 is none, and what needs nothing of a kind passes no limit of it")
{
    workspace_usage usage;
    addRun(usage, "a", {5'000, 100, 3});
    const auto cores = makeStep(4, 1'000);
    CHECK(startableTasks(usage, "a", {1, {}}, cores) == 4);
    CHECK(startableTasks(usage, "a", {1, {7'500, 0, 0}}, cores) == 2);
    CHECK(startableTasks(usage, "a", {1, {0, 0, 2}}, cores) == 4);
    CHECK(startableTasks(usage, "a", {1, {0, 150, 0}}, cores) == 0);
    CHECK(startableTasks(usage, "b", {1, {2'000, 0, 0}}, cores) == 2);
}

TEST_CASE("a gang may start whole or not at all, and never if it is larger than the limit")
{
    workspace_usage usage;
    auto gang = makeStep(3, 1'000);
    gang.isGang = true;
    CHECK(startableTasks(usage, "a", {1, {3'000, 0, 0}}, gang) == 3);
    CHECK_FALSE(canEverRun({1, {2'999, 0, 0}}, gang));
    addRun(usage, "a", {1, 0, 0});
    CHECK(startableTasks(usage, "a", {1, {3'000, 0, 0}}, gang) == 0);
    CHECK(canEverRun({1, {3'000, 0, 0}}, gang));
    CHECK_FALSE(canEverRun({1, {999, 0, 0}}, makeStep(1, 1'000)));
}

TEST_CASE("what may run unseen is bounded by the tasks and by the capacity of the workers that haven't told")
{
    workspace_usage usage;
    addUnseen(usage, "a", makeStep(1, 1'000), 5);
    usage.untoldCapacity.reset();
    CHECK(mostInUse(usage, "a") == resources {5'000, 500, 0});
    usage.untoldCapacity = resources {2'000, 16'000, 0};
    CHECK(mostInUse(usage, "a") == resources {2'000, 500, 0});
    CHECK(mostInUse(usage, "b") == resources {});
    usage.foreignCapacity = {300, 0, 0};
    CHECK(mostInUse(usage, "b") == resources {300, 0, 0});
    forgetUnseen(usage);
    CHECK(mostInUse(usage, "a") == resources {300, 0, 0});
}

TEST_CASE("unseen best-effort tasks count whatever the workers' capacity")
{
    workspace_usage usage;
    auto step = makeStep(2, 1'000);
    step.isBestEffort = true;
    addUnseen(usage, "a", step, 2);
    usage.untoldCapacity = resources {};
    CHECK(mostInUse(usage, "a") == resources {2'000, 0, 0});
}

TEST_CASE("a job wider than the limit runs in waves, others aren't kept waiting, and the figures are told")
{
    auto cell = makeLimitedCell({3'000, 0, 0});
    cell.addJob(makeJob("wide", "a", {makeStep(8, 1'000)}));
    cell.addJob(makeJob("other", "b", {makeStep(8, 1'000)}));
    const auto starts = cell.runSchedulingPass();
    CHECK(std::ranges::count(starts, "wide", [](const auto &each) { return each.run.task.job; }) == 3);
    CHECK(std::ranges::count(starts, "other", [](const auto &each) { return each.run.task.job; }) == 8);
    const auto reports = actionsOf<report_limit_reached>(cell.actions);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().waitingTasks == 5);
    CHECK(reports.front().running.milliCores == 3'000);
    CHECK(explainWaiting(cell.state, "wide", cell.now).find("over the limit of workspace a: milli-cores 3000 of 3000")
          != std::string::npos);
    CHECK(summarize(cell.state, cell.now).stepsOverLimit == 1);
    CHECK(cell.runSchedulingPass().empty());
    CHECK(actionsOf<report_limit_reached>(cell.actions).empty());
}

TEST_CASE("starts without an answer and runs that are being stopped count, also when their job's end is stored")
{
    auto cell = makeLimitedCell({3'000, 0, 0});
    cell.addJob(makeJob("first", "a", {makeStep(3, 1'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 3);
    step(cell.state, start_answered {starts[0].worker, 1, starts[0].run, order_result::lost, cell.now}, cell.now,
         cell.actions);
    cell.addJob(makeJob("second", "a", {makeStep(1, 1'000)}));
    CHECK(cell.runSchedulingPass().empty());
    step(cell.state, job_cancelled {"first"}, cell.now, cell.actions);
    cell.runSchedulingPass();
    cell.confirmCommit();
    REQUIRE(cell.state.jobs.at("first").isEndStored);
    CHECK(cell.runSchedulingPass().empty());
    const auto worker = starts[1].worker;
    cell.answerList(worker, {}, {{1, starts[1].run, run_end::stopped, ""}});
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a limit that is lowered below what runs lets nothing start until enough has ended")
{
    auto cell = makeLimitedCell({4'000, 0, 0});
    cell.addJob(makeJob("first", "a", {makeStep(4, 1'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 4);
    confirmStarts(cell, starts);
    configure(cell, policiesWith({2'000, 0, 0}));
    cell.addJob(makeJob("second", "a", {makeStep(4, 1'000)}));
    CHECK(cell.runSchedulingPass().empty());
    std::int64_t ended = 0;
    for (const auto &start : starts | std::views::take(3)) {
        ++ended;
        std::vector<listed_run> left;
        for (const auto &other : starts | std::views::drop(ended)) {
            if (other.worker == start.worker) {
                left.push_back({other.run, "", 0, 0});
            }
        }
        cell.answerList(start.worker, left, {{ended, start.run, run_end::done, ""}});
        CHECK(cell.runSchedulingPass().size() == (ended == 3 ? 1U : 0U));
    }
}

TEST_CASE("no task of a workspace starts before a configuration has told its limit")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w1", "r", {8'000, 16'000, 0}));
    cell.addJob(makeJob("first", "a", {makeStep(1, 1'000)}));
    cell.addJob(makeJob("second", "", {makeStep(1, 1'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run.task.job == "second");
    configure(cell, policiesWith({1'000, 0, 0}));
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a new owner charges a workspace with what may run unseen until the last worker has told")
{
    owned_cell cell;
    configure(cell, policiesWith({3'000, 0, 0}));
    cell.state.unreconciledWorkers = {"w1", "w2"};
    cell.state.inDoubtUntil = cell.now + 6s;
    step(cell.state, job_arrived {makeJob("old", "a", {makeStep(3, 1'000)}), {}, ownToken - 1, false}, cell.now,
         cell.actions);
    cell.addWorker(owned_cell::makeWorker("w1", "r", {8'000, 16'000, 0}));
    cell.addJob(makeJob("new", "a", {makeStep(3, 1'000)}));
    cell.advance(300ms); // what an earlier owner had stopped on the first worker is over
    cell.answerList("w1", {{{{"old", 0, 0, 0}, 1}, "", 0, 0}});
    CHECK(cell.runSchedulingPass().empty());
    CHECK(detail::startableTasks(cell.state, cell.state.jobs.at("new"), makeStep(3, 1'000)) == 0);
    cell.addWorker(owned_cell::makeWorker("w2", "r", {8'000, 16'000, 0}));
    cell.advance(300ms);
    cell.answerList("w1", {{{{"old", 0, 0, 0}, 1}, "", 0, 0}});
    cell.answerList("w2", {});
    CHECK(cell.runSchedulingPass().size() == 2); // nothing is unseen, and one task of the old job runs
}

TEST_CASE("a run of a job that is not known counts for each workspace with the free capacity of its worker")
{
    auto cell = makeLimitedCell({9'000, 0, 0});
    cell.answerList("w1", {{{{"gone", 0, 0, 0}, 1}, "", 0, 0}});
    cell.addJob(makeJob("first", "a", {makeStep(2, 1'000)}));
    CHECK(cell.runSchedulingPass().size() == 1);
    cell.advance(2s);
    cell.answerList("w1", {}, {{1, {{"gone", 0, 0, 0}, 1}, run_end::stopped, ""}});
    cell.answerList("w2", {{{{"first", 0, 0, 0}, 1}, "", 0, 0}});
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a worker that has left without a word is charged as one of the largest, not as all that waits")
{
    owned_cell cell;
    configure(cell, policiesWith({20'000, 0, 0}));
    cell.state.unreconciledWorkers = {"gone"};
    cell.state.inDoubtUntil = cell.now + 10s;
    step(cell.state, job_arrived {makeJob("old", "a", {makeStep(100, 1'000)}), {}, ownToken - 1, false}, cell.now,
         cell.actions);
    cell.addWorker(owned_cell::makeWorker("w1", "r", {8'000, 16'000, 0}));
    cell.addWorker(owned_cell::makeWorker("w2", "r", {8'000, 16'000, 0}));
    cell.addJob(makeJob("new", "a", {makeStep(16, 1'000)}));
    CHECK(cell.runSchedulingPass().size() == 12);
}

TEST_CASE("the objective of a job that is wider than its limit counts its waves, also after a change of the limit")
{
    auto cell = makeLimitedCell({2'000, 0, 0});
    cell.addJob(makeJob("wide", "a", {makeStep(5, 1'000)}));
    cell.addJob(makeJob("free", "", {makeStep(5, 1'000)}));
    const auto pathOf = [&](const job_id &id) {
        return cell.state.jobs.at(id).occurrences.at(0).steps.front().criticalPath;
    };
    CHECK(cell.state.jobs.at("wide").objective == 3 * 800ms * 2 + 500ms);
    CHECK(pathOf("wide") == 3 * pathOf("free"));
    configure(cell, policiesWith({}));
    CHECK(cell.state.jobs.at("wide").objective == 800ms * 2 + 500ms);
    CHECK(pathOf("wide") == pathOf("free"));
}

TEST_CASE("a step that waits for its limit asks for no advice, and one near it only for what may start")
{
    auto cell = makeLimitedCell({2'000, 0, 0});
    auto job = makeJob("wide", "a", {makeStep(8, 1'000)});
    job.queue.advice = advice_policy {10ms, 1ms, 2'000ms};
    cell.addJob(job);
    cell.runSchedulingPass();
    const auto requests = actionsOf<ask_advice>(cell.actions);
    REQUIRE(requests.size() == 1);
    advice_answered answer {requests.front().step, {"w1", "w2"}, true, {{"w1", "t"}}, 2'000ms, false, cell.now};
    step(cell.state, answer, cell.now, cell.actions);
    CHECK(cell.runSchedulingPass().size() == 2);
    cell.advance(1'700ms); // its ticket is about to expire
    CHECK(cell.runSchedulingPass().empty());
    CHECK(actionsOf<ask_advice>(cell.actions).empty());
}
