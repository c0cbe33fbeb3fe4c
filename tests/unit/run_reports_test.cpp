#include "started_task_cell.h"

/// What an owner reports of runs whose end it concludes, and of second runs of a task, so that the log alone tells why
/// a task was started again.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// A worker has started the task and not listed it.
struct reporting_cell : started_task_cell
{
    reporting_cell()
    {
        answerStart(order_result::done);
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

TEST_CASE("the report of a failed job tells that a task had too many failed attempts")
{
    reporting_cell cell;
    std::int64_t number = 0;
    const auto maxFailures = cell.cell.state.jobs.at("job").accepted.queue.maxFailures;
    while (number < maxFailures) {
        cell.cell.answerList(cell.start.worker, {}, {{++number, cell.start.run, run_end::failed, ""}});
        for (int pass = 0; pass < 3 && number < maxFailures; ++pass) {
            cell.cell.advance(1s);
            const auto starts = cell.cell.runSchedulingPass();
            cell.start = starts.empty() ? cell.start : starts.front();
            cell.cell.confirmCommit();
        }
    }
    cell.cell.advance(100ms);
    cell.cell.runSchedulingPass();
    cell.cell.confirmCommit();
    const auto *report = cell.last<report_job_end>();
    REQUIRE(report != nullptr);
    CHECK(report->status == job_status::failed);
    CHECK(report->failure == job_failure::attempts);
}

TEST_CASE("a worker that was silent beyond its leases and answers in the same boot has its loss reported as taken back")
{
    reporting_cell cell;
    cell.cell.advance(20s);
    cell.cell.runSchedulingPass();
    cell.cell.confirmCommit();
    cell.cell.answerList(cell.start.worker, {});
    const auto *report = cell.last<report_loss_settled>();
    REQUIRE(report != nullptr);
    CHECK(report->run == cell.start.run);
    CHECK_FALSE(report->isProven);
    CHECK(report->counts == lost_workers {});
}
