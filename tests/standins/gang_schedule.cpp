#include "gang_schedule.h"

#include <algorithm>
#include <random>
#include <set>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t workerCount = 6;
constexpr std::int64_t jobCount = 25;
constexpr auto workBegins = 4'000ms; ///< there is an owner by then
constexpr auto workEnds = 30'000ms;
constexpr auto totalTime = 90'000ms;
constexpr double startsWithoutConnection = 0.05;
constexpr std::int64_t maxHandOvers = 3;

struct gang_schedule
{
    gang_schedule(std::uint64_t seed, disabled_rule mutation)
        : random(seed + 11'000'003) // other numbers than those of the emulation
        , emulation(settingsOf(seed, mutation))
    {
    }

    static emulation_settings settingsOf(std::uint64_t seed, disabled_rule mutation)
    {
        emulation_settings settings;
        settings.seed = seed;
        settings.mutation = mutation;
        settings.workers = workerCount;
        settings.faultScale = 0;
        settings.startsWithoutConnection = startsWithoutConnection;
        settings.checksGangs = true;
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

    void drawWork()
    {
        for (std::int64_t i = 0; i < jobCount; ++i) {
            step_spec gang;
            gang.count = static_cast<std::int32_t>(draw(2, 10));
            gang.size = {draw(500, 4'000), draw(100, 2'000), 0};
            gang.estimate = drawTime(200ms, 3'000ms);
            gang.isGang = true;
            accepted_job job;
            job.id = "job" + std::to_string(i);
            job.queue = {"queue", "pool", 0, 3, 2, 500ms, std::nullopt};
            job.spec.steps = {gang};
            jobs.insert(job.id);
            events.emplace(drawTime(workBegins, workEnds), [this, job] { emulation.submit(job); });
        }
    }

    void drawHandOvers()
    {
        const auto count = draw(0, maxHandOvers);
        for (std::int64_t i = 0; i < count; ++i) {
            events.emplace(drawTime(workBegins, workEnds), [this] { emulation.handOver(); });
        }
    }

    std::string run(const std::function<void(const std::string &line)> &onTrace)
    {
        if (onTrace) {
            emulation.onTrace = [&](const std::string &line) {
                onTrace(std::to_string(emulation.elapsed().count()) + " " + line);
            };
        }
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
        return open == jobs.end() ? std::string() : "not ended: " + *open + "; " + emulation.explain(*open);
    }

    std::mt19937_64 random;
    cell_emulation emulation;
    std::set<job_id> jobs;
    std::multimap<std::chrono::milliseconds, std::function<void()>> events;
};

} // namespace

std::string runGangSchedule(std::uint64_t seed, const std::function<void(const std::string &line)> &onTrace,
                            disabled_rule mutation)
{
    gang_schedule drawn(seed, mutation);
    drawn.drawWork();
    drawn.drawHandOvers();
    return drawn.run(onTrace);
}

} // namespace primrosecroft
