#include "owned_cell.h"

#include <catch2/catch.hpp>

/// What an owner reports of runs whose end it concludes, and of second runs of a task, so that the log alone tells why
/// a task was started again.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};

/// A cell of two equal workers, with a task that one of them has started and not listed.
struct reporting_cell
{
    reporting_cell()
    {
        cell.addWorker(owned_cell::makeWorker("a", "r", wholeWorker));
        cell.addWorker(owned_cell::makeWorker("b", "r", wholeWorker));
        step_spec spec;
        spec.count = 1;
        spec.size = {1'000, 1'000, 0};
        spec.estimate = 800ms;
        cell.addJob(owned_cell::makeJob("job", {spec}));
        const auto starts = cell.runSchedulingPass();
        REQUIRE(starts.size() == 1);
        start = starts.front();
        answerStart(order_result::done);
    }

    void answerStart(order_result result)
    {
        step(cell.state, start_answered {start.worker, start.boot, start.run, result, cell.now}, cell.now,
             cell.actions);
    }

    worker_id other() const
    {
        return start.worker == "a" ? "b" : "a";
    }

    /// Returns the last report of this type, or nullptr.
    template<typename report>
    const report *last() const
    {
        const report *result = nullptr;
        for (const auto &each : cell.actions) {
            if (const auto *found = std::get_if<report>(&each)) {
                result = found;
            }
        }
        return result;
    }

    owned_cell cell;
    send_start start;
};

} // namespace

TEST_CASE("a run that is given up without a listed end is reported with what the owner knew of it")
{
    reporting_cell cell;
    cell.cell.advance(100ms);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}});
    cell.cell.advance(40ms);
    cell.cell.answerList(cell.start.worker, {}, {}, 2);
    const auto *report = cell.last<report_ended>();
    REQUIRE(report != nullptr);
    CHECK(report->how == "lost with its worker");
    REQUIRE(report->evidence);
    CHECK(report->evidence->boot == 1);
    CHECK(report->evidence->isShown);
    CHECK(report->evidence->isConfirmed);
    CHECK(report->evidence->sentAgo == 140ms);
    CHECK(report->evidence->heardAgo == 40ms);
}

TEST_CASE("an end that the worker lists is reported without evidence")
{
    reporting_cell cell;
    cell.cell.advance(100ms);
    cell.cell.answerList(cell.start.worker, {}, {{1, cell.start.run, run_end::failed, ""}});
    const auto *report = cell.last<report_ended>();
    REQUIRE(report != nullptr);
    CHECK(report->how == "failed");
    CHECK_FALSE(report->evidence);
    CHECK(cell.last<report_second_run>() == nullptr);
}

TEST_CASE("a second run of a task is reported with the run that the owner knows")
{
    reporting_cell cell;
    const run_id second {cell.start.run.task, 7};
    cell.cell.answerList(cell.other(), {{second, "", 10, 0}});
    const auto *report = cell.last<report_second_run>();
    REQUIRE(report != nullptr);
    CHECK(report->run == second);
    CHECK(report->worker == cell.other());
    CHECK_FALSE(report->hasEnded);
    CHECK(report->other == cell.start.run);
    CHECK(report->otherWorker == cell.start.worker);
}

TEST_CASE("a second successful end of a task is reported")
{
    reporting_cell cell;
    cell.cell.answerList(cell.start.worker, {}, {{1, cell.start.run, run_end::done, ""}});
    CHECK(cell.last<report_second_run>() == nullptr);
    cell.cell.answerList(cell.other(), {}, {{1, {cell.start.run.task, 7}, run_end::done, ""}});
    const auto *report = cell.last<report_second_run>();
    REQUIRE(report != nullptr);
    CHECK(report->hasEnded);
    CHECK(report->isTaskDone);
}

TEST_CASE("the log tells why a start was refused")
{
    reporting_cell cell;
    cell.answerStart(order_result::alreadyEnded);
    const auto *report = cell.last<report_ended>();
    REQUIRE(report != nullptr);
    CHECK(report->how == "start refused: old attempt");
}
