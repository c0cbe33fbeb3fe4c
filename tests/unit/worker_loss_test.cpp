#include "crashing_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <ranges>
#include <utility>

/// Tasks that may be why their workers crash: how they are told apart from those beside them, and given up.
using namespace primrosecroft;
using namespace std::chrono_literals;

TEST_CASE("a task under which two workers have crashed is not started on a third one")
{
    crashing_cell cell({"a", "b", "c", "d"});
    cell.cell.addJob(owned_cell::makeJob("deadly", {crashing_cell::makeStep(1)}));
    for (int crashes = 0; crashes < 2; ++crashes) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 1);
        cell.crash(starts.front().worker);
    }
    CHECK(cell.startPending().empty());
    CHECK(cell.hasFailed("deadly"));
}

TEST_CASE("an answer to a request for an earlier boot doesn't end the runs of the present one")
{
    crashing_cell cell({"a"});
    cell.cell.advance(1s);
    cell.cell.runSchedulingPass(); // requests a list of boot 1
    auto worker = owned_cell::makeWorker("a", "r", crashing_cell::wholeWorker);
    worker.boot = 2;
    step(cell.cell.state, worker_listed {worker}, cell.cell.now, cell.cell.actions);
    list_answered mismatch;
    mismatch.worker = "a";
    mismatch.result = order_result::bootMismatch;
    step(cell.cell.state, mismatch, cell.cell.now, cell.cell.actions);
    CHECK(cell.cell.state.workers.at("a").description.boot == 2);
}

TEST_CASE("what runs beside a task that crashes its worker is started apart from it, and done")
{
    crashing_cell cell({"a", "b", "c", "d"});
    cell.cell.addJob(owned_cell::makeJob("deadly", {crashing_cell::makeStep(1)}));
    cell.cell.addJob(owned_cell::makeJob("innocent", {crashing_cell::makeStep(1)}));
    const auto first = cell.startPending();
    REQUIRE(first.size() == 2);
    REQUIRE(first.front().worker == first.back().worker); // packed
    cell.crash(first.front().worker);
    const auto second = cell.startPending();
    REQUIRE(second.size() == 2);
    CHECK(second.front().worker != second.back().worker);
    const auto deadly = std::ranges::find(second, "deadly", [](const send_start &each) { return each.run.task.job; });
    cell.crash(deadly->worker);
    cell.startPending();
    CHECK(cell.hasFailed("deadly"));
    CHECK_FALSE(cell.hasFailed("innocent"));
}

TEST_CASE("no other task starts on a worker before it has survived a suspect there")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("suspect", {crashing_cell::makeStep(1)}));
    cell.startPending();
    cell.crash("a");
    REQUIRE(cell.startPending().size() == 1);
    cell.cell.addJob(owned_cell::makeJob("other", {crashing_cell::makeStep(1)}));
    CHECK(cell.startPending().empty());
    cell.advanceAndList(500ms);
    CHECK(cell.startPending().size() == 1);
}

TEST_CASE("a task that its second worker survives is no suspect any more")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    for (int crashes = 0; crashes < 6; ++crashes) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 1);
        cell.advanceAndList(500ms);
        cell.advanceAndList(11s); // longer than any trial
        cell.crash(starts.front().worker);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a suspect doesn't start before it is stored that a worker was lost under it")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    const auto starts = cell.startPending();
    cell.crash(starts.front().worker);
    CHECK(cell.cell.runSchedulingPass().empty()); // commits it
    cell.cell.advance(50ms);
    CHECK(cell.cell.runSchedulingPass().empty());
    cell.cell.confirmCommit();
    CHECK(cell.cell.runSchedulingPass().size() == 1);
}

TEST_CASE("a run under which an earlier owner's trial may have failed counts as a lost worker")
{
    crashing_cell cell({"a", "b"});
    job_progress progress;
    progress.open[0].steps[0].tasks[0].lost = {3, 0, 0, 2}; // two crashes, and a start of which no owner knows the end
    const auto job = owned_cell::makeJob("job", {crashing_cell::makeStep(1)});
    step(cell.cell.state, job_arrived {job, progress, 11, false}, cell.cell.now, cell.cell.actions);
    const auto starts = cell.startPending();
    REQUIRE(starts.size() == 1);
    cell.crash(starts.front().worker);
    CHECK(cell.startPending().empty());
    CHECK(cell.hasFailed("job"));
}

TEST_CASE("no job fails because many workers crash at once, again and again")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    for (int waves = 0; waves < 3; ++waves) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 1);
        for (const auto *id : {"a", "b", "c", "d", "e", "f"}) {
            if (starts.front().worker != id) {
                cell.crash(id);
            }
        }
        cell.crash(starts.front().worker);
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a worker that leaves after a notice takes no task into suspicion")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    const auto starts = cell.startPending();
    auto leaving = owned_cell::makeWorker(starts.front().worker, "r", crashing_cell::wholeWorker);
    leaving.isDraining = true;
    step(cell.cell.state, worker_listed {leaving}, cell.cell.now, cell.cell.actions);
    cell.crash(starts.front().worker);
    CHECK(cell.cell.state.jobs.at("job").occurrences.at(0).steps[0].tasks[0].losses.counts == lost_workers {});
}

TEST_CASE("the crash of a worker counts that was silent for longer than its leases before, in the same boot")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    REQUIRE(cell.startPending().size() == 1);
    cell.cell.advance(20s); // the leases expire
    cell.cell.runSchedulingPass();
    cell.running.clear();
    cell.advanceAndList(100ms);
    REQUIRE(cell.startPending().size() == 1);
    cell.cell.actions.clear();
    cell.crash("a");
    CHECK(std::ranges::any_of(cell.cell.actions, [](const cell_action &action) {
        const auto *loss = std::get_if<report_worker_loss>(&action);
        return loss != nullptr && loss->how == "restarted";
    }));
}

TEST_CASE("a job of which only a counted start is stored counts as waiting")
{
    crashing_cell cell({"a"});
    job_progress progress;
    progress.open[0].steps[0].tasks[0].lost = {1, 0, 0};
    const auto job = owned_cell::makeJob("job", {crashing_cell::makeStep(1)});
    step(cell.cell.state, job_arrived {job, progress, 11, false}, cell.cell.now, cell.cell.actions);
    CHECK(waitingJobs(cell.cell.state)["queue"] == 1);
}

TEST_CASE("a gang under which workers crash is given up as a whole")
{
    crashing_cell cell({"a", "b", "c", "d"});
    auto gang = crashing_cell::makeStep(3);
    gang.isGang = true;
    cell.cell.addJob(owned_cell::makeJob("gang", {gang}));
    for (int crashes = 0; crashes < 2; ++crashes) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 3);
        cell.crash(starts.front().worker);
    }
    CHECK(cell.startPending().empty());
    CHECK(cell.hasFailed("gang"));
}

TEST_CASE("a later owner knows of a crash that this one has only seen as a refused connection")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    const auto starts = cell.startPending();
    REQUIRE(starts.size() == 1);
    cell.advanceAndList(500ms);
    list_answered refused;
    refused.worker = starts.front().worker;
    refused.result = order_result::unreachable;
    step(cell.cell.state, refused, cell.cell.now, cell.cell.actions);
    const auto &job = cell.cell.state.jobs.at("job");
    const auto &losses = job.occurrences.at(0).steps[0].tasks[0].losses;
    CHECK(job.hasUnsavedChanges);
    CHECK(losses.counts == lost_workers {0, 0, 1});
    cell.advanceAndList(500ms); // it was up all the time
    CHECK(losses.counts == lost_workers {});
}

TEST_CASE("a task under which workers crash late starts only where nothing else runs, and is given up then")
{
    crashing_cell cell({"a", "b", "c"});
    cell.cell.addJob(owned_cell::makeJob("deadly", {crashing_cell::makeStep(1)}));
    for (int crashes = 0; crashes < 2; ++crashes) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 1);
        cell.advanceAndList(500ms);
        cell.crash(starts.front().worker);
        cell.advanceAndList(500ms);
    }
    cell.cell.addJob(owned_cell::makeJob("others", {crashing_cell::makeStep(4)}));
    worker_id alone;
    for (const auto &start : cell.startPending()) {
        alone = start.run.task.job == "deadly" ? start.worker : alone;
    }
    REQUIRE_FALSE(alone.empty());
    CHECK(cell.running[alone].size() == 1);
    cell.advanceAndList(500ms);
    cell.crash(alone);
    CHECK(cell.startPending().empty());
    CHECK(cell.hasFailed("deadly"));
}

// Guards against LOST: a cut of several workers of a gang was taken for that many crashes.
TEST_CASE("a gang whose workers fall silent all at once counts one loss, and isn't given up for it")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f"});
    auto gang = crashing_cell::makeStep(6);
    gang.isGang = true;
    gang.maxPerWorker = 1;
    cell.cell.addJob(owned_cell::makeJob("gang", {gang}));
    REQUIRE(cell.startPending().size() == 6);
    cell.silence();
    CHECK(cell.losses("gang").counts == lost_workers {1, 0, 0, 0});
    cell.running.clear();
    cell.advanceAndList(100ms);
    CHECK(cell.startPending().size() == 6);
    CHECK_FALSE(cell.hasFailed("gang"));
}

// Guards against LOST: silence was counted like crashes, and never taken back.
TEST_CASE("a job whose workers fall silent again and again without a crash isn't given up")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    for (int cuts = 0; cuts < 6; ++cuts) {
        REQUIRE(cell.startPending().size() == 1);
        cell.silence();
        cell.running.clear();
        cell.advanceAndList(100ms); // in the same boot
        CHECK(cell.losses("job").counts == lost_workers {});
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a job isn't given up while its workers are silent, however many there are")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    std::size_t starts = 0;
    for (int cuts = 0; cuts < 12; ++cuts) {
        for (const auto &start : cell.startPending()) {
            ++starts;
            cell.boots.erase(start.worker); // it answers no more
        }
        cell.silence();
        cell.advanceAndList(100ms);
        cell.advanceAndList(500ms);
    }
    CHECK(starts >= 5);
    CHECK_FALSE(cell.hasFailed("job"));
}

TEST_CASE("a worker that was silent beyond its leases counts as crashed once it answers in another boot")
{
    crashing_cell cell({"a"});
    cell.cell.addJob(owned_cell::makeJob("job", {crashing_cell::makeStep(1)}));
    REQUIRE(cell.startPending().size() == 1);
    cell.silence();
    CHECK(cell.losses("job").counts == lost_workers {1, 0, 0, 0});
    cell.crash("a");
    CHECK(cell.losses("job").counts == lost_workers {1, 0, 0, 1});
}

// Guards against LOST: a next owner took the refusals that it found counted for crashes.
TEST_CASE("the refusals of several workers of a gang count once, and prove nothing to a next owner")
{
    crashing_cell cell({"a", "b", "c", "d", "e"});
    auto gang = crashing_cell::makeStep(5);
    gang.isGang = true;
    gang.maxPerWorker = 1;
    cell.cell.addJob(owned_cell::makeJob("gang", {gang}));
    REQUIRE(cell.startPending().size() == 5);
    cell.refuse({"a", "b", "c", "d", "e"});
    CHECK(cell.losses("gang").counts == lost_workers {1, 0, 0, 0});
    crashing_cell next({"a", "b", "c", "d", "e"});
    job_progress progress;
    progress.open[0].steps[0].gangLost = {5, 0, 0, 0}; // as an owner before may have counted them
    const auto job = owned_cell::makeJob("gang", {gang});
    step(next.cell.state, job_arrived {job, progress, 11, false}, next.cell.now, next.cell.actions);
    CHECK(next.startPending().size() == 5);
    CHECK_FALSE(next.hasFailed("gang"));
}

TEST_CASE("rows tell which losses are proven, and those of earlier versions only of a failed trial")
{
    job_progress progress;
    progress.open[0].steps[0].gangLost = {4, 1, 2, 3};
    CHECK(decodeProgress(encodeProgress(progress)) == progress);
}

TEST_CASE("workers that left the platform's list while they were silent weren't lost if they answer in the same boot")
{
    crashing_cell cell({"a", "b", "c", "d", "e", "f"});
    auto step = crashing_cell::makeStep(6);
    step.maxPerWorker = 1;
    cell.cell.addJob(owned_cell::makeJob("job", {step}));
    for (int cuts = 0; cuts < 5; ++cuts) {
        for (int pass = 0; pass < 30 && cell.startPending().empty(); ++pass) {
            cell.advanceAndList(200ms);
        }
        cell.cell.advance(10s);
        for (const auto &id : std::views::keys(cell.boots)) {
            primrosecroft::step(cell.cell.state, worker_unlisted {id}, cell.cell.now, cell.cell.actions);
        }
        for (auto &worker : std::views::values(cell.cell.state.workers)) {
            worker.isListPending = true; // so that none is forgotten before it answers
        }
        cell.silence();
        cell.running.clear();
        for (const auto &id : std::views::keys(cell.boots)) {
            primrosecroft::step(cell.cell.state,
                                worker_listed {owned_cell::makeWorker(id, "r", crashing_cell::wholeWorker)},
                                cell.cell.now, cell.cell.actions);
        }
        cell.advanceAndList(100ms);
        CHECK(cell.losses("job").counts == lost_workers {});
    }
    CHECK_FALSE(cell.hasFailed("job"));
}

namespace
{

/// A step of @p count small tasks that last.
step_spec makeService(std::int32_t count)
{
    auto step = crashing_cell::makeStep(count);
    step.isService = true;
    return step;
}

/// Adds a job to a new owner, whose rows say that a worker was lost soon after the start of each of its @p count tasks,
/// and that the next start of each is under way.
void addSuspects(crashing_cell &cell, const job_id &id, const step_spec &spec)
{
    job_progress progress;
    for (std::int32_t index = 0; index < spec.count; ++index) {
        progress.open[0].steps[0].tasks[index].lost = {2, 0, 0, 1};
    }
    step(cell.cell.state, job_arrived {owned_cell::makeJob(id, {spec}), progress, 11, false}, cell.cell.now,
         cell.cell.actions);
}

listed_run listedRun(const job_id &job, std::int32_t index, std::int32_t percent)
{
    return {{{job, 0, 0, index}, 2}, "", percent, 0};
}

/// The runs of a worker end at this moment through their own fault, numbered from 1.
std::vector<listed_end> failuresOf(const std::vector<listed_run> &runs)
{
    std::vector<listed_end> result;
    std::ranges::transform(runs, std::back_inserter(result), [&result](const listed_run &each) {
        return listed_end {std::ssize(result) + 1, each.run, run_end::failed, ""};
    });
    return result;
}

} // namespace

// Guards against LOST: tasks that last waited for ever for a trial that a next owner had taken over and forgotten.
TEST_CASE("each trial that a next owner takes over ends, also where one worker runs several")
{
    const bool isService = GENERATE(true, false);
    crashing_cell cell({"a", "b"});
    for (const auto *id : {"one", "two", "three"}) {
        addSuspects(cell, id, isService ? makeService(2) : crashing_cell::makeStep(2));
        for (std::int32_t index = 0; index < 2; ++index) {
            cell.running["a"].push_back(listedRun(id, index, isService ? 100 : 10));
        }
    }
    cell.advanceAndList(50ms);
    cell.advanceAndList(500ms);
    cell.cell.runSchedulingPass();
    cell.cell.confirmCommit();
    CHECK(cell.losses("one").stored.soon == 0);
    auto &running = cell.running["a"];
    const std::vector<listed_run> failed {running[0], running[2], running[4]};
    std::erase_if(running, [](const listed_run &each) { return each.run.task.index == 0; });
    cell.cell.answerList("a", running, failuresOf(failed));
    cell.advanceAndList(1s);
    CHECK(cell.startPending().size() == 3);
}

// Guards against LOST: a next owner read a loss that a trial had settled, and took all runs of the job for suspects.
TEST_CASE("a next owner finds stored what a survived trial has settled")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {makeService(1)}));
    cell.crash(cell.startPending().front().worker);
    REQUIRE(cell.startPending().size() == 1);
    REQUIRE(cell.losses("job").stored.soon == 2);
    cell.advanceAndList(500ms);
    cell.cell.runSchedulingPass();
    cell.cell.confirmCommit();
    CHECK(cell.losses("job").stored == lost_workers {0, 0, 1, 1});
}

// Guards against the same for a start that was counted ahead though it was no trial.
TEST_CASE("a next owner finds stored that a counted start has ended by itself")
{
    crashing_cell cell({"a", "b"});
    cell.cell.addJob(owned_cell::makeJob("job", {makeService(1)}));
    cell.crash(cell.startPending().front().worker);
    const auto starts = cell.startPending();
    REQUIRE(starts.size() == 1);
    const auto worker = starts.front().worker;
    cell.cell.answerList(worker, {}, failuresOf(std::exchange(cell.running[worker], {})), cell.boots[worker]);
    cell.cell.runSchedulingPass();
    cell.cell.confirmCommit();
    CHECK(cell.losses("job").stored == lost_workers {1, 0, 0, 1});
}

// Guards against a worker that takes no start for ever, or the next start too early, beside a gang on trial.
TEST_CASE("a worker on which a gang is on trial takes other starts once it has survived all its members there")
{
    crashing_cell cell({"a"});
    auto gang = crashing_cell::makeStep(2);
    gang.isGang = true;
    cell.cell.addJob(owned_cell::makeJob("gang", {gang}));
    cell.startPending();
    cell.crash("a");
    REQUIRE(cell.startPending().size() == 2);
    cell.cell.addJob(owned_cell::makeJob("other", {crashing_cell::makeStep(1)}));
    CHECK(cell.startPending().empty());
    cell.advanceAndList(500ms);
    CHECK(cell.startPending().size() == 1);
}
