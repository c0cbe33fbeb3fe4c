#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>

/// What the owner's core learns from the ends of runs, and what it expects of runs.
using namespace primrosecroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};

step_spec makeStep(std::int32_t count, milliseconds estimate)
{
    step_spec step;
    step.count = count;
    step.size = {1'000, 1'000, 0};
    step.estimate = estimate;
    step.image = "image";
    return step;
}

/// A cell with workers "a" and "b" that runs one job at a time.
struct learning_cell
{
    learning_cell()
    {
        for (const auto *id : {"a", "b"}) {
            cell.addWorker(owned_cell::makeWorker(id, "r", wholeWorker));
        }
    }

    std::vector<send_start> start(const std::vector<step_spec> &steps)
    {
        cell.addJob(owned_cell::makeJob("job" + std::to_string(++jobs), steps));
        auto starts = cell.runSchedulingPass();
        for (const auto &each : starts) {
            step(cell.state, start_answered {each.worker, 1, each.run, order_result::done, cell.now}, cell.now,
                 cell.actions);
        }
        return starts;
    }

    void end(const send_start &start, run_end how)
    {
        cell.answerList(start.worker, {}, {{++ends[start.worker], start.run, how, ""}});
        cell.confirmCommit();
    }

    void list(const send_start &start, std::int32_t percent)
    {
        for (const auto *id : {"a", "b"}) {
            cell.answerList(id,
                            start.worker == id ? std::vector<listed_run> {{start.run, "", percent, 0}}
                                               : std::vector<listed_run> {});
        }
    }

    const duration_model &learned() const
    {
        return cell.state.durations;
    }

    owned_cell cell;
    int jobs = 0;
    std::map<worker_id, std::int64_t> ends;
};

bool hasStop(const std::vector<cell_action> &actions)
{
    return std::ranges::any_of(actions,
                               [](const cell_action &each) { return std::holds_alternative<send_stop>(each); });
}

} // namespace

TEST_CASE("jobs are expected to take as long as those before them, whatever their estimates are")
{
    learning_cell learning;
    for (int run = 0; run < 30; ++run) {
        const auto starts = learning.start({makeStep(1, 100ms)});
        REQUIRE(starts.size() == 1);
        learning.cell.advance(2'000ms);
        learning.end(starts.front(), run_end::done);
    }
    learning.start({makeStep(1, 100ms)});
    const auto &job = learning.cell.state.jobs.at("job31");
    CHECK(job.objective > 2 * 1'800ms + 500ms);
    CHECK(job.objective < 2 * 2'200ms + 500ms);
}

TEST_CASE("without learning, jobs are expected to take their estimates")
{
    learning_cell learning;
    learning.cell.state.settings.learnsDurations = false;
    const auto starts = learning.start({makeStep(1, 100ms)});
    learning.cell.advance(2'000ms);
    learning.end(starts.front(), run_end::done);
    CHECK(learning.learned().runs == 0);
    learning.start({makeStep(1, 100ms)});
    CHECK(learning.cell.state.jobs.at("job2").objective == 2 * 100ms + 500ms);
}

TEST_CASE("failed runs teach nothing, so a worker that fails all at once doesn't make tasks look short")
{
    learning_cell learning;
    for (int run = 0; run < 5; ++run) {
        const auto starts = learning.start({makeStep(2, 2'000ms)});
        learning.cell.advance(10ms);
        for (const auto &each : starts) {
            learning.end(each, run_end::failed);
        }
        learning.cell.advance(10s);
    }
    CHECK(learning.learned().runs == 0);
}

TEST_CASE("a run that was stopped tells by its progress how long it would have taken")
{
    learning_cell learning;
    const auto starts = learning.start({makeStep(1, 100ms)});
    learning.cell.advance(2'000ms);
    learning.list(starts.front(), 40);
    learning.cell.advance(1'000ms); // of these nothing is known
    learning.end(starts.front(), run_end::stopped);
    REQUIRE(learning.learned().runs == 1);
    const auto *record = findRecord(learning.learned(), "queue", "image");
    REQUIRE(record != nullptr);
    CHECK(std::exp2(record->time.median) > 4'000);
    CHECK(std::exp2(record->time.median) < 6'500);
}

TEST_CASE("a run that stood still before it was stopped teaches nothing")
{
    learning_cell learning;
    const auto starts = learning.start({makeStep(1, 5'000ms)});
    learning.cell.advance(2'000ms);
    learning.list(starts.front(), 0);
    learning.end(starts.front(), run_end::stopped);
    CHECK(learning.learned().runs == 0);
}

TEST_CASE("a run that is so long that a percent takes seconds doesn't count as stalled")
{
    learning_cell learning;
    const auto starts = learning.start({makeStep(1, 400s)});
    for (std::int32_t percent = 1; percent < 20; ++percent) {
        learning.cell.advance(4'000ms);
        learning.list(starts.front(), percent);
        learning.cell.runSchedulingPass();
        CHECK_FALSE(hasStop(learning.cell.actions));
    }
}

TEST_CASE("a run that stands still is stopped after a bounded time, however long its caller says it takes")
{
    learning_cell learning;
    const auto starts = learning.start({makeStep(1, 24h)});
    bool isStopped = false;
    for (int second = 0; second < 35; ++second) {
        learning.cell.advance(1'000ms);
        learning.list(starts.front(), 0);
        learning.cell.runSchedulingPass();
        isStopped = isStopped || hasStop(learning.cell.actions);
    }
    CHECK(isStopped);
}

TEST_CASE("a slow load doesn't make the usual worker look slow for ever, nor hide the shift")
{
    learning_cell learning;
    for (int run = 0; run < 200; ++run) {
        const auto starts = learning.start({makeStep(1, 1'000ms)});
        REQUIRE(starts.size() == 1);
        learning.cell.advance(run < 50 ? 1'000ms : 4'000ms);
        learning.end(starts.front(), run_end::done);
    }
    const auto expected = forecast(learning.learned(), {"queue", "image", 1'000ms}).median;
    CHECK(expected > 3'000ms);
    CHECK(expected < 5'000ms);
}
