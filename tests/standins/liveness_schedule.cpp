#include "liveness_schedule.h"

#include "drawn_schedule.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t initialWorkers = 8;
constexpr std::int64_t workerCores = 8'000; ///< of an emulated worker
constexpr auto faultsBegin = 4'000ms;
constexpr auto faultsEnd = 24'000ms;
constexpr auto calmBegins = 32'000ms; ///< what is submitted from then on meets a settled cell, or nearly so
constexpr auto submissionsEnd = 56'000ms;
constexpr auto totalTime = 70'000ms;
constexpr std::int32_t urgentTasksPerJob = 4;
constexpr std::int64_t backlogCores = workerCores / 4; ///< of an urgent task in a backlog, four of which fill a worker
constexpr std::int32_t backlogTasksPerJob = 8;
/// So long that the jobs of a backlog don't count as far overdue, which would put all other work before them.
constexpr auto backlogTarget = 20'000ms;
constexpr std::int64_t lossesInTen = 8; ///< of ten runs of a service, so many end by themselves

struct liveness_schedule : drawn_schedule
{
    explicit liveness_schedule(std::uint64_t scheduleSeed)
        : drawn_schedule(scheduleSeed + 3'000'017, settingsOf(scheduleSeed))
        , seed(scheduleSeed)
    {
        emulation.behaviour = [this](const run_id &run, const step_spec &step) { return behaviourOf(run, step); };
    }

    static emulation_settings settingsOf(std::uint64_t seed)
    {
        emulation_settings settings;
        settings.seed = seed;
        settings.workers = initialWorkers;
        settings.faultScale = 0;
        settings.faultPeriod = faultsEnd;
        settings.maxLoadTime = 1'500ms;
        settings.checksLiveness = true;
        return settings;
    }

    /// Some runs of services end by themselves, late enough not to count as a loop of crashes.
    task_behaviour behaviourOf(const run_id &run, const step_spec &step) const
    {
        if (!step.isService) {
            return {step.estimate, false, false, 0, 0ms, {}};
        }
        const std::hash<std::string> hash;
        std::seed_seq key {static_cast<std::size_t>(seed), hash(run.task.job), static_cast<std::size_t>(run.task.index),
                           static_cast<std::size_t>(run.attempt)};
        std::minstd_rand own(key);
        const auto ownDraw = [&own](std::int64_t min, std::int64_t max) {
            return std::uniform_int_distribution<std::int64_t>(min, max)(own);
        };
        if (ownDraw(1, 10) <= lossesInTen) {
            return {std::chrono::milliseconds(ownDraw(3'000, 25'000)), true, false, 0, 0ms, {}};
        }
        return {step.estimate, false, true, 0, step.estimate, {}};
    }

    accepted_job jobOf(const std::string &name, std::int32_t priority, const step_spec &step) const
    {
        accepted_job job;
        job.id = name;
        job.queue = {"queue" + std::to_string(priority), "pool", priority, 3, 2, 500ms, std::nullopt};
        job.spec.steps = {step};
        return job;
    }

    /// Puts the job on a queue with costly advice.
    void requireAdvice(accepted_job &job)
    {
        job.queue.name += "advised";
        job.queue.advice =
            advice_policy {std::chrono::milliseconds(draw(120, 300)), 1'000us, drawTime(1'500ms, 3'000ms)};
    }

    // --- work

    void drawServices()
    {
        for (int i = 0; i < 4; ++i) {
            const bool isLarge = i == 3; // its tasks don't fit beside the tasks of a backlog
            step_spec step;
            step.count = static_cast<std::int32_t>(draw(2, isLarge ? 3 : 6));
            step.size = {isLarge ? draw(backlogCores + 500, backlogCores + 1'000) : draw(500, 1'500), draw(100, 1'000),
                         0};
            step.estimate = drawTime(100ms, 1'500ms);
            step.isService = true;
            if (draw(0, 3) > 0) {
                step.maxUnavailable = static_cast<std::int32_t>(draw(0, 2));
            }
            auto job = jobOf("service" + std::to_string(i), 3, step);
            if (i == 0) {
                requireAdvice(job);
            }
            submitAt(drawTime(500ms, 2'000ms), job);
        }
    }

    /// A step of many tasks, each of a quarter of a worker, half of them after a narrow step.
    void drawWideJob(const std::string &name, std::chrono::milliseconds time)
    {
        step_spec step;
        step.count = 14;
        step.size = {workerCores / 4, draw(500, 3'000), 0};
        step.estimate = drawTime(500ms, 3'000ms);
        auto job = jobOf(name, 2, step);
        if (draw(0, 1) == 1) {
            auto narrow = step;
            narrow.count = 1;
            step.after = {0};
            job.spec.steps = {narrow, step};
        }
        if (draw(0, 1) == 1) {
            requireAdvice(job);
        }
        submitAt(time, job);
    }

    void drawGang(const std::string &name, std::chrono::milliseconds time)
    {
        step_spec step;
        step.count = static_cast<std::int32_t>(draw(3, 6));
        step.size = {draw(1'000, 2'000), draw(500, 2'000), 0};
        step.estimate = drawTime(500ms, 3'000ms);
        step.isGang = true;
        auto job = jobOf(name, 2, step);
        if (draw(0, 1) == 1) {
            requireAdvice(job);
        }
        submitAt(time, job);
    }

    step_spec urgentStep(std::int64_t cores, std::chrono::milliseconds estimate) const
    {
        step_spec step;
        step.count = urgentTasksPerJob;
        step.size = {cores, 500, 0};
        step.estimate = estimate;
        return step;
    }

    /// Urgent narrow jobs that arrive at a rate at which they keep up to two thirds of the workers busy.
    void drawSteadyBurst(const std::string &name, std::chrono::milliseconds begin)
    {
        const auto estimate = drawTime(200ms, 1'500ms);
        const auto cores = draw(500, 2'000);
        const auto perJob = estimate * (urgentTasksPerJob * cores);
        const auto interval = perJob * 3 / (2 * static_cast<std::int64_t>(initialWorkers) * workerCores);
        const auto end = begin + drawTime(6'000ms, 10'000ms);
        int number = 0;
        for (auto time = begin; time < end; time += std::max<std::chrono::milliseconds>(interval, 10ms)) {
            submitAt(time, jobOf(name + "-" + std::to_string(number++), 0, urgentStep(cores, estimate)));
        }
    }

    /// Short urgent jobs that arrive together. The time from the end of one to the start of the next leaves a part of
    /// the workers free at each moment.
    void drawBacklog(const std::string &name, std::chrono::milliseconds begin)
    {
        const auto jobCount = draw(250, 400);
        auto step = urgentStep(backlogCores, 100ms);
        step.count = backlogTasksPerJob;
        for (std::int64_t i = 0; i < jobCount; ++i) {
            auto job = jobOf(name + "-" + std::to_string(i), 0, step);
            job.queue.target = backlogTarget;
            submitAt(begin, job);
        }
    }

    void drawBurst(const std::string &name, std::chrono::milliseconds begin)
    {
        if (draw(0, 2) == 0) {
            drawBacklog(name, begin);
        } else {
            drawSteadyBurst(name, begin);
        }
    }

    void drawWork()
    {
        drawServices();
        drawWideJob("wide0", drawTime(faultsBegin, faultsEnd));
        drawWideJob("wide1", drawTime(faultsBegin, faultsEnd));
        drawBurst("urgent0", drawTime(faultsBegin, faultsEnd));
        for (int i = 2; i < 5; ++i) {
            drawWideJob("wide" + std::to_string(i), drawTime(calmBegins, submissionsEnd));
        }
        drawGang("gang0", drawTime(calmBegins, submissionsEnd));
        drawGang("gang1", drawTime(calmBegins, submissionsEnd));
        drawBurst("urgent1", drawTime(calmBegins, 42'000ms));
    }

    // --- faults

    /// Replaces workers one after the other: a new one starts, and an old one ends after a notice.
    void drawReplacements(worker_replacement replacement)
    {
        const auto count = static_cast<std::size_t>(draw(3, 6));
        auto time = drawTime(faultsBegin, 8'000ms);
        for (std::size_t i = 0; i < count && time < faultsEnd; ++i) {
            const auto notice = drawTime(3'000ms, 9'000ms);
            at(time, "new worker", [this] { emulation.addWorker(); });
            at(time + drawTime(0ms, 1'500ms), "worker " + std::to_string(i) + " leaves",
               [this, i, notice, replacement] {
                   if (replacement == worker_replacement::restarts) {
                       emulation.drainWorker(i, notice);
                   } else {
                       emulation.removeWorker(i, notice);
                   }
               });
            time += drawTime(500ms, 3'000ms);
        }
    }

    void drawOwnerChanges()
    {
        auto time = drawTime(faultsBegin, 12'000ms);
        const auto count = draw(2, 5);
        for (std::int64_t i = 0; i < count && time < faultsEnd; ++i) {
            if (draw(0, 1) == 0) {
                handOverAt(time);
            } else {
                killOwnerAt(time, drawTime(300ms, 4'000ms));
            }
            time += drawTime(500ms, 5'000ms);
        }
    }

    /// Disconnects workers that aren't replaced, some for so long that their runs lapse.
    void drawDisconnections()
    {
        const auto count = draw(0, 2);
        for (std::int64_t i = 0; i < count; ++i) {
            const auto worker = static_cast<std::size_t>(draw(6, static_cast<std::int64_t>(initialWorkers) - 1));
            const auto span = drawTime(500ms, 9'000ms);
            disconnectWorkerAt(drawTime(faultsBegin, 16'000ms), worker, span);
        }
    }

    // --- run

    std::string run(const trace_handler &onTrace)
    {
        play(totalTime, onTrace);
        return emulation.violation();
    }

    std::uint64_t seed;
};

} // namespace

std::string runLivenessSchedule(std::uint64_t seed, worker_replacement replacement,
                                const std::function<void(const std::string &line)> &onTrace)
{
    liveness_schedule drawn(seed);
    drawn.drawWork();
    drawn.drawReplacements(replacement);
    drawn.drawOwnerChanges();
    drawn.drawDisconnections();
    return drawn.run(onTrace);
}

} // namespace primrosecroft
