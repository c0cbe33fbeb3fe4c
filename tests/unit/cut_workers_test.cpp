#include "crashing_cell.h"

#include <catch2/catch.hpp>

/// Workers that are cut off from the cell and from the platform's store, so that their leases expire and their entries
/// go, but run on: none has crashed, and no job fails for it.
using namespace primrosecroft;
using namespace std::chrono_literals;

// Guards against LOST: a worker that was cut off from the cell and the store counted as crashed, and what was to be
// taken back at its return was forgotten with it.
TEST_CASE("a job isn't given up because workers are cut off from the cell and the store and answer in the same boot")
{
    crashing_cell cell({"a", "b", "c", "d"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    for (int cuts = 0; cuts < 8; ++cuts) {
        cell.advanceAndList(1s);
        const auto worker = cell.workerOf("job");
        REQUIRE_FALSE(worker.empty());
        cell.cutOff(worker);
        REQUIRE_FALSE(cell.cell.state.workers.contains(worker));
        cell.comeBack(worker);
        CHECK(cell.losses("job").counts.proven == 0);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

// Guards against LOST: likewise, for workers that are cut off just after the start.
TEST_CASE("a job isn't given up because workers are cut off from the cell and the store just after its start")
{
    crashing_cell cell({"a", "b", "c", "d"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    for (int cuts = 0; cuts < 8; ++cuts) {
        const auto worker = cell.workerOf("job");
        REQUIRE_FALSE(worker.empty());
        cell.cutOff(worker);
        cell.comeBack(worker);
        CHECK(cell.losses("job").counts.proven == 0);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

// Guards against LOST: likewise, for workers that leave for good without a notice.
TEST_CASE("a job isn't given up because workers fall silent, leave the list and never answer again")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f", "g", "h"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    for (int losses = 0; losses < 6; ++losses) {
        cell.advanceAndList(1s);
        const auto worker = cell.workerOf("job");
        REQUIRE_FALSE(worker.empty());
        cell.cutOff(worker, 100s); // after three silent workers the next start waits for one of them for a while
        cell.boots.erase(worker);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a worker that was forgotten while silent counts as crashed once it is listed in another boot")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    const auto worker = cell.workerOf("job");
    cell.cutOff(worker);
    REQUIRE_FALSE(cell.cell.state.workers.contains(worker));
    REQUIRE(cell.losses("job").counts.proven == 0);
    ++cell.boots[worker];
    cell.comeBack(worker);
    CHECK(cell.losses("job").counts.proven == 1);
}

TEST_CASE("a worker that was forgotten while silent counts as crashed once another one answers at its address")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    const auto worker = cell.workerOf("job");
    cell.cutOff(worker);
    REQUIRE_FALSE(cell.cell.state.workers.contains(worker));
    REQUIRE(cell.losses("job").counts.proven == 0);
    auto next = owned_cell::makeWorker("next", "r", crashing_cell::wholeWorker);
    next.address = owned_cell::makeWorker(worker, "r", crashing_cell::wholeWorker).address;
    next.boot = crashing_cell::firstBoot + 1;
    step(cell.cell.state, worker_listed {next}, cell.cell.now, cell.cell.actions);
    cell.cell.answerList("next", {}, {}, next.boot);
    CHECK(cell.losses("job").counts.proven == 1);
}

TEST_CASE("a worker that was forgotten while silent counts as crashed under a run that it had survived before")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    cell.advanceAndList(500ms);
    cell.cutOff("a");
    REQUIRE(cell.losses("job").counts == lost_workers {0, 0, 1, 0});
    ++cell.boots["a"];
    cell.comeBack("a");
    CHECK(cell.losses("job").counts == lost_workers {0, 0, 1, 1});
}

// Guards against a next owner that keeps what silence has counted, or overlooks the crash that it stood for.
TEST_CASE("a next owner settles the losses that an earlier one had to leave open")
{
    job_progress progress;
    auto &task = progress.open[0].steps[0].tasks[0];
    task.lost = {1, 0, 0, 0};
    task.unsettled = {{7, "a", crashing_cell::firstBoot, owned_cell::makeWorker("a", "r", {}).address, loss_count::soon,
                       true, false}};
    progress = decodeProgress(encodeProgress(progress));
    const auto job = owned_cell::makeJob("job", {crashing_cell::makeStep(1)});
    crashing_cell cell({"b"});
    step(cell.cell.state, job_arrived {job, progress, 11, false}, cell.cell.now, cell.cell.actions);
    SECTION("the worker answers in the same boot")
    {
        cell.boots["a"] = crashing_cell::firstBoot;
        cell.comeBack("a");
        CHECK(cell.losses("job").counts == lost_workers {});
    }
    SECTION("the worker answers in another boot")
    {
        cell.boots["a"] = crashing_cell::firstBoot + 1;
        cell.comeBack("a");
        CHECK(cell.losses("job").counts == lost_workers {1, 1, 0, 1});
    }
    CHECK(cell.losses("job").unsettled.empty());
}

// Guards against a live worker's loss being proven by a stale entry of another id at its address.
TEST_CASE("a stale entry at the address of a silent worker doesn't prove its end when that worker itself answers")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    cell.cutOff("a");
    auto stale = owned_cell::makeWorker("stale", "r", crashing_cell::wholeWorker);
    stale.address = owned_cell::makeWorker("a", "r", {}).address;
    stale.boot = crashing_cell::firstBoot;
    step(cell.cell.state, worker_listed {stale}, cell.cell.now, cell.cell.actions);
    cell.cell.answerList("stale", {}, {}, crashing_cell::firstBoot);
    CHECK(cell.losses("job").counts.proven == 0);
}

// Guards against a crash that is forgotten because another worker of the same gang was only cut off.
TEST_CASE("the crash of one of a gang's workers counts though another one was only cut off")
{
    job_progress progress;
    auto &step = progress.open[0].steps[0];
    const auto address = [](const char *id) { return owned_cell::makeWorker(id, "r", {}).address; };
    step.tasks[0].lost = {1, 0, 0, 0};
    step.tasks[0].unsettled = {{7, "a", crashing_cell::firstBoot, address("a"), loss_count::soon, false, false}};
    step.tasks[1].lost = {1, 0, 0, 0};
    step.tasks[1].unsettled = {{7, "b", crashing_cell::firstBoot, address("b"), loss_count::soon, false, false}};
    auto gang = crashing_cell::makeStep(2);
    gang.isGang = true;
    crashing_cell cell({"c"});
    primrosecroft::step(cell.cell.state, job_arrived {owned_cell::makeJob("gang", {gang}), progress, 11, false},
                        cell.cell.now, cell.cell.actions);
    cell.boots["a"] = crashing_cell::firstBoot;
    cell.boots["b"] = crashing_cell::firstBoot + 1;
    cell.comeBack("a");
    CHECK(cell.losses("gang", 0).counts == lost_workers {});
    CHECK(cell.losses("gang", 1).counts == lost_workers {1, 0, 0, 0});
    cell.comeBack("b");
    CHECK(cell.losses("gang", 0).counts == lost_workers {});
    CHECK(cell.losses("gang", 1).counts == lost_workers {1, 0, 0, 1});
}

TEST_CASE("rows hold the unsettled losses of tasks and gangs, and are read without them")
{
    job_progress progress;
    auto &step = progress.open[0].steps[0];
    step.gangUnsettled = {{3, "a", 5, "a:80", loss_count::later, false, false}};
    step.tasks[1].unsettled = {{4, "b", 6, "b:80", loss_count::none, false, true}};
    step.tasks[2].lost = {1, 0, 0, 0};
    CHECK(decodeProgress(encodeProgress(progress)) == progress);
}

TEST_CASE("a task whose workers crash and are away for longer than their leases starts no more than five times")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f"});
    cell.cell.addJob(owned_cell::makeJob("deadly", {crashing_cell::makeStep(1)}));
    cell.startPending();
    int starts = 0;
    for (; starts < 12 && !cell.workerOf("deadly").empty(); ++starts) {
        const auto worker = cell.workerOf("deadly");
        cell.cutOff(worker);
        ++cell.boots[worker];
        cell.comeBack(worker);
    }
    CHECK(starts <= 5);
    CHECK(cell.hasFailed("deadly"));
}
