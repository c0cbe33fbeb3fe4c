#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <iostream>
#include <map>
#include <random>

/// Replays a burst through the owner's core in virtual time, with what it learns of durations, with the callers'
/// estimates and with the true durations.
using namespace primrosecroft;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace
{

constexpr auto tick = 20ms;
constexpr auto listInterval = 500ms;
constexpr int workerCount = 24;
constexpr std::int64_t workerCores = 16'000;
constexpr double slowdownFactor = 2;
constexpr auto target = 500ms;

/// A job with the time that each of its tasks takes.
struct drawn_job
{
    accepted_job job;
    milliseconds arrivesAt {0};
    std::vector<std::vector<milliseconds>> times; ///< of each step's tasks
};

/// Where the core gets durations from.
enum class duration_source
{
    estimates,
    learned,
    truth,
};

/// How far the callers' estimates are from the truth.
struct estimate_noise
{
    double factor = 1; ///< of all estimates
    double octaves = 1.3; ///< standard deviation
};

/// Draws jobs: short ones with one step, and longer ones with two wide steps. More come than the workers can do for
/// a while, in the middle.
class load_generator
{
public:
    load_generator(std::uint64_t seed, const estimate_noise &noise)
        : m_random(seed)
        , m_noise(noise)
    {
    }

    std::vector<drawn_job> draw(milliseconds span)
    {
        std::vector<drawn_job> result;
        for (milliseconds at {0}; at < span; at += gapAt(at, span)) {
            result.push_back(drawJob(static_cast<int>(result.size()), at));
        }
        return result;
    }

private:
    milliseconds gapAt(milliseconds at, milliseconds span)
    {
        const bool isBurst = at > span / 3 && at < span * 2 / 3;
        return milliseconds(
            1 + static_cast<int>(std::exponential_distribution<>(isBurst ? 1 / 38.0 : 1 / 150.0)(m_random)));
    }

    double octaves(double deviation)
    {
        return std::exp2(std::normal_distribution<>(0, deviation)(m_random));
    }

    drawn_job drawJob(int number, milliseconds at)
    {
        const bool isLong = m_random() % 4 == 0;
        drawn_job result;
        result.arrivesAt = at;
        std::vector<step_spec> steps;
        for (int index = 0; index < (isLong ? 2 : 1); ++index) {
            const double typical = (isLong ? 3'000 : 700) * octaves(0.7);
            step_spec step;
            step.count = static_cast<std::int32_t>(isLong ? 4 + m_random() % 8 : 1 + m_random() % 6);
            step.size = {isLong ? 2'000 : 1'000, 100, 0};
            step.estimate = milliseconds(1 + std::lround(typical * m_noise.factor * octaves(m_noise.octaves)));
            if (index > 0) {
                step.after = {index - 1};
            }
            steps.push_back(step);
            auto &times = result.times.emplace_back();
            for (int task = 0; task < step.count; ++task) {
                times.emplace_back(1 + std::lround(typical * octaves(0.2)));
            }
        }
        result.job = owned_cell::makeJob("job" + std::to_string(number), steps);
        result.job.queue = {isLong ? "long" : "short", "pool", 0, 2, slowdownFactor, target, std::nullopt};
        return result;
    }

    std::mt19937_64 m_random;
    estimate_noise m_noise;
};

milliseconds objectiveOf(const drawn_job &drawn)
{
    milliseconds chain {0};
    for (const auto &times : drawn.times) {
        chain += std::ranges::max(times);
    }
    return milliseconds(std::lround(static_cast<double>(chain.count()) * slowdownFactor)) + target;
}

/// The workers and the jobs of a replay.
class replay
{
public:
    replay(std::vector<drawn_job> load, duration_source source)
        : m_load(std::move(load))
    {
        m_cell.state.settings.learnsDurations = source == duration_source::learned;
        for (int number = 0; number < workerCount; ++number) {
            m_cell.addWorker(owned_cell::makeWorker("w" + std::to_string(number), "r" + std::to_string(number / 8),
                                                    {workerCores, 64'000, 0}));
        }
        for (auto &drawn : m_load) {
            for (std::size_t step = 0; source == duration_source::truth && step < drawn.times.size(); ++step) {
                drawn.job.spec.steps[step].estimate = std::ranges::max(drawn.times[step]);
            }
            m_times[drawn.job.id] = drawn.times;
        }
    }

    /// Returns the share of the jobs that end within their objective.
    double run()
    {
        const auto startedAt = m_cell.now;
        std::size_t arrived = 0;
        std::map<job_id, milliseconds> endedAt;
        while (endedAt.size() < m_load.size() && m_cell.now < startedAt + 10min) {
            m_cell.advance(tick);
            const auto elapsed = std::chrono::duration_cast<milliseconds>(m_cell.now - startedAt);
            for (; arrived < m_load.size() && m_load[arrived].arrivesAt <= elapsed; ++arrived) {
                m_cell.addJob(m_load[arrived].job);
            }
            answerLists(elapsed);
            for (const auto &start : m_cell.runSchedulingPass()) {
                begin(start);
            }
            m_cell.confirmCommit();
            for (const auto &id : m_cell.state.finishedJobsOrder) {
                endedAt.try_emplace(id, elapsed);
            }
        }
        const auto inTime = std::ranges::count_if(m_load, [&](const drawn_job &drawn) {
            const auto ended = endedAt.find(drawn.job.id);
            return ended != endedAt.end() && ended->second - drawn.arrivesAt <= objectiveOf(drawn);
        });
        CHECK(endedAt.size() == m_load.size());
        return static_cast<double>(inTime) / static_cast<double>(m_load.size());
    }

private:
    struct run_at_work
    {
        instant since;
        milliseconds work {0};
    };

    void begin(const send_start &start)
    {
        const auto &task = start.run.task;
        const auto work =
            m_times.at(task.job)[static_cast<std::size_t>(task.step)][static_cast<std::size_t>(task.index)];
        m_runs[start.worker][start.run] = {m_cell.now, work};
        step(m_cell.state, start_answered {start.worker, 1, start.run, order_result::done, m_cell.now}, m_cell.now,
             m_cell.actions);
    }

    /// Each worker lists its runs when one has ended, and regularly.
    void answerLists(milliseconds elapsed)
    {
        for (const auto &[id, worker] : m_cell.state.workers) {
            std::vector<listed_run> running;
            std::vector<listed_end> ended;
            for (const auto &[run, work] : m_runs[id]) {
                const auto percent = (m_cell.now - work.since) * 100 / work.work;
                if (percent >= 100) {
                    ended.push_back({++m_ends[id], run, run_end::done, ""});
                } else {
                    running.push_back({run, "", static_cast<std::int32_t>(percent), 0});
                }
            }
            std::erase_if(m_runs[id],
                          [this](const auto &each) { return m_cell.now >= each.second.since + each.second.work; });
            if (!ended.empty() || elapsed.count() % listInterval.count() == 0) {
                m_cell.answerList(id, running, ended);
            }
        }
    }

    owned_cell m_cell;
    std::vector<drawn_job> m_load;
    std::map<job_id, std::vector<std::vector<milliseconds>>> m_times;
    std::map<worker_id, std::map<run_id, run_at_work>> m_runs;
    std::map<worker_id, std::int64_t> m_ends;
};

/// Returns the mean share of jobs in time over some loads.
double shareInTime(duration_source source, const estimate_noise &noise)
{
    constexpr int loads = 5;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= loads; ++seed) {
        sum += replay(load_generator(seed, noise).draw(90s), source).run();
    }
    return sum / loads;
}

} // namespace

TEST_CASE("with what is learned nearly as many jobs of a burst are in time as with their true durations")
{
    const auto truth = shareInTime(duration_source::truth, {});
    const auto learned = shareInTime(duration_source::learned, {});
    std::cout << "in time with estimates " << shareInTime(duration_source::estimates, {}) << ", learned " << learned
              << ", truth " << truth << '\n';
    CHECK(learned >= 0.97 * truth);
}

TEST_CASE("all jobs end, and no fewer in time than by plain estimates, with estimates that are off by ten")
{
    const auto plain = shareInTime(duration_source::estimates, {});
    for (const double factor : {0.1, 10.0}) {
        const auto learned = shareInTime(duration_source::learned, {factor, 1.3});
        std::cout << "in time with estimates times " << factor << ": learned " << learned << '\n';
        CHECK(learned >= plain);
    }
}
