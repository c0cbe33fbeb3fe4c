#include "jobs/job_rows.h"
#include "placing_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

/// Placement of tasks on workers. Each case covers one rule.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// Returns a job of one service task that has been accepted before the owner's take-over.
job_arrived storedService()
{
    auto service = makeStep(1);
    service.isService = true;
    return {owned_cell::makeJob("service", {service}), {}, 1, false};
}

owned_cell makeOwnerOfTerm(std::int64_t term, const job_arrived &job)
{
    auto cell = makeCellOf({"a"});
    cell.state.takeOver.term = term;
    step(cell.state, job, cell.now, cell.actions);
    return cell;
}

/// Runs a pass and stores its changes. Keeps the job's progress in @p job as the next owner will read it.
std::vector<send_start> passAndStore(owned_cell &cell, job_arrived &job)
{
    auto starts = cell.runSchedulingPass();
    for (const auto &action : cell.actions) {
        const auto *rows = std::get_if<commit_rows>(&action);
        for (const auto &write : rows == nullptr ? std::vector<row_write> {} : rows->transaction.writes) {
            if (write.place == progressPlace(job.job.id)) {
                job.progress = decodeProgress(write.value);
            }
        }
    }
    cell.confirmCommit();
    return starts;
}

/// Starts the service's only task @p count times; each run fails after 2 s. Returns the attempt numbers.
std::vector<std::uint32_t> restartService(owned_cell &cell, job_arrived &job, std::int64_t count)
{
    std::vector<std::uint32_t> attempts;
    for (std::int64_t pass = 0; pass < 2 * count && std::ssize(attempts) < count; ++pass) {
        const auto starts = passAndStore(cell, job);
        cell.advance(100ms);
        if (starts.empty()) {
            continue;
        }
        const auto &run = starts.front().run;
        attempts.push_back(run.attempt);
        step(cell.state, start_answered {"a", 1, run, order_result::done, cell.now}, cell.now, cell.actions);
        cell.advance(2s);
        cell.answerList("a", {}, {{cell.state.workers.at("a").processedEnd + 1, run, run_end::failed, ""}});
    }
    return attempts;
}

step_spec makeOnceGang()
{
    auto gang = makeStep(2, 8'000);
    gang.isGang = true;
    gang.isAtMostOnce = true;
    return gang;
}

/// Starts both members of an at-most-once gang, each on a worker of its own.
std::vector<send_start> startOnceGang(owned_cell &cell)
{
    cell.addJob(owned_cell::makeJob("once", {makeOnceGang()}));
    cell.runSchedulingPass();
    cell.confirmCommit();
    cell.advance(50ms);
    auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 2);
    for (const auto &each : starts) {
        step(cell.state, start_answered {each.worker, 1, each.run, order_result::done, cell.now}, cell.now,
             cell.actions);
    }
    cell.advance(500ms);
    return starts;
}

/// Returns the cell of a process that takes over at @p now and whose only worker answers at once.
owned_cell makeNextOwner(instant now, const job_arrived &job)
{
    owned_cell cell;
    cell.advance(std::chrono::duration_cast<std::chrono::milliseconds>(now - cell.now));
    cell_take_over takeOver;
    takeOver.token = 10;
    takeOver.takenAt = cell.now;
    takeOver.contactedWorkers = {"a"};
    cell.state = makeCell({}, takeOver);
    step(cell.state, clock_ticked {cell.timeOfDay, 100s, 1}, cell.now, cell.actions);
    step(cell.state, job, cell.now, cell.actions);
    cell.addWorker(owned_cell::makeWorker("a", "r-a", wholeWorker));
    return cell;
}

/// Serves a backlog of urgent tasks of 300 ms on the worker until @p end. Returns when a task of the service started.
std::optional<instant> serveUrgentJobs(owned_cell &cell, instant end)
{
    for (int number = 0; number < 4; ++number) {
        cell.addJob(owned_cell::makeJob("urgent-" + std::to_string(number), {makeStep(40)}));
    }
    std::vector<listed_end> ends;
    auto number = cell.state.workers.at("a").processedEnd;
    for (; cell.now < end; cell.advance(300ms)) {
        cell.answerList("a", {}, std::exchange(ends, {}));
        const auto starts = cell.runSchedulingPass();
        if (std::ranges::any_of(starts, [](const auto &each) { return each.run.task.job == "service"; })) {
            return cell.now;
        }
        std::ranges::transform(starts, std::back_inserter(ends), [&number](const auto &start) {
            return listed_end {++number, start.run, run_end::done, ""};
        });
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("tasks start only on workers that have the required label, pool and failure domain")
{
    auto cell = makeCellOf({"a", "b", "c", "d"});
    auto labelled = owned_cell::makeWorker("b", "r-b", wholeWorker);
    labelled.labels = {"big", "r-b"};
    auto otherDomain = owned_cell::makeWorker("c", "r-c", wholeWorker);
    otherDomain.failureDomain = "dyce";
    auto otherPool = owned_cell::makeWorker("d", "r-d", wholeWorker);
    otherPool.pool = "other";
    for (const auto &each : {labelled, otherDomain, otherPool}) {
        cell.addWorker(each);
    }
    auto big = makeStep(2);
    big.label = "big";
    auto far = makeStep(2);
    far.failureDomain = "dyce";
    cell.addJob(owned_cell::makeJob("big", {big}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"b"});
    cell.addJob(owned_cell::makeJob("far", {far}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"c"});
    cell.addJob(owned_cell::makeJob("many", {makeStep(40)}));
    CHECK_FALSE(workersOf(cell.runSchedulingPass()).contains("d"));
}

TEST_CASE("no worker gets more tasks than fit its capacity")
{
    auto cell = makeCellOf({"a", "b"});
    cell.addJob(owned_cell::makeJob("many", {makeStep(40, 3'000)}));
    const auto starts = cell.runSchedulingPass();
    CHECK(starts.size() == 4);
    CHECK(std::ranges::count(starts, "a", &send_start::worker) == 2);
    auto memory = makeStep(40, 100);
    memory.size.memoryMib = 15'000;
    cell.addJob(owned_cell::makeJob("memory", {memory}));
    CHECK(cell.runSchedulingPass().empty());
}

TEST_CASE("a step's limit of tasks on one worker is kept")
{
    auto cell = makeCellOf({"a", "b", "c"});
    auto limited = makeStep(5);
    limited.maxPerWorker = 1;
    cell.addJob(owned_cell::makeJob("apart", {limited}));
    const auto starts = cell.runSchedulingPass();
    CHECK(starts.size() == 3);
    CHECK(workersOf(starts).size() == 3);
}

TEST_CASE("tasks start in the rack of their data while it has free capacity, then elsewhere")
{
    auto cell = makeCellOf({"a", "b"});
    auto near = makeStep(10);
    near.dataRack = "r-b";
    cell.addJob(owned_cell::makeJob("near", {near}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 10);
    CHECK(std::ranges::count(starts, "b", &send_start::worker) == 8);
    CHECK(starts.front().worker == "b");
}

TEST_CASE("a step that wants one rack gets the one with free capacity for most of its tasks")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("a", "left", {4'000, 16'000, 0}));
    cell.addWorker(owned_cell::makeWorker("b", "right", {4'000, 16'000, 0}));
    cell.addWorker(owned_cell::makeWorker("c", "right", {4'000, 16'000, 0}));
    auto together = makeStep(8);
    together.prefersSameRack = true;
    cell.addJob(owned_cell::makeJob("together", {together}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"b", "c"});
}

TEST_CASE("a queue with a higher priority is served first, whatever the order of arrival")
{
    auto cell = makeCellOf({"a"});
    cell.addJob(owned_cell::makeJob("later", {makeStep(8)}, 1));
    cell.addJob(owned_cell::makeJob("first", {makeStep(8)}, 0));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 8);
    CHECK(std::ranges::all_of(starts, [](const send_start &each) { return each.run.task.job == "first"; }));
}

TEST_CASE("a job that can still meet its objective goes before one that no longer can")
{
    auto cell = makeCellOf({"a"});
    cell.addJob(owned_cell::makeJob("late", {makeStep(1, 8'000)}));
    cell.advance(1'600ms); // of an objective of 2.5 s, for a task of 1 s
    cell.addJob(owned_cell::makeJob("new", {makeStep(1, 8'000)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().run.task.job == "new");
}

TEST_CASE("jobs that arrive after a burst are not late because of its backlog")
{
    constexpr auto interval = 280ms; // for four workers of one task of 1 s each, so that nine tenths are in use
    auto cell = makeCellOf({"a", "b", "c", "d"});
    std::map<run_id, std::pair<worker_id, instant>> running;
    std::map<job_id, instant> arrivals;
    std::set<job_id> inTime;
    std::int64_t lastEnd = 0;
    const auto begin = cell.now;
    const auto submit = [&](const std::string &id) {
        arrivals[id] = cell.now;
        cell.addJob(owned_cell::makeJob(id, {makeStep(1, 8'000)}));
    };
    for (int i = 0; i < 60; ++i) {
        submit("burst" + std::to_string(i));
    }
    for (int i = 0; cell.now < begin + 20s; ++i) {
        submit("new" + std::to_string(i));
        for (const auto until = cell.now + interval; cell.now < until; cell.advance(20ms)) {
            for (const auto &[run, place] : std::map(running)) {
                if (cell.now >= place.second + 1s) {
                    cell.answerList(place.first, {}, {{++lastEnd, run, run_end::done, ""}});
                    running.erase(run);
                    if (cell.now <= arrivals.at(run.task.job) + 2'500ms) {
                        inTime.insert(run.task.job);
                    }
                }
            }
            for (const auto &start : cell.runSchedulingPass()) {
                running[start.run] = {start.worker, cell.now};
                cell.answerList(start.worker, {{start.run, "", 0, 0}});
            }
            cell.confirmCommit();
        }
    }
    const auto isNew = [](const job_id &id) { return id.starts_with("new"); };
    const auto arrived = std::ranges::count_if(std::views::keys(arrivals), isNew);
    CHECK(std::ranges::count_if(inTime, isNew) * 10 >= arrived * 8);
}

TEST_CASE("a job that was stored after the last confirmation of the ownership waits for the next one")
{
    auto cell = makeCellOf({"a"});
    const row_version later = 1'000;
    step(cell.state, job_arrived {owned_cell::makeJob("new", {makeStep(1)}), {}, later, false}, cell.now, cell.actions);
    CHECK(cell.runSchedulingPass().empty());
    step(cell.state, ownership_confirmed {cell.now, later}, cell.now, cell.actions);
    CHECK(cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a worker of an earlier owner gets no task while that owner's stops may go on")
{
    owned_cell cell;
    cell.state.unreconciledWorkers = {"a"};
    cell.addWorker(owned_cell::makeWorker("a", "r", wholeWorker));
    cell.addJob(owned_cell::makeJob("new", {makeStep(1)}));
    CHECK(cell.runSchedulingPass().empty());
    CHECK(cell.state.unreconciledWorkers.contains("a"));
    cell.advance(cell.state.settings.maxStopTime + 60ms);
    CHECK(cell.runSchedulingPass().size() == 1);
    CHECK(cell.state.unreconciledWorkers.empty());
}

TEST_CASE("a gang starts with all members or not at all")
{
    auto cell = makeCellOf({"a", "b"});
    auto gang = makeStep(9, 2'000);
    gang.isGang = true;
    cell.addJob(owned_cell::makeJob("gang", {gang}));
    CHECK(cell.runSchedulingPass().empty());
    cell.addWorker(owned_cell::makeWorker("c", "r-c", wholeWorker));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 9);
    CHECK(std::ranges::all_of(starts,
                              [&](const send_start &each) { return each.run.attempt == starts.front().run.attempt; }));
}

TEST_CASE("a worker that operators drain gets no new tasks until they undo that")
{
    auto cell = makeCellOf({"a", "b"});
    step(cell.state, rules_updated {{{"a"}, {}}}, cell.now, cell.actions);
    cell.addJob(owned_cell::makeJob("many", {makeStep(16)}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"b"});
    step(cell.state, rules_updated {}, cell.now, cell.actions);
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"a"});
}

TEST_CASE("the weights of the placement policy decide between packing, balance and free accelerators")
{
    const auto placedUnder = [](const placement_policy &policy) {
        owned_cell cell;
        auto accelerated = owned_cell::makeWorker("gpu", "r1", {8'000, 16'000, 2});
        cell.addWorker(owned_cell::makeWorker("fuller", "r1", wholeWorker));
        cell.addWorker(owned_cell::makeWorker("emptier", "r2", wholeWorker));
        cell.addWorker(accelerated);
        auto memoryHeavy = makeStep(1, 1'000);
        memoryHeavy.size.memoryMib = 8'000;
        memoryHeavy.dataRack = "r1";
        cell.addJob(owned_cell::makeJob("before", {memoryHeavy}));
        const auto first = cell.runSchedulingPass();
        step(cell.state, rules_updated {{{}, policy}}, cell.now, cell.actions);
        cell.addJob(owned_cell::makeJob("task", {makeStep(1, 500)}));
        const auto starts = cell.runSchedulingPass();
        return starts.empty() ? worker_id() : starts.front().worker;
    };
    placement_policy packing;
    CHECK(placedUnder(packing) == "fuller");
    placement_policy balance;
    balance.packingWeight = 0;
    balance.balanceWeight = 1;
    CHECK(placedUnder(balance) == "emptier");
    placement_policy acceleratorsFirst;
    acceleratorsFirst.strandingWeight = -100;
    CHECK(placedUnder(acceleratorsFirst) == "gpu");
}

TEST_CASE("a best-effort task starts where no latency-sensitive task runs, and reserves no processor time")
{
    auto cell = makeCellOf({"a", "b"});
    auto latencySensitive = makeStep(1, 1'000);
    latencySensitive.isService = true;
    latencySensitive.targetLatency = 50ms;
    latencySensitive.dataRack = "r-a";
    cell.addJob(owned_cell::makeJob("latency-sensitive", {latencySensitive}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"a"});
    auto bestEffort = makeStep(4, 2'000);
    bestEffort.isBestEffort = true;
    cell.addJob(owned_cell::makeJob("best-effort", {bestEffort}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"b"});
    cell.addJob(owned_cell::makeJob("plain", {makeStep(8)}));
    CHECK(cell.runSchedulingPass().size() == 8);
}

TEST_CASE("occurrences begin when they are due and not before, and all that became due since the last pass begin")
{
    auto cell = makeCellOf({"a"});
    auto timed = owned_cell::makeJob("timed", {makeStep(1)});
    timed.spec.occurrences = 3;
    timed.spec.firstDue = cell.timeOfDay + 2s;
    timed.spec.interval = 1s;
    cell.addJob(timed);
    CHECK(cell.runSchedulingPass().empty());
    cell.advance(1'990ms);
    cell.answerList("a", {});
    CHECK(cell.runSchedulingPass().empty());
    cell.advance(1'020ms);
    cell.answerList("a", {});
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 2);
    CHECK(starts.front().run.task.occurrence == 0);
    CHECK(starts.back().run.task.occurrence == 1);
}

TEST_CASE(
    "an at-most-once task starts only after its start is stored, and its loss fails the job with an unknown outcome")
{
    auto cell = makeCellOf({"a"});
    auto once = makeStep(1);
    once.isAtMostOnce = true;
    cell.addJob(owned_cell::makeJob("once", {once}));
    CHECK(cell.runSchedulingPass().empty());
    cell.confirmCommit();
    cell.advance(50ms);
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    step(cell.state, start_answered {"a", 1, starts.front().run, order_result::done, cell.now}, cell.now, cell.actions);
    cell.advance(500ms);
    cell.answerList("a", {}); // the run is gone and no end is listed
    cell.advance(50ms);
    CHECK(cell.runSchedulingPass().empty());
    CHECK(cell.state.jobs.at("once").hasFailed);
    CHECK(cell.state.jobs.at("once").isOutcomeUnknown);
}

TEST_CASE("the start of an at-most-once task is sent again if the worker refused it")
{
    auto cell = makeCellOf({"a"});
    auto once = makeStep(1);
    once.isAtMostOnce = true;
    cell.addJob(owned_cell::makeJob("once", {once}));
    cell.runSchedulingPass();
    cell.confirmCommit();
    cell.advance(50ms);
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    step(cell.state, start_answered {"a", 1, first.front().run, order_result::noCapacity, cell.now}, cell.now,
         cell.actions);
    CHECK(cell.runSchedulingPass().size() == 1);
    CHECK_FALSE(cell.state.jobs.at("once").hasFailed);
}

TEST_CASE("attempts are numbered above those of the owner before, however often that one restarted a service")
{
    constexpr std::int64_t restarts = 2'500;
    auto job = storedService();
    std::uint32_t last = 0;
    for (const std::int64_t term : {3, 4, 5}) {
        auto owner = makeOwnerOfTerm(term, job);
        const auto attempts = restartService(owner, job, restarts);
        REQUIRE(std::ssize(attempts) == restarts);
        CHECK(std::ranges::is_sorted(attempts, std::less_equal()));
        CHECK(attempts.front() > last);
        last = attempts.back();
    }
}

TEST_CASE("attempts are numbered above those of the owner before, however many owners there were")
{
    constexpr std::int64_t lastTermBefore32Bits = 4'294'967;
    for (const std::int64_t term : {lastTermBefore32Bits, std::int64_t {2'147'482}, std::int64_t {1} << 40}) {
        auto job = storedService();
        std::uint32_t last = 0;
        for (const auto owner : {term, term + 1, term + 2, term + 10}) {
            auto cell = makeOwnerOfTerm(owner, job);
            const auto attempts = restartService(cell, job, 3);
            INFO("term " << owner);
            REQUIRE(attempts.size() == 3);
            CHECK(attempts.front() > last);
            last = attempts.back();
        }
    }
}

TEST_CASE("a service's task is started again however its run ended, after a pause if that was soon")
{
    for (const auto how : {run_end::done, run_end::failed, run_end::stopped, run_end::lapsed}) {
        for (const auto ranFor : {500ms, 2'000ms}) {
            auto cell = makeCellOf({"a", "b"});
            step(cell.state, storedService(), cell.now, cell.actions);
            const auto first = cell.runSchedulingPass();
            REQUIRE(first.size() == 1);
            const auto &worker = first.front().worker;
            step(cell.state, start_answered {worker, 1, first.front().run, order_result::done, cell.now}, cell.now,
                 cell.actions);
            cell.advance(ranFor);
            cell.answerList(worker, {}, {{1, first.front().run, how, ""}});
            const bool ownEnd = how == run_end::done || how == run_end::failed;
            const bool pauses = ownEnd && ranFor < 1s;
            INFO("end " << static_cast<int>(how) << " after " << ranFor.count() << " ms");
            CHECK(cell.runSchedulingPass().size() == (pauses ? 0 : 1));
            cell.advance(1'100ms);
            CHECK(cell.runSchedulingPass().size() == (pauses ? 1 : 0));
            CHECK(statusOf(cell.state, "service") == job_status::running);
        }
    }
}

TEST_CASE("an at-most-once task that is listed as failed fails its job with a known outcome, and is not started again")
{
    for (const bool wasOwnerReplaced : {false, true}) {
        auto cell = makeCellOf({"a"});
        auto once = makeStep(1);
        once.isAtMostOnce = true;
        const auto job = owned_cell::makeJob("once", {once});
        REQUIRE(job.queue.maxFailures > 1);
        run_id run {{"once", 0, 0, 0}, 1};
        if (wasOwnerReplaced) {
            job_progress progress;
            progress.open[0].steps[0].tasks[0].mayHaveBegun = true;
            step(cell.state, job_arrived {job, progress, 1, false}, cell.now, cell.actions);
        } else {
            cell.addJob(job);
            cell.runSchedulingPass();
            cell.confirmCommit();
            cell.advance(50ms);
            const auto starts = cell.runSchedulingPass();
            REQUIRE(starts.size() == 1);
            run = starts.front().run;
            step(cell.state, start_answered {"a", 1, run, order_result::done, cell.now}, cell.now, cell.actions);
        }
        cell.advance(500ms);
        cell.answerList("a", {}, {{1, run, run_end::failed, ""}});
        CHECK(cell.runSchedulingPass().empty());
        CHECK(cell.state.jobs.at("once").hasFailed);
        CHECK_FALSE(cell.state.jobs.at("once").isOutcomeUnknown);
    }
}

TEST_CASE("an at-most-once gang that one worker lists as broken ends as the list of another worker says")
{
    for (const bool fails : {false, true}) {
        auto cell = makeCellOf({"a", "b"});
        const auto starts = startOnceGang(cell);
        cell.answerList(starts.back().worker, {}, {{1, starts.back().run, run_end::gangBroken, ""}});
        CHECK(cell.runSchedulingPass().empty());
        CHECK_FALSE(cell.state.jobs.at("once").hasFailed);
        cell.advance(100ms);
        cell.answerList(starts.front().worker, {},
                        {{1, starts.front().run, fails ? run_end::failed : run_end::done, ""}});
        CHECK(cell.runSchedulingPass().empty());
        CHECK(cell.state.jobs.at("once").hasFailed == fails);
        CHECK_FALSE(cell.state.jobs.at("once").isOutcomeUnknown);
    }
}

TEST_CASE("an at-most-once gang that is listed as broken is not started again when the other member is lost")
{
    auto cell = makeCellOf({"a", "b"});
    const auto starts = startOnceGang(cell);
    for (const auto &each : starts) {
        cell.answerList(each.worker, {}, {{1, each.run, run_end::gangBroken, ""}});
    }
    CHECK(cell.runSchedulingPass().empty());
    CHECK(cell.state.jobs.at("once").isOutcomeUnknown);
}

TEST_CASE(
    "a new owner that finds an at-most-once gang broken waits for the other workers' lists before it fails the job")
{
    for (const bool isOtherListed : {true, false}) {
        auto cell = makeCellOf({"a", "b"});
        cell.state.unreconciledWorkers.insert("b");
        cell.state.workers.at("b").isReconciled = false;
        job_progress progress;
        progress.open[0].steps[0].tasks[0].mayHaveBegun = true;
        progress.open[0].steps[0].tasks[1].mayHaveBegun = true;
        step(cell.state, job_arrived {owned_cell::makeJob("once", {makeOnceGang()}), progress, 1, false}, cell.now,
             cell.actions);
        cell.answerList("a", {}, {{1, {{"once", 0, 0, 0}, 1}, run_end::gangBroken, ""}});
        CHECK(cell.runSchedulingPass().empty());
        CHECK_FALSE(cell.state.jobs.at("once").hasFailed);
        cell.advance(100ms);
        cell.answerList("b", {},
                        isOtherListed ? std::vector<listed_end> {{1, {{"once", 0, 0, 1}, 1}, run_end::done, ""}}
                                      : std::vector<listed_end> {});
        cell.advance(300ms); // the list doesn't show runs that the owner before has stopped
        CHECK(cell.runSchedulingPass().empty());
        CHECK(cell.state.jobs.at("once").isOutcomeUnknown != isOtherListed);
    }
}

TEST_CASE("a best-effort gang with a latency target, of which a worker takes one member, starts whole or not at all")
{
    auto cell = makeCellOf({"a"});
    auto gang = makeStep(2);
    gang.isGang = true;
    gang.isBestEffort = true;
    gang.targetLatency = 50ms;
    cell.addJob(owned_cell::makeJob("gang", {gang}));
    CHECK(cell.runSchedulingPass().empty());
    cell.addWorker(owned_cell::makeWorker("b", "r-b", wholeWorker));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"a", "b"});
}

TEST_CASE("a job that fails in a pass starts none of its other steps in it")
{
    auto cell = makeCellOf({"a"});
    auto once = makeStep(1);
    once.isAtMostOnce = true;
    job_progress begunBefore;
    begunBefore.open[0].steps[0].tasks[0].mayHaveBegun = true;
    const auto job = owned_cell::makeJob("lost", {once, makeStep(2)});
    step(cell.state, job_arrived {job, begunBefore, 11, false}, cell.now, cell.actions);
    CHECK(cell.runSchedulingPass().empty());
    CHECK(cell.state.jobs.at("lost").hasFailed);
}

TEST_CASE("a copy that has no other worker to go to doesn't keep the step's next task from starting")
{
    auto cell = makeCellOf({"a"});
    auto copied = makeStep(2);
    copied.allowsCopies = true;
    cell.addJob(owned_cell::makeJob("job", {copied}));
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 2);
    cell.advance(2'300ms); // both runs are late now
    cell.answerList("a", {{first.front().run, "", 50, 0}, {first.back().run, "", 50, 0}});
    CHECK(cell.runSchedulingPass().empty());
    cell.advance(100ms);
    cell.answerList("a", {{first.front().run, "", 60, 0}}); // the second run is gone
    const auto again = cell.runSchedulingPass();
    REQUIRE(again.size() == 1);
    CHECK(again.front().run.task.index == 1);
}

TEST_CASE("a service that lost a task gets it back before a backlog of queues with a higher priority is served")
{
    auto cell = makeCellOf({"a"});
    step(cell.state, storedService(), cell.now, cell.actions);
    cell.state.jobs.at("service").accepted.queue.priority = 1;
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    step(cell.state, start_answered {"a", 1, first.front().run, order_result::done, cell.now}, cell.now, cell.actions);
    cell.advance(3s);
    for (int number = 0; number < 4; ++number) {
        cell.addJob(owned_cell::makeJob("urgent-" + std::to_string(number), {makeStep(40)}));
    }
    cell.answerList("a", {}, {{1, first.front().run, run_end::stopped, ""}});
    auto starts = cell.runSchedulingPass();
    CHECK(starts.front().run.task.job != "service");
    std::vector<listed_end> ends;
    std::int64_t number = 1;
    const auto isService = [](const send_start &start) { return start.run.task.job == "service"; };
    const auto begin = cell.now;
    while (std::ranges::none_of(starts, isService) && cell.now < begin + 5s) {
        cell.advance(700ms);
        std::ranges::transform(starts, std::back_inserter(ends), [&number](const auto &start) {
            return listed_end {++number, start.run, run_end::done, ""};
        });
        cell.answerList("a", {}, std::exchange(ends, {}));
        starts = cell.runSchedulingPass();
    }
    CHECK(cell.now < begin + 3s);
    CHECK(summarize(cell.state, cell.now).waitingTasks > 0);
}

TEST_CASE("a service whose worker went silent starts as soon as the leases there are over, before an urgent backlog")
{
    auto cell = makeCellOf({"a"});
    step(cell.state, storedService(), cell.now, cell.actions);
    cell.state.jobs.at("service").accepted.queue.priority = 1;
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    step(cell.state, start_answered {"a", 1, first.front().run, order_result::done, cell.now}, cell.now, cell.actions);
    cell.answerList("a", {{first.front().run, "", 100, 0}});
    cell.runSchedulingPass(); // requests a list, to which the worker gives no answer any more
    list_answered unanswered;
    unanswered.worker = "a";
    unanswered.sentAt = cell.now;
    step(cell.state, unanswered, cell.now, cell.actions);
    cell.addWorker(owned_cell::makeWorker("b", "r-b", wholeWorker));
    const auto leasesEndBy = cell.state.workers.at("a").leasesEndBy;
    while (cell.now < leasesEndBy) {
        cell.advance(100ms);
        cell.answerList("b", {});
        step(cell.state, unanswered, cell.now, cell.actions);
        const auto starts = cell.runSchedulingPass();
        CHECK((cell.now >= leasesEndBy || starts.empty()));
        if (cell.now + 100ms >= leasesEndBy && !cell.state.jobs.contains("urgent")) {
            cell.addJob(owned_cell::makeJob("urgent", {makeStep(1, wholeWorker.milliCores)}));
        }
        if (cell.now >= leasesEndBy) {
            REQUIRE(starts.size() == 1);
            CHECK(starts.front().run.task.job == "service");
        }
    }
}

TEST_CASE("a service's task runs again within 6 s of its last run while two owners follow each other in a backlog")
{
    auto service = storedService();
    service.job.queue.priority = 1;
    service.job.acceptedAt = 10s;
    auto cell = makeCellOf({"a"});
    step(cell.state, service, cell.now, cell.actions);
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    step(cell.state, start_answered {"a", 1, first.front().run, order_result::done, cell.now}, cell.now, cell.actions);
    cell.advance(3s);
    const auto lostAt = cell.now;
    cell.answerList("a", {}, {{1, first.front().run, run_end::lapsed, ""}});
    REQUIRE_FALSE(serveUrgentJobs(cell, lostAt + 1'800ms));
    std::optional<instant> startedAt;
    for (const auto ownsUntil : {4'400ms, 9'000ms}) {
        if (!startedAt) {
            cell = makeNextOwner(cell.now + 800ms, service); // there is no owner while the next one reads the rows
            startedAt = serveUrgentJobs(cell, lostAt + ownsUntil);
        }
    }
    REQUIRE(startedAt);
    INFO("after " << std::chrono::duration_cast<std::chrono::milliseconds>(*startedAt - lostAt).count() << " ms");
    CHECK(*startedAt < lostAt + 6s);
}

TEST_CASE("a task goes to a worker whose last list request got no answer only if no other has room")
{
    auto cell = makeCellOf({"a", "b"});
    list_answered unanswered;
    unanswered.worker = "a";
    unanswered.sentAt = cell.now;
    step(cell.state, unanswered, cell.now, cell.actions);
    cell.advance(100ms);
    const auto leasesEndBy = cell.state.workers.at("a").leasesEndBy;
    cell.addJob(owned_cell::makeJob("job", {makeStep(1)}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"b"});
    CHECK(cell.state.workers.at("a").leasesEndBy == leasesEndBy);
    cell.addJob(owned_cell::makeJob("wide", {makeStep(8)}));
    CHECK(workersOf(cell.runSchedulingPass()) == std::set<worker_id> {"a", "b"});
}
