#include "placing_cell.h"

#include <catch2/catch.hpp>
#include <utility>

/// Tasks that have failed or stalled on a worker rather go to others, as long as these may have room.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// Two workers: most of the first one is taken by a task that runs on, and the task of the job `job` runs on the other
/// one, for which alone it has room.
struct cell_with_one_free_worker
{
    explicit cell_with_one_free_worker(const step_spec &spec)
        : cell(makeCellOf({"a", "b"}))
    {
        filler = startOnly("filler", makeStep(1, 7'000));
        first = startOnly("job", spec);
        REQUIRE(first.worker != filler.worker);
    }

    send_start startOnly(const job_id &id, const step_spec &spec)
    {
        cell.addJob(owned_cell::makeJob(id, {spec}));
        const auto starts = cell.runSchedulingPass();
        REQUIRE(starts.size() == 1);
        step(cell.state, start_answered {starts.front().worker, 1, starts.front().run, order_result::done, cell.now},
             cell.now, cell.actions);
        return starts.front();
    }

    /// The task's run ends after @p time.
    void endFirst(run_end how, std::chrono::milliseconds time)
    {
        cell.advance(time);
        cell.answerList(first.worker, {}, {{1, first.run, how, ""}});
        listFiller();
    }

    void listFiller()
    {
        cell.answerList(filler.worker,
                        isFillerRunning ? std::vector<listed_run> {{filler.run, "", ++percent, 0}}
                                        : std::vector<listed_run> {});
    }

    /// Runs passes while the workers list what runs there, until the task starts. Returns its start.
    std::vector<send_start> passesFor(std::chrono::milliseconds time)
    {
        std::vector<send_start> starts;
        for (const auto end = cell.now + time; cell.now < end && starts.empty();) {
            starts = cell.runSchedulingPass();
            cell.confirmCommit();
            cell.advance(100ms);
            cell.answerList(first.worker, {});
            cell.answerList(filler.worker,
                            isFillerRunning ? std::vector<listed_run> {{filler.run, "", ++percent, 0}}
                                            : std::vector<listed_run> {});
        }
        return starts;
    }

    owned_cell cell;
    send_start filler;
    send_start first;
    bool isFillerRunning = true;
    std::int32_t percent = 0;
};

step_spec makeTask(bool isService)
{
    auto result = makeStep(1, 2'000);
    result.isService = isService;
    return result;
}

} // namespace

// Guards against LOST: a task waited without end for room elsewhere, beside the empty worker on which it had failed.
TEST_CASE("a task that avoids the only worker with room starts there within 3 s")
{
    const bool isService = GENERATE(true, false);
    cell_with_one_free_worker cell(makeTask(isService));
    cell.endFirst(run_end::failed, 700ms);
    const auto again = cell.passesFor(3s);
    REQUIRE(again.size() == 1);
    CHECK(again.front().worker == cell.first.worker);
}

TEST_CASE("a task whose run stalled on the only worker with room starts there within 3 s")
{
    cell_with_one_free_worker cell(makeTask(false));
    auto &task = cell.cell.state.jobs.at("job").occurrences.at(0).steps.front().tasks.front();
    task.avoidedWorkers = {cell.first.worker}; // as its supervision does before it stops the run
    cell.endFirst(run_end::stopped, 4s);
    const auto again = cell.passesFor(3s);
    REQUIRE(again.size() == 1);
    CHECK(again.front().worker == cell.first.worker);
}

TEST_CASE("a task that failed on a worker goes to another one that gets room soon after")
{
    cell_with_one_free_worker cell(makeTask(false));
    cell.endFirst(run_end::failed, 700ms);
    CHECK(cell.passesFor(1s).empty());
    cell.isFillerRunning = false;
    cell.cell.answerList(cell.filler.worker, {}, {{1, cell.filler.run, run_end::done, ""}});
    const auto again = cell.passesFor(500ms);
    REQUIRE(again.size() == 1);
    CHECK(again.front().worker == cell.filler.worker);
}

TEST_CASE("a copy doesn't go to a worker that its task avoids")
{
    auto spec = makeTask(false);
    spec.allowsCopies = true;
    cell_with_one_free_worker cell(spec);
    auto &task = cell.cell.state.jobs.at("job").occurrences.at(0).steps.front().tasks.front();
    task.avoidedWorkers = {cell.filler.worker};
    cell.isFillerRunning = false;
    cell.cell.answerList(cell.filler.worker, {}, {{1, cell.filler.run, run_end::done, ""}});
    for (int seconds = 0; seconds < 8; ++seconds) {
        cell.cell.advance(1s);
        cell.cell.answerList(cell.first.worker, {{cell.first.run, "", seconds, 0}});
        cell.cell.answerList(cell.filler.worker, {});
        CHECK(cell.cell.runSchedulingPass().empty());
        cell.cell.confirmCommit();
    }
}
