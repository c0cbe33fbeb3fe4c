#include "cell_emulation.h"
#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iterator>
#include <map>

/// The cell's core in virtual time. Each case is one scenario.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

emulation_settings withoutFaults(std::size_t workers = 4)
{
    emulation_settings settings;
    settings.faultScale = 0;
    settings.workers = workers;
    return settings;
}

/// Processes p3 and p6 are strong, six others weak.
emulation_settings unlikeProcesses()
{
    constexpr vm_capacity strong {500, 200};
    constexpr vm_capacity weak {120, 10};
    auto settings = withoutFaults();
    settings.capacities = {weak, weak, weak, strong, weak, weak, strong, weak};
    settings.processes = settings.capacities.size();
    return settings;
}

bool isStrong(const process_id &process)
{
    return process == "p3" || process == "p6";
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

constexpr std::size_t maxEntriesPerCall = 100; ///< the platform's limit on conditions, writes and removals together

/// Cancels jobs of which progress is stored, so that each of their ends replaces three rows by one.
void addCancelledJobs(owned_cell &cell, int count)
{
    job_progress progress;
    progress.open[0].steps[0].failedGangs = {1};
    for (int number = 0; number < count; ++number) {
        const auto job = owned_cell::makeJob("job-" + std::to_string(number), {makeStep(1, 400ms)});
        step(cell.state, job_arrived {job, progress, 5, true}, cell.now, cell.actions);
    }
}

std::vector<store_transaction> commitsIn(const std::vector<cell_action> &actions)
{
    std::vector<store_transaction> result;
    std::ranges::transform(actionsOf<commit_rows>(actions), std::back_inserter(result), &commit_rows::transaction);
    return result;
}

} // namespace

TEST_CASE("a job of two steps completes, with the second step after the first")
{
    cell_emulation emulation(withoutFaults());
    emulation.runFor(2s);
    auto second = makeStep(3, 300ms);
    second.after = {0};
    emulation.submit(makeJob("a", {makeStep(5, 400ms), second}));
    emulation.runFor(3s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a job fails once a task has failed as often as its queue allows")
{
    cell_emulation emulation(withoutFaults());
    emulation.behaviour = [](const run_id &, const step_spec &step) {
        task_behaviour result;
        result.work = step.estimate;
        result.fails = true;
        return result;
    };
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(2, 200ms)}));
    emulation.runFor(6s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::failed);
}

TEST_CASE("tasks of an unresponsive worker start elsewhere after its leases have expired")
{
    cell_emulation emulation(withoutFaults(2));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 1s)}));
    emulation.runFor(200ms);
    emulation.disconnectWorker(0, 60s);
    emulation.disconnectWorker(1, 200ms);
    emulation.runFor(10s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a worker that restarts with less capacity gets no task before it has announced its new capacity")
{
    cell_emulation emulation(withoutFaults(1));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 2s)}));
    emulation.runFor(300ms);
    emulation.rebootWorker(0, 4'000);
    emulation.runFor(6s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a killed owner is replaced within two seconds, and its tasks go on running")
{
    cell_emulation emulation(withoutFaults());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(6, 3s)}));
    emulation.runFor(500ms);
    const auto first = emulation.owner();
    emulation.killOwner(20s);
    emulation.runFor(2s);
    CHECK_FALSE(emulation.owner().empty());
    CHECK(emulation.owner() != first);
    emulation.runFor(2s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("in a cell of unlike processes a strong one owns again within 12 s of each of several kills of the owner")
{
    cell_emulation emulation(unlikeProcesses());
    emulation.runFor(12s);
    for (int i = 0; i < 8; ++i) {
        CAPTURE(i);
        CHECK(isStrong(emulation.owner()));
        emulation.killOwner(2s);
        emulation.runFor(12s);
    }
    CHECK(emulation.violation().empty());
}

TEST_CASE("in a cell of unlike processes a strong one takes over within 1.5 s of each kill of a strong owner")
{
    cell_emulation emulation(unlikeProcesses());
    emulation.runFor(12s);
    for (int i = 0; i < 8; ++i) {
        CAPTURE(i);
        emulation.killOwner(2s);
        emulation.runFor(1'500ms);
        CHECK(isStrong(emulation.owner()));
        emulation.runFor(12s);
    }
    CHECK(emulation.violation().empty());
}

TEST_CASE("orders of an owner that was frozen and resumes have no effect")
{
    cell_emulation emulation(withoutFaults());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(6, 2s)}));
    emulation.runFor(300ms);
    emulation.freezeOwner(5s);
    emulation.runFor(100ms);
    emulation.submit(makeJob("b", {makeStep(6, 1s)}));
    emulation.runFor(12s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
    CHECK(emulation.storedEnd("b") == job_status::complete);
}

TEST_CASE("a store outage that is shorter than a lease ends no run")
{
    cell_emulation emulation(withoutFaults());
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 6s)}));
    emulation.runFor(500ms);
    emulation.stopStore(4s);
    emulation.runFor(8s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a cancelled job is stored as cancelled and its tasks are stopped")
{
    cell_emulation emulation(withoutFaults());
    emulation.runFor(2s);
    auto service = makeStep(3, 0ms);
    service.isService = true;
    emulation.submit(makeJob("a", {service}));
    emulation.runFor(1s);
    CHECK_FALSE(emulation.storedEnd("a"));
    emulation.cancel("a");
    emulation.runFor(1s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::cancelled);
}

TEST_CASE("the reservations of a cancelled job's tasks are released once their ends are listed")
{
    cell_emulation emulation(withoutFaults(1));
    emulation.runFor(2s);
    auto service = makeStep(4, 0ms);
    service.isService = true;
    emulation.submit(makeJob("a", {service}));
    emulation.runFor(1s);
    emulation.cancel("a");
    emulation.submit(makeJob("b", {makeStep(4, 300ms)}));
    emulation.runFor(3s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::cancelled);
    CHECK(emulation.storedEnd("b") == job_status::complete);
}

TEST_CASE("tasks of a worker that refuses connections may go on running, so they start elsewhere only after its leases "
          "expire")
{
    cell_emulation emulation(withoutFaults(2));
    emulation.runFor(2s);
    emulation.submit(makeJob("a", {makeStep(4, 5s)}));
    emulation.runFor(500ms);
    emulation.refuseConnections(0, 4s);
    emulation.refuseConnections(1, 1s);
    emulation.runFor(20s);
    CHECK(emulation.violation().empty());
    CHECK(emulation.storedEnd("a") == job_status::complete);
}

TEST_CASE("a commit that covers ends of an earlier boot does not acknowledge ends of the next boot")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    cell.addJob(makeJob("a", {makeStep(2, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 2);
    cell.answerList("w", {}, {{5, starts.front().run, run_end::done, ""}});
    cell.advance(50ms);
    cell.runSchedulingPass(); // sends the commit with that end
    cell.answerList("w", {}, {}, 2); // the worker has restarted under the same id
    cell.confirmCommit();
    cell.advance(200ms);
    cell.runSchedulingPass();
    REQUIRE(cell.state.workers.contains("w"));
    CHECK(cell.state.workers.at("w").acknowledgedEnd == 0);
}

TEST_CASE("a draining worker without runs leaves the contacted workers, and takes no tasks before it is stored among "
          "them again")
{
    owned_cell cell;
    auto worker = owned_cell::makeWorker("w", "r", {8'000, 16'000, 0});
    cell.addWorker(worker);
    cell.addWorker(owned_cell::makeWorker("other", "r", {8'000, 16'000, 0}));
    cell.runSchedulingPass();
    cell.confirmCommit();
    worker.isDraining = true;
    step(cell.state, worker_listed {worker}, cell.now, cell.actions);
    cell.advance(50ms);
    cell.runSchedulingPass(); // sends the commit without the worker
    worker.isDraining = false;
    step(cell.state, worker_listed {worker}, cell.now, cell.actions);
    cell.addJob(makeJob("a", {makeStep(8, 400ms)}));
    for (const auto &start : cell.runSchedulingPass()) {
        CHECK(start.worker == "other");
    }
    cell.confirmCommit();
    CHECK_FALSE(cell.state.contactedWorkers.contains("w"));
    cell.advance(50ms);
    cell.runSchedulingPass(); // sends the commit with the worker
    cell.confirmCommit();
    cell.advance(50ms);
    CHECK(cell.state.contactedWorkers.contains("w"));
    CHECK_FALSE(cell.runSchedulingPass().empty());
}

TEST_CASE("a step that allows copies does not wait for a worker that a new owner cannot reach")
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

TEST_CASE("a lost first list under a new owner is soon requested again, because jobs of the earlier owner wait for it")
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
    cell.advance(30ms);
    CHECK(lists() == 1);
}

TEST_CASE("a commit of ended jobs has at most as many entries as the store takes, and their workers' ends are "
          "acknowledged after the last of the commits")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    cell.addJob(owned_cell::makeJob("z", {makeStep(1, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 1);
    cell.confirmCommit();
    cell.answerList("w", {}, {{1, starts.front().run, run_end::done, ""}});
    addCancelledJobs(cell, 60);
    while (!cell.state.unsavedJobs.empty()) {
        CHECK(cell.state.workers.at("w").acknowledgedEnd == 0);
        cell.advance(50ms);
        cell.runSchedulingPass();
        const auto commits = commitsIn(cell.actions);
        REQUIRE(commits.size() == 1);
        const auto &commit = commits.front();
        // The runner adds the condition of ownership and the renewal row.
        CHECK(commit.conditions.size() + commit.writes.size() + commit.removals.size() + 2 <= maxEntriesPerCall);
        cell.confirmCommit();
    }
    CHECK(cell.state.workers.at("w").acknowledgedEnd == 1);
}

TEST_CASE("ends that a commit stores are acknowledged, although other jobs wait for the next commit")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    cell.addWorker(owned_cell::makeWorker("v", "r", {8'000, 16'000, 0}));
    cell.addJob(owned_cell::makeJob("a", {makeStep(4, 400ms)}));
    cell.addJob(owned_cell::makeJob("z", {makeStep(4, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 8);
    cell.confirmCommit();
    std::map<worker_id, std::vector<listed_end>> ends;
    for (const auto &start : starts) {
        auto &own = ends[start.worker];
        own.push_back({std::ssize(own) + 1, start.run, run_end::done, ""});
    }
    for (const auto &[worker, own] : ends) {
        cell.answerList(worker, {}, own);
    }
    addCancelledJobs(cell, 60);
    cell.advance(50ms);
    cell.runSchedulingPass();
    cell.confirmCommit();
    REQUIRE(cell.state.unsavedJobs.contains("z"));
    REQUIRE_FALSE(cell.state.unsavedJobs.contains("a"));
    for (const auto &[worker, own] : ends) {
        const auto stored = std::ranges::find_if(own, [](const auto &end) { return end.run.task.job == "z"; });
        CHECK(cell.state.workers.at(worker).acknowledgedEnd == stored - own.begin());
    }
}

TEST_CASE("each unsaved job is stored in turn, although new changes of others come with each commit")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {8'000, 16'000, 0}));
    cell.addJob(owned_cell::makeJob("z", {makeStep(1, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    cell.confirmCommit();
    cell.answerList("w", {}, {{1, starts.front().run, run_end::done, ""}});
    for (int commit = 0; commit < 8; ++commit) {
        addCancelledJobs(cell, 30 * (commit + 1));
        cell.advance(50ms);
        cell.runSchedulingPass();
        cell.confirmCommit();
    }
    CHECK(cell.state.workers.at("w").acknowledgedEnd == 1);
}

TEST_CASE("a commit of jobs with large checkpoints has at most as many bytes as the store takes")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {64'000, 640'000, 0}));
    std::vector<listed_end> ends;
    for (int number = 0; number < 20; ++number) {
        cell.addJob(owned_cell::makeJob("job-" + std::to_string(number), {makeStep(1, 400ms)}));
    }
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 20);
    cell.confirmCommit();
    for (const auto &start : starts) {
        const auto number = static_cast<std::int64_t>(ends.size()) + 1;
        ends.push_back({number, start.run, run_end::stopped, std::string(100'000, 'x')});
    }
    cell.answerList("w", {}, ends);
    while (!cell.state.unsavedJobs.empty()) {
        cell.advance(50ms);
        cell.runSchedulingPass();
        const auto commits = commitsIn(cell.actions);
        REQUIRE(commits.size() == 1);
        std::size_t bytes = 0;
        for (const auto &write : commits.front().writes) {
            bytes += write.value.size() * 4 / 3; // values are sent as text
        }
        CHECK(bytes <= 1'000'000);
        cell.confirmCommit();
    }
}

TEST_CASE("a job whose checkpoints don't fit into one commit is stored without them and holds up no other job")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {64'000, 640'000, 0}));
    cell.addJob(owned_cell::makeJob("large", {makeStep(2, 400ms)}));
    cell.addJob(owned_cell::makeJob("small", {makeStep(1, 400ms)}));
    const auto starts = cell.runSchedulingPass();
    REQUIRE(starts.size() == 3);
    cell.confirmCommit();
    std::vector<listed_end> ends;
    for (const auto &start : starts) {
        const bool isLarge = start.run.task.job == "large";
        ends.push_back({static_cast<std::int64_t>(ends.size()) + 1, start.run, run_end::failed,
                        std::string(isLarge ? 600'000 : 10, 'x')});
    }
    cell.answerList("w", {}, ends);
    cell.advance(50ms);
    cell.runSchedulingPass();
    const auto commits = commitsIn(cell.actions);
    REQUIRE(commits.size() == 1);
    const auto &writes = commits.front().writes;
    const auto large = std::ranges::find(writes, progressPlace("large"), &row_write::place);
    REQUIRE(large != writes.end());
    const auto stored = decodeProgress(large->value).open.at(0).steps.at(0).tasks;
    CHECK(stored.at(0).failedAttempts.size() == 1);
    CHECK(stored.at(0).checkpoint.empty());
    CHECK(std::ranges::find(writes, progressPlace("small"), &row_write::place) != writes.end());
    cell.confirmCommit();
    CHECK(cell.state.unsavedJobs.empty());
}

TEST_CASE("while the workers that an earlier owner contacted are unknown, no task starts and the row is kept")
{
    owned_cell cell;
    cell.state.areContactedWorkersUnknown = true;
    step(cell.state, worker_listed {owned_cell::makeWorker("w", "r", {8'000, 16'000, 0})}, cell.now, cell.actions);
    cell.addJob(owned_cell::makeJob("a", {makeStep(1, 400ms)}));
    const auto doubtEndsAt = cell.state.inDoubtUntil;
    REQUIRE(doubtEndsAt > cell.now + 6s);
    for (; cell.now < doubtEndsAt; cell.advance(100ms)) {
        cell.answerList("w", {});
        CHECK(cell.runSchedulingPass().empty());
        CHECK(commitsIn(cell.actions).empty()); // the next owner must find the row unreadable too
    }
    cell.answerList("w", {});
    cell.runSchedulingPass();
    const auto commits = commitsIn(cell.actions);
    REQUIRE(commits.size() == 1);
    CHECK(std::ranges::find(commits.front().writes, contactedWorkersPlace(), &row_write::place)
          != commits.front().writes.end());
    cell.confirmCommit();
    cell.advance(50ms);
    CHECK(cell.runSchedulingPass().size() == 1);
}
