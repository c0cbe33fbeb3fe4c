#include "limit_schedule.h"

#include <algorithm>
#include <random>
#include <set>
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

struct limit_schedule
{
    limit_schedule(std::uint64_t seed, disabled_rule mutation)
        : random(seed + 9'000'011) // other numbers than those of the emulation
        , emulation(settingsOf(seed, mutation))
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

    std::int64_t draw(std::int64_t min, std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    }

    std::chrono::milliseconds drawTime(std::chrono::milliseconds min, std::chrono::milliseconds max)
    {
        return std::chrono::milliseconds(draw(min.count(), max.count()));
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
            jobs.insert(job.id);
            events.emplace(time, [this, job] { emulation.submit(job); });
            if (draw(0, 2) == 0) {
                events.emplace(time + drawTime(100ms, 6'000ms), [this, id = job.id] { emulation.cancel(id); });
            }
        }
    }

    void drawLimits()
    {
        const auto count = draw(1, 4);
        for (std::int64_t i = 0; i < count; ++i) {
            events.emplace(drawTime(workBegins, workEnds),
                           [this, policies = drawPolicies()] { emulation.configure(policies); });
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
            events.emplace(time, [this, span, isKill] {
                if (isKill) {
                    emulation.killOwner(span);
                } else {
                    emulation.handOver();
                }
            });
            const auto cut = draw(0, workerCount / 2);
            for (std::int64_t each = 0; each < cut; ++each) {
                const auto worker = static_cast<std::size_t>(draw(0, workerCount - 1));
                events.emplace(
                    std::max(workBegins, time - drawTime(0ms, 1'000ms)),
                    [this, worker, cutFor = drawTime(500ms, 9'000ms)] { emulation.disconnectWorker(worker, cutFor); });
            }
        }
    }

    /// Cuts workers off for so long that starts without an answer can't be barred before they are carried out late.
    void drawCuts()
    {
        for (std::int64_t i = 0; i < cutCount; ++i) {
            const auto worker = static_cast<std::size_t>(draw(0, workerCount - 1));
            events.emplace(drawTime(workBegins, workEnds), [this, worker, span = drawTime(1'000ms, 4'000ms)] {
                emulation.disconnectWorker(worker, span);
            });
        }
    }

    std::string run(const std::function<void(const std::string &line)> &onTrace)
    {
        if (onTrace) {
            emulation.onTrace = [&](const std::string &line) {
                onTrace(std::to_string(emulation.elapsed().count()) + " " + line);
            };
        }
        emulation.configure(drawPolicies());
        for (const auto &[time, event] : events) {
            if (emulation.elapsed() < time) {
                emulation.runFor(time - emulation.elapsed());
            }
            event();
        }
        emulation.runFor(totalTime - emulation.elapsed());
        if (!emulation.violation().empty()) {
            return emulation.violation();
        }
        const auto open = std::ranges::find_if(jobs, [this](const job_id &id) { return !emulation.storedEnd(id); });
        return open == jobs.end() ? std::string()
                                  : "not ended long after the last fault: " + *open + "; " + emulation.explain(*open);
    }

    std::mt19937_64 random;
    cell_emulation emulation;
    std::set<job_id> jobs;
    std::multimap<std::chrono::milliseconds, std::function<void()>> events;
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
