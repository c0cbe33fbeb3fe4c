#include "owned_cell.h"
#include "workspaces/workspace_rates.h"

#include <catch2/catch.hpp>

/// Rates of workspaces: which jobs are within them, and who is served first.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};

/// Sends jobs at the given times and returns how many of them are within the rate.
int sendAll(workspace_rates &rates, const workspace_policy &policy,
            std::initializer_list<std::chrono::milliseconds> times)
{
    int result = 0;
    for (const auto time : times) {
        if (isWithinRate(rates, "a", policy, time)) {
            noteWithinRate(rates, "a", policy, time);
            ++result;
        }
    }
    return result;
}

accepted_job jobOf(const workspace_name &workspace, const job_id &id, std::chrono::milliseconds acceptedAt)
{
    step_spec step;
    step.size = wholeWorker;
    step.estimate = 1s;
    auto job = owned_cell::makeJob(id, {step});
    job.workspace = workspace;
    job.acceptedAt = acceptedAt;
    return job;
}

} // namespace

TEST_CASE("a workspace may send the jobs of one second at once, and then as many as its weight says")
{
    const workspace_policy policy {2, {}};
    workspace_rates rates;
    CHECK(sendAll(rates, policy, {1'000ms, 1'000ms, 1'000ms, 1'400ms}) == 2);
    CHECK(sendAll(rates, policy, {1'500ms, 1'600ms}) == 1);
    CHECK(sendAll(rates, policy, {60'000ms, 60'000ms, 60'000ms}) == 2);
}

TEST_CASE("jobs beyond the rate use up nothing")
{
    const workspace_policy policy {1, {}};
    workspace_rates rates;
    CHECK(sendAll(rates, policy, {0ms, 10ms, 20ms, 30ms, 40ms, 1'000ms}) == 2);
}

TEST_CASE("a job that was sent earlier than the last one earns nothing")
{
    const workspace_policy policy {1, {}};
    workspace_rates rates;
    CHECK(sendAll(rates, policy, {5'000ms, 1'000ms, 5'900ms}) == 1);
    CHECK(sendAll(rates, policy, {6'000ms}) == 1);
}

TEST_CASE("a workspace that sends six times its rate doesn't delay what another sends within its own")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", wholeWorker));
    step(cell.state, workspaces_updated {{{"a", {1, {}}}, {"b", {1, {}}}}}, cell.now, cell.actions);
    for (int number = 1; number <= 6; ++number) {
        cell.addJob(jobOf("a", "a" + std::to_string(number), 1'000ms));
    }
    cell.addJob(jobOf("b", "b1", 1'900ms));
    const auto first = cell.runSchedulingPass();
    REQUIRE(first.size() == 1);
    CHECK(first[0].run.task.job == "a1"); // it is within the rate, and came first
    cell.answerList("w", {}, {{1, first[0].run, run_end::done, ""}});
    const auto second = cell.runSchedulingPass();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run.task.job == "b1");
    cell.answerList("w", {}, {{2, second[0].run, run_end::done, ""}});
    const auto third = cell.runSchedulingPass();
    REQUIRE(third.size() == 1); // what lies beyond the rate isn't lost
    CHECK(third[0].run.task.job.front() == 'a');
}
