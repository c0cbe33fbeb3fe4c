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
        cell.cutOff(worker);
        cell.boots.erase(worker);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a worker that was forgotten while silent counts as crashed once it is listed in another boot")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    const auto worker = cell.workerOf("job");
    cell.cutOff(worker);
    REQUIRE_FALSE(cell.cell.state.workers.contains(worker));
    ++cell.boots[worker];
    cell.comeBack(worker);
    CHECK(cell.losses("job").counts.proven == 1);
}

TEST_CASE("a worker that was forgotten while silent counts as crashed once another one answers at its address")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    cell.startPending();
    const auto worker = cell.workerOf("job");
    cell.cutOff(worker);
    REQUIRE_FALSE(cell.cell.state.workers.contains(worker));
    auto next = owned_cell::makeWorker("next", "r", crashing_cell::wholeWorker);
    next.address = owned_cell::makeWorker(worker, "r", crashing_cell::wholeWorker).address;
    step(cell.cell.state, worker_listed {next}, cell.cell.now, cell.cell.actions);
    cell.cell.answerList("next", {});
    CHECK(cell.losses("job").counts.proven == 1);
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
