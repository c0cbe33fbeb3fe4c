#include "drawn_schedule.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

drawn_schedule::drawn_schedule(std::uint64_t randomSeed, const emulation_settings &settings)
    : random(randomSeed)
    , emulation(settings)
{
}

std::int64_t drawn_schedule::draw(std::int64_t min, std::int64_t max)
{
    return std::uniform_int_distribution<std::int64_t>(min, max)(random);
}

std::chrono::milliseconds drawn_schedule::drawTime(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    return std::chrono::milliseconds(draw(min.count(), max.count()));
}

void drawn_schedule::at(std::chrono::milliseconds time, const std::string &what, std::function<void()> action)
{
    m_events.emplace(time, drawn_event {what, std::move(action)});
}

void drawn_schedule::submitAt(std::chrono::milliseconds time, const accepted_job &job)
{
    jobs.insert(job.id);
    at(time, "submit " + job.id, [this, job] { emulation.submit(job); });
}

void drawn_schedule::killOwnerAt(std::chrono::milliseconds time, std::chrono::milliseconds span)
{
    at(time, "kill owner", [this, span] { emulation.killOwner(span); });
}

void drawn_schedule::handOverAt(std::chrono::milliseconds time)
{
    at(time, "hand over", [this] { emulation.handOver(); });
}

void drawn_schedule::disconnectWorkerAt(std::chrono::milliseconds time, std::size_t worker,
                                        std::chrono::milliseconds span)
{
    at(time, "disconnect worker " + std::to_string(worker),
       [this, worker, span] { emulation.disconnectWorker(worker, span); });
}

void drawn_schedule::play(std::chrono::milliseconds totalTime, const trace_handler &onTrace)
{
    const auto trace = [&](const std::string &line) {
        if (onTrace) {
            onTrace(std::to_string(emulation.elapsed().count()) + " " + line);
        }
    };
    if (onTrace) {
        emulation.onTrace = trace;
    }
    for (const auto &[time, event] : m_events) {
        if (emulation.elapsed() < time) {
            emulation.runFor(time - emulation.elapsed());
        }
        trace(event.what);
        event.action();
    }
    emulation.runFor(totalTime - emulation.elapsed());
    emulation.onTrace = {}; // it refers to this call's variables
}

std::string drawn_schedule::findOpenJob() const
{
    const auto open = std::ranges::find_if(jobs, [this](const job_id &id) { return !emulation.storedEnd(id); });
    return open == jobs.end() ? std::string()
                              : "not ended long after the last fault: " + *open + "; " + emulation.explain(*open);
}

} // namespace primrosecroft
