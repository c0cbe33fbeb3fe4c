#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Tasks that may be why their workers crash: how they are told apart from those beside them, and given up.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};
constexpr worker_boot firstBoot = 1;

step_spec makeStep(std::int32_t count)
{
    step_spec step;
    step.count = count;
    step.size = {1'000, 1'000, 0};
    step.estimate = 800ms;
    return step;
}

/// A cell with a worker for each id, whose workers list all that was started on them.
struct crashing_cell
{
    explicit crashing_cell(std::initializer_list<const char *> workers)
    {
        for (const auto *id : workers) {
            cell.addWorker(owned_cell::makeWorker(id, "r", wholeWorker));
            boots[id] = firstBoot;
        }
    }

    /// Runs passes and stores what they commit, and lets the workers accept the starts. Returns these.
    std::vector<send_start> startPending()
    {
        std::vector<send_start> result;
        for (int pass = 0; pass < 3; ++pass) {
            for (const auto &start : cell.runSchedulingPass()) {
                step(cell.state, start_answered {start.worker, start.boot, start.run, order_result::done, cell.now},
                     cell.now, cell.actions);
                running[start.worker].push_back({start.run, "", 10, 0});
                result.push_back(start);
            }
            cell.confirmCommit();
            cell.advance(50ms);
        }
        return result;
    }

    /// Lets time pass and has each worker list its runs.
    void advanceAndList(std::chrono::milliseconds time)
    {
        cell.advance(time);
        for (const auto &[id, boot] : boots) {
            cell.answerList(id, running[id], {}, boot);
        }
    }

    /// The worker loses all its runs, and the platform lists its next boot.
    void crash(const worker_id &id)
    {
        auto worker = owned_cell::makeWorker(id, "r", wholeWorker);
        running[id].clear();
        worker.boot = ++boots[id];
        step(cell.state, worker_listed {worker}, cell.now, cell.actions);
        cell.answerList(id, {}, {}, worker.boot);
    }

    bool hasFailed(const job_id &id) const
    {
        const auto found = cell.state.jobs.find(id);
        return found == cell.state.jobs.end() ? cell.state.finishedJobs.at(id) == job_status::failed
                                              : found->second.hasFailed;
    }

    owned_cell cell;
    std::map<worker_id, worker_boot> boots;
    std::map<worker_id, std::vector<listed_run>> running;
};

} // namespace

TEST_CASE("a task under which two workers have crashed is not started on a third one")
{
    crashing_cell cell({"a", "b", "c", "d"});
    cell.cell.addJob(owned_cell::makeJob("deadly", {makeStep(1)}));
    for (int crashes = 0; crashes < 2; ++crashes) {
        const auto starts = cell.startPending();
        REQUIRE(starts.size() == 1);
        cell.crash(starts.front().worker);
    }
    CHECK(cell.startPending().empty());
    CHECK(cell.hasFailed("deadly"));
}
