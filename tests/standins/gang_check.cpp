#include "gang_check.h"

#include "executor_emulator.h"

#include <utility>

namespace primrosecroft
{

namespace
{

step_ref stepOf(const run_id &run)
{
    return {run.task.job, run.task.occurrence, run.task.step};
}

gang_check::gang_ref gangOf(const run_id &run)
{
    return {stepOf(run), run.attempt};
}

} // namespace

void gang_check::addJob(const accepted_job &job)
{
    for (std::size_t index = 0; index < job.spec.steps.size(); ++index) {
        const auto &step = job.spec.steps[index];
        if (step.isGang) {
            m_sizes[{job.id, 0, static_cast<std::int32_t>(index)}] = static_cast<std::size_t>(step.count);
        }
    }
}

bool gang_check::isGang(const step_ref &step) const
{
    return m_sizes.contains(step);
}

void gang_check::countMembers(const std::vector<executor_emulator *> &workers)
{
    m_present.clear();
    for (const auto *worker : workers) {
        for (const auto &run : worker->running()) {
            if (isGang(stepOf(run))) {
                ++m_present[gangOf(run)];
            }
        }
    }
}

bool gang_check::isPresent(const run_id &run) const
{
    const auto present = m_present.find(gangOf(run));
    return present != m_present.end() && present->second >= m_sizes.at(stepOf(run));
}

void gang_check::recordCrash(const executor_emulator &worker)
{
    for (const auto &run : worker.running()) {
        if (isGang(stepOf(run))) {
            m_crashed.insert(gangOf(run));
        }
    }
}

std::string gang_check::endMembers(const std::vector<executor_emulator *> &workers)
{
    std::string violation;
    std::map<gang_ref, run_end> ended;
    for (const auto &gang : std::exchange(m_crashed, {})) {
        ended.emplace(gang, run_end::gangBroken);
    }
    for (const auto *worker : workers) {
        const auto &ends = worker->ends();
        for (auto &seen = m_endsSeen[worker->description().id]; seen < ends.size(); ++seen) {
            const auto &end = ends[seen].end;
            if (!isGang(stepOf(end.run))) {
                continue;
            }
            if (end.how == run_end::gangIncomplete) {
                violation = "a member of a gang waited until its worker ended it: " + toString(end.run.task)
                    + " attempt " + std::to_string(end.run.attempt) + " at " + worker->description().id;
            } else if (end.how != run_end::gangBroken) {
                ended.emplace(gangOf(end.run), end.how);
            }
        }
    }
    for (auto *worker : workers) {
        for (const auto &run : worker->running()) {
            if (const auto found = ended.find(gangOf(run)); found != ended.end()) {
                worker->end(run, found->second == run_end::done ? run_end::done : run_end::gangBroken);
            }
        }
    }
    return violation;
}

} // namespace primrosecroft
