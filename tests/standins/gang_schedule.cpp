#include "gang_schedule.h"

#include "drawn_schedule.h"

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

struct gang_schedule : drawn_schedule
{
    gang_schedule(std::uint64_t seed, disabled_rule mutation)
        : drawn_schedule(seed + 11'000'003, settingsOf(seed, mutation))
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
            submitAt(drawTime(workBegins, workEnds), job);
        }
    }

    void drawHandOvers()
    {
        const auto count = draw(0, maxHandOvers);
        for (std::int64_t i = 0; i < count; ++i) {
            handOverAt(drawTime(workBegins, workEnds));
        }
    }

    std::string run(const trace_handler &onTrace)
    {
        play(totalTime, onTrace);
        return emulation.violation().empty() ? findOpenJob() : emulation.violation();
    }
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
