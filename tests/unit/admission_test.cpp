#include "admission/admission.h"
#include "admission/turned_away.h"
#include "cell/backlog.h"
#include "cell/work_rates.h"
#include "core/clock.h"
#include "fake_store.h"
#include "jobs/job_rows.h"
#include "owned_cell.h"
#include "owner_session/acceptance_batcher.h"
#include "owner_session/admission_control.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <ranges>
#include <set>

/// Tests of admission: the decision, its effect in replayed bursts in virtual time, and that what it says is true.
using namespace primrosecroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr auto tick = 50ms;
constexpr std::int64_t milliCoresPerWorker = 16'000;

/// A form of jobs that arrive at a steady rate.
struct load
{
    std::string name;
    double jobsPerSecond = 0;
    std::int32_t priority = 0;
    step_spec step;
    int steps = 1;
    double slowdownFactor = 2;
    milliseconds target {500};
};

struct load_outcome
{
    int submitted = 0;
    int accepted = 0;
    int turnedAway = 0;
    int inTime = 0; ///< ended within the objective
    int tooLate = 0; ///< accepted, and not ended within maxObjectives times the objective
    milliseconds longestWait {0}; ///< from acceptance to the end
};

step_spec makeStep(std::int32_t count, std::int64_t milliCores, milliseconds estimate)
{
    step_spec step;
    step.count = count;
    step.size = {milliCores, 100, 0};
    step.estimate = estimate;
    return step;
}

/// Replays loads on workers that run each task for a fixed multiple of its estimate.
class replay
{
public:
    replay(int workers, bool hasAdmission, double actualFactor = 1)
        : m_hasAdmission(hasAdmission)
        , m_actualFactor(actualFactor)
    {
        for (int number = 0; number < workers; ++number) {
            const auto id = "w" + std::to_string(number);
            m_cell.addWorker(
                owned_cell::makeWorker(id, "r" + std::to_string(number / 8), {milliCoresPerWorker, 32'000, 0}));
        }
    }

    void run(const std::vector<load> &loads, milliseconds time)
    {
        for (milliseconds elapsed {0}; elapsed < time; elapsed += tick) {
            for (const auto &each : loads) {
                auto &due = m_due[each.name];
                due += each.jobsPerSecond * std::chrono::duration<double>(tick).count();
                for (; due >= 1; due -= 1) {
                    submit(each);
                }
            }
            advance();
        }
    }

    std::map<std::string, load_outcome> outcomes; ///< by the name of the load; jobs count where they arrived

    /// Jobs that were accepted and haven't ended count as too late when their time is over.
    void settle()
    {
        for (const auto &[id, job] : m_running) {
            auto &outcome = outcomes[job.load];
            outcome.tooLate += m_cell.now > job.arrivedAt + maxObjectives * job.objective ? 1 : 0;
        }
    }

private:
    struct running_job
    {
        std::string load;
        instant arrivedAt;
        milliseconds objective {0};
    };

    void submit(const load &form)
    {
        const auto id = form.name + std::to_string(100'000 + ++m_lastJob);
        std::vector<step_spec> steps(static_cast<std::size_t>(form.steps), form.step);
        for (std::int32_t index = 1; index < form.steps; ++index) {
            steps[static_cast<std::size_t>(index)].after = {index - 1};
        }
        auto job = owned_cell::makeJob(id, steps, form.priority);
        job.queue.slowdownFactor = form.slowdownFactor;
        job.queue.target = form.target;
        auto &outcome = outcomes[form.name];
        ++outcome.submitted;
        if (m_hasAdmission && m_admission.judge(m_cell.state, job, m_cell.now)) {
            ++outcome.turnedAway;
            return;
        }
        m_admission.noteAccepting(m_cell.state, job, m_cell.now);
        m_admission.noteOutcome(m_cell.state, id, store_outcome::done, m_cell.now);
        ++outcome.accepted;
        m_cell.addJob(job);
        m_running[id] = {form.name, m_cell.now, m_cell.state.jobs.at(id).objective};
    }

    void advance()
    {
        for (const auto &start : m_cell.runSchedulingPass()) {
            const auto &task = start.run.task;
            const auto &spec = m_cell.state.jobs.at(task.job).accepted.spec.steps[static_cast<std::size_t>(task.step)];
            const auto time = std::chrono::duration_cast<duration>(spec.estimate * m_actualFactor);
            m_runs[start.worker].emplace(start.run, m_cell.now + time);
        }
        m_cell.confirmCommit();
        m_cell.advance(tick);
        for (const auto &id : m_cell.state.workers | std::views::keys) {
            std::vector<listed_run> listed;
            std::vector<listed_end> ended;
            for (const auto &[run, endsAt] : m_runs[id]) {
                if (endsAt <= m_cell.now) {
                    ended.push_back({++m_lastEnd[id], run, run_end::done, ""});
                } else {
                    listed.push_back({run, "", 50, 0});
                }
            }
            for (const auto &end : ended) {
                m_runs[id].erase(end.run);
            }
            m_cell.answerList(id, listed, ended);
        }
        noteEnds();
    }

    void noteEnds()
    {
        std::erase_if(m_running, [this](const auto &each) {
            const auto found = m_cell.state.jobs.find(each.first);
            const bool hasEnded = found == m_cell.state.jobs.end() || found->second.openOccurrences == 0;
            if (hasEnded) {
                const auto took = std::chrono::duration_cast<milliseconds>(m_cell.now - each.second.arrivedAt);
                auto &outcome = outcomes[each.second.load];
                outcome.inTime += took <= each.second.objective ? 1 : 0;
                outcome.tooLate += took > maxObjectives * each.second.objective ? 1 : 0;
                outcome.longestWait = std::max(outcome.longestWait, took);
            }
            return hasEnded;
        });
    }

    owned_cell m_cell;
    decision_log m_log {0, -1};
    admission_control m_admission {m_log};
    bool m_hasAdmission;
    double m_actualFactor;
    int m_lastJob = 0;
    std::map<std::string, double> m_due; ///< part of the next job of each load
    std::map<job_id, running_job> m_running;
    std::map<worker_id, std::map<run_id, instant>> m_runs; ///< with the time of their ends
    std::map<worker_id, std::int64_t> m_lastEnd;
};

load narrow(double jobsPerSecond)
{
    return {"narrow", jobsPerSecond, 0, makeStep(10, 2'200, 800ms), 1, 2, 500ms};
}

load wide(double jobsPerSecond)
{
    return {"wide", jobsPerSecond, 1, makeStep(17, 4'500, 4'800ms), 2, 1.5, 1'200ms};
}

/// Number of core-seconds that a job of the load needs.
double workOf(const load &form)
{
    return form.steps * form.step.count * static_cast<double>(form.step.size.milliCores) / 1'000
        * std::chrono::duration<double>(form.step.estimate).count();
}

} // namespace

TEST_CASE("a job is accepted as long as it can be done within three times its objective")
{
    const admission_request request {"a", 2s, 1s, 0ms};
    CHECK(decideAdmission(request, {}).isAccepted);
    CHECK(decideAdmission(request, {500, 0, 0ms, 100}).isAccepted);
    CHECK_FALSE(decideAdmission(request, {501, 0, 0ms, 100}).isAccepted);
    CHECK(decideAdmission({"a", 2s, 1s, 1s}, {400, 0, 0ms, 100}).isAccepted);
    CHECK_FALSE(decideAdmission({"a", 2s, 1s, 1s}, {401, 0, 0ms, 100}).isAccepted);
}

TEST_CASE("a job whose critical path is beyond the limit is accepted by a cell with room")
{
    CHECK(decideAdmission({"a", 2s, 20s, 0ms}, {100, 0, 0ms, 100}).isAccepted);
    CHECK_FALSE(decideAdmission({"a", 2s, 20s, 0ms}, {300, 0, 0ms, 100}).isAccepted);
}

TEST_CASE("work that is ready later counts as far as it is ready when the job's turn comes")
{
    const admission_request request {"a", 2s, 1s, 0ms};
    CHECK(decideAdmission(request, {0, 100'000, 5s, 100}).wait == 0ms);
    CHECK(decideAdmission(request, {100, 250, 5s, 100}).wait > 1'900ms);
    CHECK(decideAdmission(request, {100, 250, 5s, 100}).wait < 2'100ms);
}

TEST_CASE("jobs that are turned away together come back spread over the time that the backlog takes")
{
    constexpr int jobs = 1'000;
    std::map<std::int64_t, int> returning; // by the second
    for (int number = 0; number < jobs; ++number) {
        const auto verdict = decideAdmission({"job" + std::to_string(number), 2s, 1s, 0ms}, {1'500, 0, 0ms, 100});
        REQUIRE_FALSE(verdict.isAccepted);
        CHECK(verdict.retryAfter >= 10s); // the excess: none of them comes back to a cell that is still full
        ++returning[std::chrono::ceil<std::chrono::seconds>(verdict.retryAfter).count()];
    }
    CHECK(std::ranges::max(returning | std::views::values) <= jobs / 8);
}

TEST_CASE("a request that was delayed beyond its caller's next one is told the same again")
{
    turned_away_jobs jobs;
    noteTurnedAway(jobs, "a", 10s, 2s, instant(1h));
    CHECK(isOvertaken(jobs.at("a"), 9s)); // received before
    CHECK_FALSE(isOvertaken(jobs.at("a"), 11s)); // the caller came back
    CHECK_FALSE(isOvertaken(jobs.at("a"), 0ms)); // unknown
    noteTurnedAway(jobs, "a", 12s, 2s, instant(1h + 2s));
    CHECK(jobs.at("a").firstAt == instant(1h));
    CHECK(jobs.at("a").lastAt == instant(1h + 2s));
}

TEST_CASE("the rate is what a saturated pool ends, not what it could")
{
    pool_rates rates;
    instant now(1h);
    CHECK(rateFor(rates, 0, 100, now) == Approx(100));
    for (int round = 0; round < 100; ++round, now += 100ms) {
        recordWaitingWork(rates, 1'000, {100, 100, 0}, now);
        recordEndedWork(rates, 0, 3, 6, now); // 60 a second
    }
    CHECK(rateFor(rates, 0, 100, now) == Approx(60).epsilon(0.1));
    recordAcceptedWork(rates, 0, 200, now); // 20 a second over ten seconds
    CHECK(rateFor(rates, 0, 100, now) == Approx(60).epsilon(0.1));
    CHECK(rateFor(rates, 1, 100, now) == Approx(40).epsilon(0.1));
}

TEST_CASE("a load that fits sees no refusal", "[replay]")
{
    replay cell(40, true); // 640 cores
    const auto small = narrow(0.35 * 640 / workOf(narrow(1)));
    const auto large = wide(0.45 * 640 / workOf(wide(1)));
    cell.run({small, large}, 60s);
    CHECK(cell.outcomes["narrow"].turnedAway == 0);
    CHECK(cell.outcomes["wide"].turnedAway == 0);
    CHECK(cell.outcomes["narrow"].inTime >= cell.outcomes["narrow"].accepted * 9 / 10);
}

TEST_CASE("in a burst of all kinds at four times the usual rate most of what is accepted ends in time", "[.][bursts]")
{
    const auto actualFactor = GENERATE(0.8, 1.0, 1.3);
    CAPTURE(actualFactor);
    const auto usualNarrow = 0.14 * 640 / workOf(narrow(1));
    const auto usualWide = 0.7 * 640 / workOf(wide(1)) / actualFactor;
    std::map<bool, std::map<std::string, load_outcome>> outcomes;
    for (const bool hasAdmission : {false, true}) {
        replay cell(40, hasAdmission, actualFactor);
        cell.run({narrow(usualNarrow), wide(usualWide)}, 20s);
        cell.run({narrow(4 * usualNarrow), wide(4 * usualWide)}, 6s);
        cell.run({narrow(usualNarrow), wide(usualWide)}, 20s);
        cell.run({}, 60s);
        cell.settle();
        outcomes[hasAdmission] = cell.outcomes;
    }
    auto &with = outcomes[true];
    auto &without = outcomes[false];
    for (const auto &name : {"narrow", "wide"}) {
        CAPTURE(name, with[name].submitted, with[name].turnedAway, with[name].inTime, with[name].tooLate,
                without[name].inTime, without[name].tooLate);
        // 5 % of those accepted at most
        CHECK(with[name].tooLate * 20 <= with[name].accepted);
        CHECK(with[name].inTime >= without[name].inTime);
    }
    WARN("factor " << actualFactor << ": narrow " << with["narrow"].submitted << " submitted, "
                   << with["narrow"].turnedAway << " turned away, in time " << with["narrow"].inTime << " ("
                   << without["narrow"].inTime << " without), too late " << with["narrow"].tooLate << " ("
                   << without["narrow"].tooLate << "); wide " << with["wide"].submitted << ", "
                   << with["wide"].turnedAway << ", in time " << with["wide"].inTime << " (" << without["wide"].inTime
                   << "), too late " << with["wide"].tooLate << " (" << without["wide"].tooLate << ")");
}

TEST_CASE("a job whose first tasks have room isn't turned away for gangs that can't start")
{
    owned_cell cell;
    for (const auto *id : {"a", "b"}) {
        cell.addWorker(owned_cell::makeWorker(id, "r", {milliCoresPerWorker, 64'000, 4}));
    }
    const auto makeAccelerated = [](std::int32_t count, std::int64_t accelerators, milliseconds estimate) {
        auto result = makeStep(count, 1'000, estimate);
        result.size.accelerators = accelerators;
        return result;
    };
    cell.addJob(owned_cell::makeJob("holder", {makeAccelerated(1, 1, 60s)}));
    REQUIRE(cell.runSchedulingPass().size() == 1);
    auto gang = makeAccelerated(2, 4, 3'600s); // both workers whole
    gang.isGang = true;
    for (int number = 0; number < 20; ++number) {
        cell.addJob(owned_cell::makeJob("gang" + std::to_string(number), {gang}));
    }
    CHECK(cell.runSchedulingPass().empty());
    decision_log log {0, -1};
    admission_control admission(log);
    const auto fitting = owned_cell::makeJob("fitting", {makeAccelerated(7, 1, 1s)}, 1);
    CHECK(admission.judge(cell.state, owned_cell::makeJob("large", {makeAccelerated(8, 1, 1s)}, 1), cell.now));
    CHECK_FALSE(admission.judge(cell.state, fitting, cell.now));
    admission.noteAccepting(cell.state, fitting, cell.now); // it takes the room
    CHECK(admission.judge(cell.state, owned_cell::makeJob("next", {makeAccelerated(1, 1, 1s)}, 1), cell.now));
}

TEST_CASE("services and jobs with a schedule are never turned away")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {1'000, 1'000, 0}));
    for (int number = 0; number < 20; ++number) {
        cell.addJob(owned_cell::makeJob("j" + std::to_string(number), {makeStep(10, 1'000, 10s)}));
    }
    decision_log log {0, -1};
    admission_control admission(log);
    CHECK(admission.judge(cell.state, owned_cell::makeJob("a", {makeStep(1, 1'000, 10s)}), cell.now));
    auto service = makeStep(1, 1'000, 1s);
    service.isService = true;
    CHECK_FALSE(admission.judge(cell.state, owned_cell::makeJob("b", {service}), cell.now));
    auto timed = owned_cell::makeJob("c", {makeStep(1, 1'000, 1s)});
    timed.spec.occurrences = 2;
    CHECK_FALSE(admission.judge(cell.state, timed, cell.now));
}

TEST_CASE("a job that may be stored without its caller knowing is never turned away")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {1'000, 1'000, 0}));
    decision_log log {0, -1};
    admission_control admission(log);
    const auto job = owned_cell::makeJob("a", {makeStep(1, 1'000, 1s)});
    REQUIRE_FALSE(admission.judge(cell.state, job, cell.now));
    admission.noteAccepting(cell.state, job, cell.now);
    admission.noteOutcome(cell.state, "a", store_outcome::lost, cell.now);
    for (int number = 0; number < 20; ++number) {
        cell.addJob(owned_cell::makeJob("j" + std::to_string(number), {makeStep(10, 1'000, 10s)}));
    }
    cell.advance(10s);
    CHECK_FALSE(admission.judge(cell.state, job, cell.now));
    CHECK(admission.judge(cell.state, owned_cell::makeJob("b", {makeStep(1, 1'000, 10s)}), cell.now));
}

namespace
{

/// Batcher of an owner whose store the test controls.
struct rejecting_owner
{
    std::optional<submit_result> turnAway(const job_id &id)
    {
        std::optional<submit_result> result;
        batcher.turnAway(id, 3s, [&result](const submit_result &each) { result = each; });
        return result;
    }

    fake_store rows;
    row_version bar = row_condition::absent;
    decision_log log {0, -1};
    acceptance_batcher batcher {
        {[this](const store_transaction &transaction, const auto &done) { rows.commit(transaction, 1s, done); },
         [](const std::string &, row_version) {}, [](const job_id &) {}, &bar},
        log};
};

} // namespace

TEST_CASE("a job is turned away only if the store shows that it was not accepted before")
{
    rejecting_owner owner;
    const auto refused = owner.turnAway("new");
    REQUIRE(refused);
    CHECK(refused->outcome == store_outcome::refused);
    CHECK(refused->retryAfter == 3s);
    CHECK_FALSE(owner.rows.rows.rows().contains(jobPlace("new")));

    owner.rows.rows.put(jobPlace("live"), "row");
    owner.rows.rows.put(endedPlace("ended"), encodeEnded({job_status::complete, 5ms}));
    CHECK(owner.turnAway("live")->outcome == store_outcome::conflict);
    CHECK(owner.turnAway("ended")->outcome == store_outcome::conflict);
}

TEST_CASE("an acceptance by another process that is on its way when the job is turned away has no effect")
{
    rejecting_owner owner;
    const auto delayed = directAcceptance("a", "row"); // sent now, carried out later
    CHECK(owner.turnAway("a")->retryAfter);
    CHECK(owner.rows.rows.commit(delayed).outcome == store_outcome::conflict);
    CHECK_FALSE(owner.rows.rows.rows().contains(jobPlace("a")));
    CHECK(owner.bar == owner.rows.rows.rows().at(acceptanceBarPlace()).version);
}

TEST_CASE("without an answer of the store no job is turned away")
{
    rejecting_owner owner;
    owner.rows.ignoresCommits = true;
    std::optional<submit_result> result;
    owner.batcher.turnAway("a", 3s, [&result](const submit_result &each) { result = each; });
    CHECK_FALSE(result);
    owner.batcher.close();
    REQUIRE(result);
    CHECK(result->outcome == store_outcome::lost);
    CHECK_FALSE(result->retryAfter);
}

TEST_CASE("the summary tells the largest task that fits and the free cores that no waiting task can use")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("small", "r", {8'000, 1'000, 0}));
    cell.addWorker(owned_cell::makeWorker("large", "r", {32'000, 1'000, 0}));
    CHECK(summarize(cell.state, cell.now).largestFree == 32'000);
    CHECK(summarize(cell.state, cell.now).strandedCores == 0); // nothing waits
    cell.addJob(owned_cell::makeJob("a", {makeStep(4, 18'000, 1s)}));
    cell.runSchedulingPass(); // one of the four starts
    const auto summary = summarize(cell.state, cell.now);
    CHECK(summary.waitingTasks == 3);
    CHECK(summary.freeCores == 22'000);
    CHECK(summary.largestFree == 14'000);
    CHECK(summary.strandedCores == 22'000);
}

TEST_CASE("what no worker can take, or only waits for its workspace's limit, is no work ahead of others")
{
    owned_cell cell;
    cell.addWorker(owned_cell::makeWorker("w", "r", {milliCoresPerWorker, 64'000, 0}));
    step(cell.state, workspaces_updated {{{"a", {100, {1'000, 0, 0}}}}}, cell.now, cell.actions);
    const auto tooLarge = owned_cell::makeJob("large", {makeStep(100, 10 * milliCoresPerWorker, 60s)});
    auto limited = owned_cell::makeJob("limited", {makeStep(100, 1'000, 60s)});
    limited.workspace = "a";
    cell.addJob(tooLarge);
    cell.addJob(limited);
    cell.runSchedulingPass();
    CHECK_FALSE(outlookOf(cell.state, tooLarge, cell.now).has_value()); // it isn't turned away either
    const auto next = outlookOf(cell.state, owned_cell::makeJob("next", {makeStep(1, 1'000, 1s)}), cell.now);
    REQUIRE(next.has_value());
    CHECK(workAheadOf(cell.state, backlogOf(cell.state, cell.now), *next, cell.now).coreSeconds == 0);
}
