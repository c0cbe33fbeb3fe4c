#pragma once

#include "cell_emulation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace primrosecroft
{

/// Drawn events for an emulated cell. Each kind of schedule extends it by what it draws and checks.
struct drawn_schedule
{
    /// Called with a line for each event and for what the emulation traces, behind the time in milliseconds.
    using trace_handler = std::function<void(const std::string &line)>;

    /// @p randomSeed is for the events; the emulation draws numbers of its own from the seed in @p settings.
    drawn_schedule(std::uint64_t randomSeed, const emulation_settings &settings);

    std::int64_t draw(std::int64_t min, std::int64_t max);
    std::chrono::milliseconds drawTime(std::chrono::milliseconds min, std::chrono::milliseconds max);

    /// Adds an event. @p what names it in traces.
    void at(std::chrono::milliseconds time, const std::string &what, std::function<void()> action);

    void submitAt(std::chrono::milliseconds time, const accepted_job &job);
    void killOwnerAt(std::chrono::milliseconds time, std::chrono::milliseconds span);
    void handOverAt(std::chrono::milliseconds time);
    void disconnectWorkerAt(std::chrono::milliseconds time, std::size_t worker, std::chrono::milliseconds span);

    /// Plays the events and runs on until @p totalTime. @p onTrace may be empty.
    void play(std::chrono::milliseconds totalTime, const trace_handler &onTrace);

    /// Tells of the first job that has no stored end; an empty string if all have.
    std::string findOpenJob() const;

    std::mt19937_64 random;
    cell_emulation emulation;
    std::set<job_id> jobs;

private:
    struct drawn_event
    {
        std::string what;
        std::function<void()> action;
    };

    std::multimap<std::chrono::milliseconds, drawn_event> m_events;
};

} // namespace primrosecroft
