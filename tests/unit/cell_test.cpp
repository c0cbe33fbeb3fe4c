#include "cell_emulation.h"
#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// The owner's core in virtual time, one scene a case.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

emulation_settings calm(std::size_t workers = 4)
{
    emulation_settings settings;
    settings.faults = 0;
    settings.workers = workers;
    return settings;
}

accepted_job makeJob(const std::string &id, std::vector<step_spec> steps)
{
    accepted_job job;
    job.id = id;
    job.queue = {"queue", "pool", 0, 2, 2, 500ms, std::nullopt};
    job.spec.steps = std::move(steps);
    return job;
}

step_spec makeStep(std::int32_t count, std::chrono::milliseconds estimate)
{
    step_spec step;
    step.count = count;
    step.size = {2'000, 1'000, 0};
    step.estimate = estimate;
    return step;
}

} // namespace

TEST_CASE("a job of two steps ends complete, the second step after the first")
{
    cell_emulation emulation(calm());
    emulation.runFor(2s);
    auto second = makeStep(3, 300ms);
    second.after = {0};
    emulation.submit(makeJob("a", {makeStep(5, 400ms), second}));
    emulation.runFor(3s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a task that fails as often as its queue allows fails its job")
{
    cell_emulation emulation(calm());
    emulation.behaviour = [](const run_id &, const step_spec &step) {
        return task_behaviour {step.estimate, true, false, 0};
    };
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(2, 200ms)}));
    emulation.runFor(6s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::failed);
}

TEST_CASE("tasks of a worker that fell silent start elsewhere when its leases have run out")
{
    cell_emulation emulation(calm(2));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 1s)}));
    emulation.runFor(200ms);
    emulation.cutWorker(0, 60s);
    emulation.cutWorker(1, 200ms);
    emulation.runFor(10s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a worker that comes back smaller gets no task before it has said its size")
{
    cell_emulation emulation(calm(1));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 2s)}));
    emulation.runFor(300ms);
    emulation.rebootWorker(0, 4'000);
    emulation.runFor(6s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a killed owner is followed within two seconds, and its tasks run on")
{
    cell_emulation emulation(calm());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(6, 3s)}));
    emulation.runFor(500ms);
    const auto first = emulation.owner();
    emulation.killOwner(20s);
    emulation.runFor(2s);
    CHECK_FALSE(emulation.owner().empty());
    CHECK(emulation.owner() != first);
    emulation.runFor(2s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a frozen owner that wakes gives no order that counts")
{
    cell_emulation emulation(calm());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(6, 2s)}));
    emulation.runFor(300ms);
    emulation.freezeOwner(5s);
    emulation.runFor(100ms);
    emulation.submit(makeJob("b", {makeStep(6, 1s)}));
    emulation.runFor(12s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
    CHECK(emulation.storedEnd("b") == job_status::complete);
}

TEST_CASE("a store that is out for less than a lease costs no run")
{
    cell_emulation emulation(calm());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 6s)}));
    emulation.runFor(500ms);
    emulation.storeDown(4s);
    emulation.runFor(8s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a cancelled job is stored as cancelled and its tasks are stopped")
{
    cell_emulation emulation(calm());
    emulation.runFor(2s);
    auto lasting = makeStep(3, 0ms);
    lasting.isService = true;
    emulation.submit(makeJob("a", {lasting}));
    emulation.runFor(1s);
    CHECK_FALSE(emulation.storedEnd("a"));
    emulation.cancel("a");
    emulation.runFor(1s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::cancelled);
}

TEST_CASE("the room of a cancelled job's tasks is given out again once their ends are listed")
{
    cell_emulation emulation(calm(1));
    emulation.runFor(2s);
    auto lasting = makeStep(4, 0ms);
    lasting.isService = true;
    emulation.submit(makeJob("a", {lasting}));
    emulation.runFor(1s);
    emulation.cancel("a");
    emulation.submit(makeJob("b", {makeStep(4, 300ms)}));
    emulation.runFor(3s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::cancelled);
    CHECK(emulation.storedEnd("b") == job_status::complete);
}

TEST_CASE("a worker that refuses connections may run on: its tasks start elsewhere when its leases have run out")
{
    cell_emulation emulation(calm(2));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 5s)}));
    emulation.runFor(500ms);
    emulation.refuseWorker(0, 4s);
    emulation.refuseWorker(1, 1s);
    emulation.runFor(20s);
    CHECK(emulation.breach().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("ends of an earlier boot that are stored late don't let the next boot forget its own")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    cell.addJob(makeJob("a", {makeStep(2, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 2);
    cell.list("w", {}, {{5, starts.front().run, run_end::done, ""}});
    cell.pass(50ms);
    cell.runSchedulingPass(); // the record of that end leaves
    cell.list("w", {}, {}, 2); // the worker has started anew under its id
    cell.store();
    cell.pass(200ms);
    cell.runSchedulingPass();
    REQUIRE(cell.state.workers.contains("w"));
    CHECK(cell.state.workers.at("w").acknowledgedEnd == 0);
}

TEST_CASE("a draining worker on which nothing is left leaves the book, and takes nothing before it stands there again")
{
    owned_cell cell;
    auto worker = owned_cell::makeWorker("w", "r", {8'000, 16'000, 0});
    cell.addWorker(worker);
    cell.addWorker(owned_cell::makeWorker("other", "r", {8'000, 16'000, 0}));
    cell.runSchedulingPass();
    cell.store();
    worker.draining = true;
    step(cell.state, worker_listed {worker}, cell.now, cell.actions);
    cell.pass(50ms);
    cell.runSchedulingPass(); // the smaller book leaves
    worker.draining = false;
    step(cell.state, worker_listed {worker}, cell.now, cell.actions);
    cell.addJob(makeJob("a", {makeStep(8, 400ms)}));
    for (const auto &start : cell.runSchedulingPass()) {
        CHECK(start.worker == "other");
    }
    cell.store();
    CHECK_FALSE(cell.state.contactedWorkers.contains("w"));
    cell.pass(50ms);
    cell.runSchedulingPass(); // it is booked again
    cell.store();
    cell.pass(50ms);
    CHECK(cell.state.contactedWorkers.contains("w"));
    CHECK_FALSE(cell.runSchedulingPass().empty());
}

TEST_CASE("what may have copies needn't wait for a worker that a new owner can't reach")
{
    owned_cell cell;
    cell.state.unreconciledWorkers = {"gone"};
    cell.state.inDoubtUntil = cell.now + 6s;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    auto copied = makeStep(1, 400ms);
    copied.allowsCopies = true;
    step(cell.state, job_arrived {makeJob("old", {makeStep(1, 400ms)}), {}, 5, false}, cell.now, cell.actions);
    step(cell.state, job_arrived {makeJob("copied", {copied}), {}, 5, false}, cell.now, cell.actions);
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run.task.job == "copied");
}

TEST_CASE("a worker that a new owner hasn't heard of yet is asked again soon, as all older work waits for it")
{
    owned_cell cell;
    step(cell.state, worker_listed {owned_cell::makeWorker("w", "r", {8'000, 16'000, 0})}, cell.now, cell.actions);
    const auto lists = [&cell] {
        cell.runSchedulingPass();
        return std::ranges::count_if(cell.actions,
                                     [](const auto &each) { return std::holds_alternative<send_list>(each); });
    };
    REQUIRE(lists() == 1);
    const auto first =
        std::ranges::find_if(cell.actions, [](const auto &each) { return std::holds_alternative<send_list>(each); });
    CHECK(std::get<send_list>(*first).timeout <= 400ms);
    list_answered lost;
    lost.worker = "w";
    lost.sentAt = cell.now;
    step(cell.state, lost, cell.now, cell.actions);
    cell.pass(30ms);
    CHECK(lists() == 1);
}
