#include "fault_plan.h"
#include "judge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ranges>
#include <set>

using namespace primrosecroft;
using namespace primrosecroft::soak;
using namespace std::chrono_literals;

namespace
{

const task_ref task {"0c00000000000000", 0, 0, 3};

/// A run of the task from one event to another.
run_record runOn(int worker, std::uint32_t attempt, std::int64_t from, std::int64_t until)
{
    run_record run;
    run.run = {task, attempt};
    run.worker = worker;
    run.startNumber = from;
    run.endNumber = until;
    return run;
}

run_record doneOn(int worker, std::uint32_t attempt, std::int64_t from, std::int64_t until)
{
    auto run = runOn(worker, attempt, from, until);
    run.how = run_end::done;
    return run;
}

judged_soak soakWith(const job_record &job, const std::vector<run_record> &runs)
{
    return {runs, {{job.id, job}}, 60'000ms, true};
}

job_record acceptedJob()
{
    job_record job;
    job.id = task.job;
    job.steps = {{1, false, false}};
    job.acceptedAt = 1'000ms;
    return job;
}

} // namespace

TEST_CASE("a seed and a site give the same plan of faults again, other seeds give others")
{
    const auto site = siteNamed("kjaer-plan");
    const auto first = planFaults(7, site);
    const auto again = planFaults(7, site);
    REQUIRE(first.faults.size() == again.faults.size());
    for (std::size_t i = 0; i < first.faults.size(); ++i) {
        CHECK(first.faults[i].at == again.faults[i].at);
        CHECK(first.faults[i].kind == again.faults[i].kind);
        CHECK(first.faults[i].targets == again.faults[i].targets);
        CHECK(first.faults[i].duration == again.faults[i].duration);
    }
    const auto other = planFaults(8, site);
    CHECK_FALSE(std::ranges::equal(first.faults, other.faults, {}, &fault::at, &fault::at));
}

TEST_CASE("twenty plans hold every kind of fault, some at the same time, and are over when they say")
{
    std::set<fault_kind> kinds;
    bool hasOverlap = false;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto plan = planFaults(seed, siteNamed("kjaer-plan"));
        for (std::size_t i = 0; i < plan.faults.size(); ++i) {
            const auto &each = plan.faults[i];
            kinds.insert(each.kind);
            hasOverlap = hasOverlap || (i > 0 && plan.faults[i - 1].at + plan.faults[i - 1].duration > each.at);
            CHECK(each.at + each.duration <= plan.calmAt);
        }
    }
    CHECK(kinds.size() == static_cast<std::size_t>(fault_kind::dropStoreHistory) + 1);
    CHECK(hasOverlap);
}

TEST_CASE("workers are cut off one or two at a time, for longer than leases and entries last, again and again")
{
    const auto site = siteNamed("kjaer-plan");
    int plansWithout = 0;
    int plansWithSeries = 0;
    bool hasOverlap = false;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const auto plan = planFaults(seed, site);
        const auto isCutOff = [](const fault &each) { return each.kind == fault_kind::cutWorkersOff; };
        const auto outlasts = [&](const fault &each) { return isCutOff(each) && each.duration >= 7'000ms; };
        plansWithout += std::ranges::none_of(plan.faults, isCutOff) ? 1 : 0;
        const auto isInSeries = [&](const fault &each) { return outlasts(each) && each.followsTask; };
        plansWithSeries += std::ranges::count_if(plan.faults, isInSeries) >= 4 ? 1 : 0;
        for (const auto &each : plan.faults | std::views::filter(isCutOff)) {
            CHECK((each.targets.size() == 1 || each.targets.size() == 2));
            CHECK(each.duration <= 10'000ms);
            CHECK_FALSE(each.side);
            hasOverlap = hasOverlap || std::ranges::any_of(plan.faults, [&](const fault &other) {
                             return !isCutOff(other) && other.at < each.at && each.at < other.at + other.duration;
                         });
        }
    }
    CHECK(plansWithout > 0);
    CHECK(plansWithSeries >= 20);
    CHECK(hasOverlap);
}

TEST_CASE("two runs of a task at the same time are found, one after the other are not")
{
    CHECK(findSecondRuns({runOn(1, 1, 1, 4), runOn(2, 2, 3, 6)}).size() == 1);
    CHECK(findSecondRuns({runOn(1, 1, 1, 0), runOn(2, 2, 3, 6)}).size() == 1);
    CHECK(findSecondRuns({runOn(1, 1, 1, 3), runOn(2, 2, 4, 6)}).empty());
}

TEST_CASE("a start after an end as done is found if that end is taken note of, also later")
{
    auto first = doneOn(1, 1, 1, 3);
    const auto second = doneOn(2, 2, 4, 6);
    CHECK(findSecondRuns({first, second}).empty());
    first.notedAt = 9'000ms;
    CHECK(findSecondRuns({first, second}).size() == 1);
}

TEST_CASE("an end as done of one member stands for its whole gang")
{
    auto first = doneOn(1, 1, 1, 3);
    first.isGang = true;
    first.notedAt = 9'000ms;
    auto second = runOn(2, 2, 4, 0);
    second.isGang = true;
    second.run.task.index = 5;
    CHECK(findSecondRuns({first, second}).size() == 1);
}

TEST_CASE("a second run beside a late order or a cut counts like any other")
{
    auto late = runOn(2, 2, 3, 6);
    late.isLate = true;
    const auto findings = findSecondRuns({runOn(1, 1, 1, 4), late});
    REQUIRE(findings.size() == 1);
    CHECK_FALSE(findings.front().isMarked);
}

TEST_CASE("an accepted job that doesn't end is found, one that has ended or was cancelled isn't")
{
    auto job = acceptedJob();
    CHECK(findUnfinishedJobs(soakWith(job, {})).size() == 1);
    job.cancelSentAt = 2'000ms;
    CHECK(findUnfinishedJobs(soakWith(job, {})).empty());
}

TEST_CASE("a job that is shown as complete or failed without cause is found")
{
    auto job = acceptedJob();
    job.state = "complete";
    job.completeAt = 5'000ms;
    CHECK(findUnfinishedJobs(soakWith(job, {})).size() == 1);
    auto run = doneOn(1, 1, 1, 3);
    run.run.task.index = 0;
    CHECK(findUnfinishedJobs(soakWith(job, {run})).empty());
    job.completeAt.reset();
    job.state = "failed";
    CHECK(findUnfinishedJobs(soakWith(job, {run})).size() == 1);
}

TEST_CASE("a job may be shown as failed if a task of it has failed three times, and for no other ends")
{
    auto job = acceptedJob();
    job.state = "failed";
    const auto isFoundAfter = [&job](const std::vector<std::optional<run_end>> &ends) {
        std::vector<run_record> runs;
        for (const auto &how : ends) {
            const auto number = static_cast<std::int64_t>(runs.size());
            runs.push_back(runOn(static_cast<int>(number), static_cast<std::uint32_t>(number + 1), 2 * number + 1,
                                 2 * number + 2));
            runs.back().how = how;
        }
        return !findUnfinishedJobs(soakWith(job, runs)).empty();
    };
    const std::optional<run_end> crash;
    CHECK_FALSE(isFoundAfter({run_end::failed, run_end::lapsed, run_end::failed, run_end::failed}));
    CHECK(isFoundAfter({run_end::failed, run_end::failed, run_end::lapsed, run_end::lapsed}));
    CHECK(isFoundAfter({run_end::lapsed, run_end::lapsed, run_end::lapsed, run_end::lapsed}));
    CHECK(isFoundAfter({run_end::lapsed, crash, run_end::lapsed}));
}

TEST_CASE("what is found about a job that is shown as failed tells how its most tried task has ended")
{
    auto job = acceptedJob();
    job.state = "failed";
    std::vector<run_record> runs {runOn(1, 1, 1, 2), runOn(2, 2, 3, 4), runOn(3, 3, 5, 6)};
    runs[0].how = run_end::lapsed;
    runs[1].how = run_end::lapsed;
    const auto findings = findUnfinishedJobs(soakWith(job, runs));
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().text.ends_with("runs of 0c00000000000000.0.0.3: lapsed 2 restart 1"));
}

TEST_CASE("a service whose task doesn't run, and a run of a cancelled job, are found")
{
    auto job = acceptedJob();
    job.steps.front().lasts = true;
    auto run = runOn(1, 1, 1, 0);
    run.run.task.index = 0;
    CHECK(findUnfinishedJobs(soakWith(job, {run})).empty());
    CHECK(findUnfinishedJobs(soakWith(job, {})).size() == 1);
    job.cancelSentAt = 2'000ms;
    job.cancelledAt = 2'100ms;
    CHECK(findUnfinishedJobs(soakWith(job, {run})).size() == 1);
}

TEST_CASE("ends of present boots that aren't taken note of are found if they are over a fifth")
{
    std::vector<run_record> runs;
    for (int i = 0; i < 4; ++i) {
        auto run = doneOn(0, static_cast<std::uint32_t>(i), 2 * i + 1, 2 * i + 2);
        run.isAcknowledged = i > 0;
        runs.push_back(run);
    }
    const judged_soak soak {runs, {}, 60'000ms, true};
    CHECK(findUnnotedEnds(soak, {0}, 50'000ms).size() == 1);
    CHECK(findUnnotedEnds(soak, {7}, 50'000ms).empty());
}
