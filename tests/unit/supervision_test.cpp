#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Supervision of late runs, of runs on unresponsive workers, and of those on draining workers.
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

/// Advances the time so that supervision is due, runs a pass and returns the runs that it stops.
std::vector<run_id> stopsOfNextPass(owned_cell &cell)
{
    cell.advance(200ms);
    cell.runSchedulingPass();
    return stopsIn(cell.actions);
}

std::vector<listed_run> listAll(const std::vector<run_id> &runs, std::int32_t percent = 100)
{
    std::vector<listed_run> result;
    std::ranges::transform(runs, std::back_inserter(result),
                           [percent](const run_id &run) { return listed_run {run, "", percent, 0}; });
    return result;
}

void drain(owned_cell &cell, const worker_id &id, std::chrono::milliseconds remaining = 60s)
{
    auto worker = owned_cell::makeWorker(id, "r", wholeWorker);
    worker.isDraining = true;
    worker.remaining = remaining;
    step(cell.state, worker_listed {worker}, cell.now, cell.actions);
}

/// Starts the tasks that are pending and returns the number of starts.
std::int64_t startPending(owned_cell &cell)
{
    const auto starts = cell.runSchedulingPass();
    for (const auto &start : starts) {
        acceptStart(cell, start);
    }
    return std::ssize(starts);
}

/// Has all workers list all their runs, the first @p stalled of them with 10 percent and the others with @p percent.
/// Returns the runs.
std::vector<run_id> listRuns(owned_cell &cell, std::int64_t stalled, std::int32_t percent)
{
    std::vector<run_id> result;
    for (const auto &[id, worker] : cell.state.workers) {
        std::vector<listed_run> runs;
        for (const auto &[run, held] : worker.reservations) {
            runs.push_back({run, "", std::ssize(result) < stalled ? 10 : percent, 0});
            result.push_back(run);
        }
        cell.answerList(id, runs);
    }
    return result;
}

/// Lets the first @p stalled of all runs make no progress for long enough that they count as stalled.
std::vector<run_id> stallRuns(owned_cell &cell, std::int64_t stalled)
{
    listRuns(cell, stalled, 10);
    cell.advance(3'500ms);
    auto runs = listRuns(cell, stalled, 20);
    stopsOfNextPass(cell);
    return runs;
}

/// Adds a job of equal tasks, @p tasksPerWorker of which fill one worker, so that all workers are full.
void fillWorkers(owned_cell &cell, std::int32_t tasksPerWorker)
{
    auto work = makeStep(false);
    work.count = tasksPerWorker * static_cast<std::int32_t>(cell.state.workers.size());
    work.size.milliCores = wholeWorker.milliCores / tasksPerWorker;
    cell.addJob(owned_cell::makeJob("work", {work}));
    REQUIRE(startPending(cell) == work.count);
}

std::int64_t quarantinedCount(const owned_cell &cell)
{
    return std::ranges::count_if(cell.state.workers,
                                 [&cell](const auto &each) { return each.second.health.quarantinedUntil > cell.now; });
}

/// A service whose three tasks are at work on worker "a". Worker "b" is free.
struct service_cell
{
    owned_cell cell = makeCellOf({"a"});
    std::vector<run_id> runs;

    explicit service_cell(const decltype(step_spec::maxUnavailable) &maxUnavailable)
    {
        auto service = makeStep(false);
        service.count = 3;
        service.isService = true;
        service.maxUnavailable = maxUnavailable;
        cell.addJob(owned_cell::makeJob("service", {service}));
        for (const auto &start : cell.runSchedulingPass()) {
            acceptStart(cell, start);
            runs.push_back(start.run);
        }
        cell.addWorker(owned_cell::makeWorker("b", "r", wholeWorker));
        cell.advance(500ms);
        cell.answerList("a", listAll(runs));
    }
};

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
    advanceAndList(cell, 200ms, first.front(), 10); // so the worker has survived its start
    cell.advance(100ms);
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

TEST_CASE("a run that may be why its worker is unresponsive gets a copy as soon as that is stored")
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
    CHECK(cell.runSchedulingPass().empty());
    cell.confirmCommit();
    const auto copies = cell.runSchedulingPass();
    REQUIRE(copies.size() == 1);
    CHECK(copies.front().worker != first.front().worker);
}

TEST_CASE("a drain stops as many tasks of a service as may be unavailable, and the next ones when those are at work")
{
    service_cell service(1);
    auto &cell = service.cell;
    REQUIRE(service.runs.size() == 3);
    drain(cell, "a");
    const auto stopped = stopsOfNextPass(cell);
    REQUIRE(stopped.size() == 1);
    step(cell.state, stop_answered {"a", 1, stopped.front(), order_result::done, cell.now}, cell.now, cell.actions);
    std::erase(service.runs, stopped.front());
    cell.advance(300ms);
    cell.answerList("a", listAll(service.runs), {{1, stopped.front(), run_end::stopped, ""}});
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().worker == "b");
    acceptStart(cell, starts.front());
    CHECK(stopsOfNextPass(cell).empty());
    for (const std::int32_t percent : {60, 99}) {
        cell.answerList("a", listAll(service.runs));
        cell.answerList("b", listAll({starts.front().run}, percent));
        CHECK(stopsOfNextPass(cell).empty());
    }
    cell.answerList("a", listAll(service.runs));
    cell.answerList("b", listAll({starts.front().run}));
    const auto next = stopsOfNextPass(cell);
    REQUIRE(next.size() == 1);
    CHECK(next.front().task != stopped.front().task);
}

TEST_CASE("a drain stops no task of a service while others are away for another reason")
{
    service_cell service(1);
    auto &cell = service.cell;
    const auto failed = service.runs.front();
    service.runs.erase(service.runs.begin());
    cell.answerList("a", listAll(service.runs), {{1, failed, run_end::failed, ""}});
    drain(cell, "a");
    CHECK(stopsOfNextPass(cell).empty());
    cell.advance(1s); // it failed soon after its start, so it pauses
    cell.answerList("a", listAll(service.runs));
    cell.answerList("b", {});
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    acceptStart(cell, starts.front());
    cell.answerList("b", listAll({starts.front().run}));
    list_answered lost;
    lost.worker = "b";
    step(cell.state, lost, cell.now, cell.actions);
    CHECK(stopsOfNextPass(cell).empty());
    cell.answerList("b", listAll({starts.front().run}));
    cell.answerList("a", listAll(service.runs));
    CHECK(stopsOfNextPass(cell).size() == 1);
}

TEST_CASE("a drain stops no task of a service on the word of lists that are old")
{
    service_cell service(1);
    drain(service.cell, "a");
    service.cell.advance(5s); // as after a pause of the owner's process
    CHECK(stopsOfNextPass(service.cell).empty());
    service.cell.answerList("a", listAll(service.runs));
    CHECK(stopsOfNextPass(service.cell).size() == 1);
}

TEST_CASE("drains of two workers together stop no more tasks of a service than may be unavailable")
{
    for (const std::int32_t limit : {1, 2}) {
        service_cell service(limit);
        auto &cell = service.cell;
        const auto moved = service.runs.back();
        service.runs.pop_back();
        cell.answerList("a", listAll(service.runs), {{1, moved, run_end::stopped, ""}});
        const auto starts = cell.runSchedulingPass();
        REQUIRE(starts.size() == 1);
        acceptStart(cell, starts.front());
        for (const auto *id : {"a", "b"}) {
            drain(cell, id);
        }
        cell.answerList("a", listAll(service.runs));
        cell.answerList("b", listAll({starts.front().run}));
        CHECK(std::ssize(stopsOfNextPass(cell)) == limit);
        CHECK(stopsOfNextPass(cell).empty());
    }
}

TEST_CASE("a drain stops no task of a service that may miss none, and all tasks of one without a limit")
{
    service_cell none(0);
    drain(none.cell, "a", 1s);
    for (int pass = 0; pass < 5; ++pass) {
        CHECK(stopsOfNextPass(none.cell).empty());
        none.cell.answerList("a", listAll(none.runs));
    }
    service_cell unlimited({});
    drain(unlimited.cell, "a");
    CHECK(stopsOfNextPass(unlimited.cell).size() == 3);
}

TEST_CASE("stalled runs quarantine no more than a quarter of the workers")
{
    auto cell = makeCellOf({"a", "b", "c", "d", "e", "f", "g", "h"});
    fillWorkers(cell, 2);
    stallRuns(cell, 16);
    CHECK(quarantinedCount(cell) == 2);
}

TEST_CASE("a worker is quarantined again only after as many new stalls as the first time")
{
    auto cell = makeCellOf({"a"});
    fillWorkers(cell, 4);
    std::vector<listed_end> ends;
    for (const auto &run : stallRuns(cell, 4)) {
        ends.push_back({std::ssize(ends) + 1, run, run_end::stopped, ""});
    }
    CHECK(quarantinedCount(cell) == 1);
    cell.advance(7s);
    cell.answerList("a", {}, ends);
    CHECK(quarantinedCount(cell) == 0);
    REQUIRE(startPending(cell) == 4);
    stallRuns(cell, 1);
    CHECK(quarantinedCount(cell) == 0);
    stallRuns(cell, 2); // the second run stalls now
    CHECK(quarantinedCount(cell) == 1);
}

TEST_CASE("a drain stops tasks that save progress shortly before its end, but no at-most-once task")
{
    for (const bool isAtMostOnce : {false, true}) {
        auto cell = makeCellOf({"a"});
        auto work = makeStep(false);
        work.savesProgress = true;
        work.isAtMostOnce = isAtMostOnce;
        work.estimate = 60s;
        cell.addJob(owned_cell::makeJob("work", {work}));
        if (isAtMostOnce) {
            cell.runSchedulingPass();
            cell.confirmCommit();
            cell.advance(50ms);
        }
        REQUIRE(startPending(cell) == 1);
        drain(cell, "a", 2s);
        CHECK(stopsOfNextPass(cell).empty());
        cell.advance(800ms);
        CHECK(stopsOfNextPass(cell).size() == (isAtMostOnce ? 0 : 1));
    }
}

TEST_CASE("a drain's stop that got no answer is not sent again while other tasks of the service are away")
{
    service_cell service(1);
    auto &cell = service.cell;
    drain(cell, "a");
    const auto stopped = stopsOfNextPass(cell);
    REQUIRE(stopped.size() == 1);
    step(cell.state, stop_answered {"a", 1, stopped.front(), order_result::lost, cell.now}, cell.now, cell.actions);
    const auto failed = service.runs.front() == stopped.front() ? service.runs.back() : service.runs.front();
    std::erase(service.runs, failed);
    cell.answerList("a", listAll(service.runs), {{1, failed, run_end::failed, ""}});
    cell.advance(1'100ms);
    cell.actions.clear();
    cell.answerList("a", listAll(service.runs));
    cell.answerList("b", {});
    CHECK(stopsIn(cell.actions).empty());
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    acceptStart(cell, starts.front());
    CHECK(stopsIn(cell.actions).empty());
    CHECK(stopsOfNextPass(cell).empty());
    SECTION("it is sent when they are at work again")
    {
        cell.answerList("b", listAll({starts.front().run}));
        CHECK(stopsOfNextPass(cell) == stopped);
    }
    SECTION("it is sent at once when the job is cancelled")
    {
        cell.actions.clear();
        step(cell.state, job_cancelled {"service"}, cell.now, cell.actions);
        CHECK(stopsIn(cell.actions).size() == 3);
    }
}
