#include "load_replay.h"

#include "admission/admission.h"
#include "cell/detail/cell_parts.h"
#include "cell/detail/serving_order.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numeric>
#include <ranges>
#include <set>
#include <tuple>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto tick = 20ms;
constexpr auto listInterval = 500ms;
constexpr auto measureInterval = 200ms;
constexpr auto longestReplay = 10min;
constexpr auto progressUnit = 100;
constexpr double lateWorth = 0.2;
constexpr double unevenness = 0.15; ///< by which the work of a step's tasks differs
constexpr int maxTries = 5; ///< that a caller makes
constexpr int workersPerCall = 30; ///< that the objective counts for each call for advice
constexpr int workersPerRack = 8;

struct drawn_job
{
    accepted_job job;
    const load_kind *kind = nullptr;
    milliseconds arrivesAt {0};
    milliseconds objective {0}; ///< by the true durations
    std::vector<std::vector<milliseconds>> times; ///< of each step's tasks on a worker of usual speed
};

class load_generator
{
public:
    load_generator(const load_pattern &load, std::uint32_t seed, bool isEstimateExact)
        : m_load(load)
        , m_random(seed)
        , m_isEstimateExact(isEstimateExact)
    {
    }

    std::vector<drawn_job> draw()
    {
        std::vector<drawn_job> result;
        for (const auto &kind : m_load.kinds) {
            milliseconds begin {0};
            for (const auto &phase : m_load.phases) {
                const bool isMeant = phase.kind.empty() || phase.kind == kind.name;
                drawPhase(kind, begin, phase.length, isMeant ? phase.factor : 1, result);
                begin += phase.length;
            }
        }
        std::ranges::sort(result, {}, [](const drawn_job &each) { return std::tie(each.arrivesAt, each.job.id); });
        return result;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<>(0, 1)(m_random);
    }

    /// A value around 1 of which the logarithm has this deviation; never over three.
    double spread(double deviation)
    {
        constexpr double most = 3;
        return std::min(most, std::exp(std::normal_distribution<>(0, deviation)(m_random) - deviation * deviation / 2));
    }

    void drawPhase(const load_kind &kind, milliseconds begin, milliseconds length, double factor,
                   std::vector<drawn_job> &result)
    {
        const double perMillisecond = kind.jobsPerSecond * factor / 1'000;
        double at = 0;
        while (perMillisecond > 0) {
            at += std::exponential_distribution<>(perMillisecond)(m_random);
            if (at >= static_cast<double>(length.count())) {
                return;
            }
            result.push_back(drawJob(kind, begin + milliseconds(std::llround(at))));
        }
    }

    drawn_job drawJob(const load_kind &kind, milliseconds at)
    {
        drawn_job result;
        result.kind = &kind;
        result.arrivesAt = at;
        const auto accelerators = kind.accelerators[m_random() % kind.accelerators.size()];
        const auto stepCount = std::max(1, static_cast<int>(kind.steps + uniform()));
        std::vector<step_spec> steps;
        for (int index = 0; index < stepCount; ++index) {
            steps.push_back(drawStep(kind, accelerators, result.times.emplace_back()));
            if (index > 0) {
                steps.back().after = {index - 1};
            }
        }
        result.job = owned_cell::makeJob(kind.name + "-" + std::to_string(++m_lastJob), steps, kind.priority);
        result.job.queue = {kind.name, kind.pool, kind.priority, 2, kind.slowdownFactor, kind.target, kind.advice};
        result.objective = objectiveOf(kind, result.times);
        return result;
    }

    step_spec drawStep(const load_kind &kind, std::int64_t accelerators, std::vector<milliseconds> &times)
    {
        const auto work = static_cast<double>(kind.work.count()) * spread(kind.workSpread);
        const auto error = kind.estimateError * (2 * uniform() - 1);
        step_spec step;
        step.count = std::max(1, static_cast<int>(std::lround(kind.width * spread(kind.widthSpread))));
        step.size = kind.size;
        step.size.accelerators = accelerators;
        step.isGang = kind.isGang;
        step.savesProgress = !kind.isGang;
        for (int task = 0; task < step.count; ++task) {
            const auto time = work * (1 + unevenness * (2 * uniform() - 1));
            times.emplace_back(1 + std::lround(time));
        }
        if (kind.isGang) {
            std::ranges::fill(times, std::ranges::max(times)); // its tasks end together
        }
        step.estimate = m_isEstimateExact ? std::ranges::max(times) : milliseconds(std::lround(work * (1 + error)) + 1);
        return step;
    }

    static milliseconds objectiveOf(const load_kind &kind, const std::vector<std::vector<milliseconds>> &times)
    {
        const auto call =
            std::chrono::duration_cast<milliseconds>(kind.advice.decide + kind.advice.perWorker * workersPerCall);
        milliseconds chain {0};
        for (const auto &step : times) {
            chain += std::ranges::max(step) + call;
        }
        return milliseconds(std::llround(static_cast<double>(chain.count()) * kind.slowdownFactor)) + kind.target;
    }

    const load_pattern &m_load;
    std::mt19937 m_random;
    bool m_isEstimateExact;
    int m_lastJob = 0;
};

/// The advice service: one call at a time on each route, and the same answer whenever it is asked.
class advice_routes
{
public:
    explicit advice_routes(int count)
        : m_freeAt(static_cast<std::size_t>(count))
    {
    }

    static bool allows(const step_ref &step, const load_kind &kind, const worker_id &worker)
    {
        std::seed_seq key(worker.begin(), worker.end());
        std::mt19937 random(key);
        const auto salt = std::hash<std::string> {}(step.job) + static_cast<std::size_t>(step.step);
        constexpr std::size_t whole = 1'000;
        return static_cast<double>((random() ^ salt) * 2'654'435'761U / 65'536 % whole)
            < kind.allowedShare * static_cast<double>(whole);
    }

    void ask(const ask_advice &call, const load_kind &kind, instant now)
    {
        auto &freeAt = *std::ranges::min_element(m_freeAt);
        freeAt = std::max(freeAt, now) + call.cost;
        advice_answered answer;
        answer.step = call.step;
        answer.asked = call.workers;
        answer.isAnswered = true;
        answer.isCostly = call.isCostly;
        answer.valid = kind.advice.valid;
        answer.issuedAt = freeAt;
        const auto isAllowed = [&](const worker_id &worker) { return allows(call.step, kind, worker); };
        for (const auto &worker : call.workers | std::views::filter(isAllowed)) {
            answer.allowed.push_back({worker, "ticket"});
        }
        m_answers.emplace(freeAt, std::move(answer));
    }

    std::vector<advice_answered> due(instant now)
    {
        std::vector<advice_answered> result;
        while (!m_answers.empty() && m_answers.begin()->first <= now) {
            result.push_back(std::move(m_answers.begin()->second));
            m_answers.erase(m_answers.begin());
        }
        return result;
    }

private:
    std::vector<instant> m_freeAt;
    std::multimap<instant, advice_answered> m_answers;
};

class replay
{
public:
    replay(const load_pattern &load, duration_source source, std::uint32_t seed)
        : m_load(load)
        , m_jobs(load_generator(load, seed, source == duration_source::truth).draw())
        , m_advice(load.adviceRoutes)
    {
        m_cell.state.settings.learnsDurations = source == duration_source::learned;
        m_cell.adviceRoutes = load.adviceRoutes;
        addWorkers();
        for (const auto &phase : load.phases) {
            m_arrivalsEnd += phase.length;
        }
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            m_indices[m_jobs[index].job.id] = index;
            m_tries.push_back({m_jobs[index].arrivesAt, index, 1});
            auto &result = m_results.kinds[m_jobs[index].kind->name];
            ++result.sent;
            result.steps += static_cast<int>(m_jobs[index].times.size());
        }
        std::ranges::make_heap(m_tries, std::greater<>());
    }

    load_results run()
    {
        const auto startedAt = m_cell.now;
        while (!m_open.empty() || !m_tries.empty()) {
            m_cell.advance(tick);
            m_elapsed = std::chrono::duration_cast<milliseconds>(m_cell.now - startedAt);
            if (m_elapsed > longestReplay) {
                break;
            }
            submitDue();
            for (const auto &answer : m_advice.due(m_cell.now)) {
                step(m_cell.state, answer, m_cell.now, m_cell.actions);
            }
            answerLists();
            m_cell.runSchedulingPass();
            carryOut();
            m_cell.confirmCommit();
            noteEnds();
            if (m_elapsed.count() % measureInterval.count() == 0) {
                measurePools();
            }
        }
        return m_results;
    }

private:
    struct caller_try
    {
        milliseconds at {0};
        std::size_t job = 0;
        int number = 0;

        friend auto operator<=>(const caller_try &, const caller_try &) = default;
    };

    struct run_at_work
    {
        instant since;
        duration work {0};
    };

    void addWorkers()
    {
        int number = 0;
        for (const auto &group : m_load.workers) {
            for (int index = 0; index < group.count; ++index, ++number) {
                auto worker = owned_cell::makeWorker("w" + std::to_string(number),
                                                     "r" + std::to_string(number / workersPerRack), group.capacity);
                worker.pool = group.pool;
                m_cell.addWorker(worker);
                m_slowness[worker.id] = group.slowness;
            }
        }
    }

    void submitDue()
    {
        while (!m_tries.empty() && m_tries.front().at <= m_elapsed) {
            std::ranges::pop_heap(m_tries, std::greater<>());
            const auto next = m_tries.back();
            m_tries.pop_back();
            submit(next);
        }
    }

    void submit(const caller_try &next)
    {
        const auto &drawn = m_jobs[next.job];
        const auto retryAfter = m_admission.judge(m_cell.state, drawn.job, m_cell.now);
        if (!retryAfter) {
            m_admission.noteAccepting(m_cell.state, drawn.job, m_cell.now);
            m_admission.noteOutcome(m_cell.state, drawn.job.id, store_outcome::done, m_cell.now);
            m_cell.addJob(drawn.job);
            m_open.insert(drawn.job.id);
            return;
        }
        m_admission.noteOutcome(m_cell.state, drawn.job.id, submit_result::turnedAway(*retryAfter), m_cell.now);
        auto &result = m_results.kinds[drawn.kind->name];
        result.turnedAwayWithRoom += hasRoomFor(drawn) ? 1 : 0;
        if (next.number >= maxTries) {
            ++result.turnedAway;
            return;
        }
        m_tries.push_back({m_elapsed + *retryAfter, next.job, next.number + 1});
        std::ranges::push_heap(m_tries, std::greater<>());
    }

    /// Free capacity of the workers that the step may run on.
    std::vector<resources *> roomFor(const drawn_job &drawn, std::size_t index,
                                     std::map<worker_id, resources> &free) const
    {
        const step_ref step {drawn.job.id, 0, static_cast<std::int32_t>(index)};
        std::vector<resources *> result;
        for (const auto &[id, worker] : m_cell.state.workers) {
            if (worker.description.pool == drawn.kind->pool && advice_routes::allows(step, *drawn.kind, id)) {
                result.push_back(&free.at(id));
            }
        }
        return result;
    }

    std::map<worker_id, resources> freeCapacities() const
    {
        std::map<worker_id, resources> result;
        for (const auto &[id, worker] : m_cell.state.workers) {
            const auto &whole = worker.description.capacity;
            result[id] = {whole.milliCores - worker.used.milliCores, whole.memoryMib - worker.used.memoryMib,
                          whole.accelerators - worker.used.accelerators};
        }
        return result;
    }

    /// Returns whether the workers that may run the job have room for all tasks of its first step, beside those that
    /// wait and are served before.
    bool hasRoomFor(const drawn_job &drawn)
    {
        auto free = freeCapacities();
        const auto job = detail::makeJob(m_cell.state, {drawn.job, {}, 0, false}, m_cell.now);
        const auto &spec = drawn.job.spec.steps.front();
        const auto own =
            detail::servingRankOf(m_cell.state, job, job.occurrences.at(0).steps.front(), spec, m_cell.now);
        for (const auto &queued : detail::queuedSteps(m_cell.state, m_cell.now)) {
            if (queued.rank <= own) {
                const auto &waiting = queued.waiting;
                const auto &other = m_jobs[m_indices.at(waiting.job->accepted.id)];
                fill(roomFor(other, static_cast<std::size_t>(waiting.index), free), *waiting.spec,
                     std::ssize(waiting.step->pendingTasks));
            }
        }
        return fill(roomFor(drawn, 0, free), spec, spec.count) == spec.count;
    }

    void carryOut()
    {
        for (const auto actions = m_cell.actions; const auto &action : actions) {
            if (const auto *start = std::get_if<send_start>(&action)) {
                begin(*start);
            } else if (const auto *stop = std::get_if<send_stop>(&action)) {
                m_runs[stop->worker].erase(stop->run);
                step(m_cell.state, stop_answered {stop->worker, 1, stop->run, order_result::done, m_cell.now},
                     m_cell.now, m_cell.actions);
            } else if (const auto *call = std::get_if<ask_advice>(&action)) {
                const auto &kind = *m_jobs[m_indices.at(call->step.job)].kind;
                m_advice.ask(*call, kind, m_cell.now);
                auto &result = m_results.kinds[kind.name];
                ++result.adviceCalls;
                result.adviceSeconds += std::chrono::duration<double>(call->cost).count();
            }
        }
    }

    void begin(const send_start &start)
    {
        const auto &task = start.run.task;
        const auto &times = m_jobs[m_indices.at(task.job)].times[static_cast<std::size_t>(task.step)];
        const auto time = std::chrono::duration<double, std::milli>(times[static_cast<std::size_t>(task.index)])
            * m_slowness.at(start.worker);
        m_runs[start.worker][start.run] = {m_cell.now, std::chrono::duration_cast<duration>(time)};
        step(m_cell.state, start_answered {start.worker, 1, start.run, order_result::done, m_cell.now}, m_cell.now,
             m_cell.actions);
    }

    /// Each worker lists its runs when one has ended, and regularly.
    void answerLists()
    {
        for (const auto &id : m_cell.state.workers | std::views::keys) {
            std::vector<listed_run> running;
            std::vector<listed_end> ended;
            std::erase_if(m_runs[id], [&](const auto &each) {
                const auto percent = (m_cell.now - each.second.since) * progressUnit / each.second.work;
                if (percent >= progressUnit) {
                    ended.push_back({++m_ends[id], each.first, run_end::done, ""});
                    return true;
                }
                running.push_back({each.first, "", static_cast<std::int32_t>(percent), 0});
                return false;
            });
            if (!ended.empty() || m_elapsed.count() % listInterval.count() == 0) {
                m_cell.answerList(id, running, ended);
            }
        }
    }

    /// Fills the free capacity with the tasks that wait, and counts what they take.
    void measurePools()
    {
        constexpr double milliCoresPerCore = 1'000;
        const auto seconds = std::chrono::duration<double>(measureInterval).count();
        auto free = freeCapacities();
        std::map<std::string, pool_result> now;
        for (const auto &worker : m_cell.state.workers | std::views::values) {
            auto &pool = now[worker.description.pool];
            pool.offered += static_cast<double>(worker.description.capacity.milliCores);
            pool.used += static_cast<double>(worker.used.milliCores);
        }
        for (const auto &[id, job] : m_cell.state.jobs) {
            const auto &drawn = m_jobs[m_indices.at(id)];
            for (std::size_t index = 0; !job.occurrences.empty() && index < drawn.times.size(); ++index) {
                const auto &step = job.occurrences.at(0).steps[index];
                const auto &spec = drawn.job.spec.steps[index];
                if (step.isReady && !step.pendingTasks.empty()) {
                    const auto tasks = fill(roomFor(drawn, index, free), spec, std::ssize(step.pendingTasks));
                    now[drawn.kind->pool].idle += static_cast<double>(tasks * spec.size.milliCores);
                }
            }
        }
        for (const auto &[name, each] : now) {
            auto &total = m_results.pools[name];
            const bool isBusy = m_elapsed < m_arrivalsEnd;
            total.offered += isBusy ? each.offered / milliCoresPerCore * seconds : 0;
            total.used += isBusy ? each.used / milliCoresPerCore * seconds : 0;
            total.idle += isBusy ? each.idle / milliCoresPerCore * seconds : 0;
        }
    }

    /// Takes room for up to @p count tasks, for all or none of a gang, and returns how many have it.
    static std::int64_t fill(const std::vector<resources *> &room, const step_spec &spec, std::int64_t count)
    {
        std::vector<resources> left;
        std::ranges::transform(room, std::back_inserter(left), [](const resources *each) { return *each; });
        std::int64_t taken = 0;
        for (auto &each : left) {
            while (taken < count && each.milliCores >= spec.size.milliCores && each.memoryMib >= spec.size.memoryMib
                   && each.accelerators >= spec.size.accelerators) {
                each.milliCores -= spec.size.milliCores;
                each.memoryMib -= spec.size.memoryMib;
                each.accelerators -= spec.size.accelerators;
                ++taken;
            }
        }
        if (spec.isGang && taken < count) {
            return 0;
        }
        for (std::size_t index = 0; index < left.size(); ++index) {
            *room[index] = left[index];
        }
        return taken;
    }

    void noteEnds()
    {
        std::erase_if(m_open, [this](const job_id &id) {
            const auto found = m_cell.state.jobs.find(id);
            if (found != m_cell.state.jobs.end() && !found->second.hasFailed && found->second.openOccurrences > 0) {
                return false;
            }
            const auto &drawn = m_jobs[m_indices.at(id)];
            auto &result = m_results.kinds[drawn.kind->name];
            const auto took = m_elapsed - drawn.arrivesAt;
            if (found != m_cell.state.jobs.end() && found->second.hasFailed) {
                ++result.failed;
            } else if (took <= drawn.objective) {
                ++result.inTime;
            } else if (took <= maxObjectives * drawn.objective) {
                ++result.late;
            }
            return true;
        });
    }

    const load_pattern &m_load;
    std::vector<drawn_job> m_jobs;
    std::map<job_id, std::size_t> m_indices;
    advice_routes m_advice;
    owned_cell m_cell;
    decision_log m_log {0, -1};
    admission_control m_admission {m_log};
    milliseconds m_elapsed {0};
    milliseconds m_arrivalsEnd {0};
    std::vector<caller_try> m_tries; ///< a heap, the next one on top
    std::set<job_id> m_open; ///< accepted and not over
    std::map<worker_id, double> m_slowness;
    std::map<worker_id, std::map<run_id, run_at_work>> m_runs;
    std::map<worker_id, std::int64_t> m_ends;
    load_results m_results;
};

} // namespace

double shareServed(const load_result &result)
{
    return (result.inTime + lateWorth * result.late) / std::max(1, result.sent);
}

load_results replayLoad(const load_pattern &load, duration_source source, std::uint32_t seed)
{
    return replay(load, source, seed).run();
}

} // namespace primrosecroft
