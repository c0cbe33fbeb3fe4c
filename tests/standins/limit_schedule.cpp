#include "limit_schedule.h"

#include "drawn_schedule.h"

#include <algorithm>
#include <vector>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t workerCount = 10;
constexpr auto workBegins = 1'000ms;
constexpr auto workEnds = 20'000ms;
constexpr auto totalTime = 140'000ms;
constexpr std::int64_t jobCount = 40;
constexpr std::int64_t cutCount = 20;

struct limit_schedule : drawn_schedule
{
    limit_schedule(std::uint64_t seed, disabled_rule mutation)
        : drawn_schedule(seed + 9'000'011, settingsOf(seed, mutation))
    {
    }

    static emulation_settings settingsOf(std::uint64_t seed, disabled_rule mutation)
    {
        emulation_settings settings;
        settings.mutation = mutation;
        settings.seed = seed;
        settings.workers = workerCount;
        settings.faultPeriod = workEnds;
        settings.faultScale = 1.5;
        settings.maxLoadTime = 1'500ms;
        return settings;
    }

    /// Each limit lets every single task and gang of drawJob() run.
    workspace_policies drawPolicies()
    {
        return {{"narrow", {1, {draw(4'000, 16'000), draw(6'000, 20'000), 0}}},
                {"wide", {2, {draw(12'000, 40'000), 0, 0}}},
                {"free", {1, {}}}};
    }

    accepted_job drawJob(const std::string &name)
    {
        static const std::vector<workspace_name> names {"narrow", "narrow", "wide", "free", ""};
        accepted_job job;
        job.id = name;
        job.workspace = names[static_cast<std::size_t>(draw(0, std::ssize(names) - 1))];
        job.queue = {"queue", "pool", 0, 3, 2, 500ms, std::nullopt};
        const auto steps = draw(1, 2);
        const bool allowsCopies = draw(0, 2) == 0;
        for (std::int64_t number = 0; number < steps; ++number) {
            step_spec step;
            step.count = static_cast<std::int32_t>(draw(1, 6));
            step.size = {draw(500, 2'500), draw(100, 2'000), 0};
            step.estimate = drawTime(200ms, 4'000ms);
            step.allowsCopies = allowsCopies;
            if (number > 0) {
                step.after = {static_cast<std::int32_t>(number - 1)};
            }
            job.spec.steps.push_back(step);
        }
        if (!allowsCopies && draw(0, 3) == 0) {
            auto &last = job.spec.steps.back();
            last.isGang = true;
            last.count = static_cast<std::int32_t>(draw(2, 3));
            last.size = {draw(500, 1'200), draw(100, 1'500), 0};
        }
        return job;
    }

    void drawWork()
    {
        for (std::int64_t i = 0; i < jobCount; ++i) {
            const auto job = drawJob("job" + std::to_string(i));
            const auto time = drawTime(workBegins, workEnds);
            submitAt(time, job);
            if (draw(0, 2) == 0) {
                at(time + drawTime(100ms, 6'000ms), "cancel " + job.id, [this, id = job.id] { emulation.cancel(id); });
            }
        }
    }

    void drawLimits()
    {
        const auto count = draw(1, 4);
        for (std::int64_t i = 0; i < count; ++i) {
            const auto time = drawTime(workBegins, workEnds);
            at(time, "configure", [this, policies = drawPolicies()] { emulation.configure(policies); });
        }
    }

    /// Changes the owner while some workers don't answer, so that the next one doesn't know what they run.
    void drawOwnerChanges()
    {
        const auto count = draw(1, 4);
        for (std::int64_t i = 0; i < count; ++i) {
            const auto time = drawTime(workBegins, workEnds);
            const auto span = drawTime(300ms, 4'000ms);
            const bool isKill = draw(0, 1) == 0;
            if (isKill) {
                killOwnerAt(time, span);
            } else {
                handOverAt(time);
            }
            const auto cut = draw(0, workerCount / 2);
            for (std::int64_t each = 0; each < cut; ++each) {
                const auto worker = static_cast<std::size_t>(draw(0, workerCount - 1));
                const auto cutAt = std::max(workBegins, time - drawTime(0ms, 1'000ms));
                disconnectWorkerAt(cutAt, worker, drawTime(500ms, 9'000ms));
            }
        }
    }

    /// Cuts workers off for so long that starts without an answer can't be barred before they are carried out late.
    void drawCuts()
    {
        for (std::int64_t i = 0; i < cutCount; ++i) {
            const auto worker = static_cast<std::size_t>(draw(0, workerCount - 1));
            const auto time = drawTime(workBegins, workEnds);
            disconnectWorkerAt(time, worker, drawTime(1'000ms, 4'000ms));
        }
    }

    std::string run(const trace_handler &onTrace)
    {
        emulation.configure(drawPolicies());
        play(totalTime, onTrace);
        return emulation.violation().empty() ? findOpenJob() : emulation.violation();
    }
};

} // namespace

std::string runLimitSchedule(std::uint64_t seed, const std::function<void(const std::string &line)> &onTrace,
                             disabled_rule mutation)
{
    limit_schedule drawn(seed, mutation);
    drawn.drawWork();
    drawn.drawLimits();
    drawn.drawOwnerChanges();
    drawn.drawCuts();
    return drawn.run(onTrace);
}

} // namespace primrosecroft
