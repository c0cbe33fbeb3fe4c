#include "cell/detail/gangs.h"

#include "cell/detail/serving_order.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// For a member to begin after its start was sent. The platform's gang timeout is 3 s or more, and a stop has to arrive
/// before.
constexpr auto maxStartTime = 1'500ms;

/// Workers end the members of a gang of which one has ended, and list that within this time.
constexpr auto endListingTime = 200ms;

/// Returns the attempt that the gang makes now, and 0 if no run is wanted.
std::uint32_t attemptOf(const step_state &step)
{
    std::uint32_t latest = 0;
    for (const auto &task : step.tasks) {
        for (const auto &run : task.runs) {
            latest = run.isStopWanted ? latest : std::max(latest, run.attempt);
        }
    }
    return latest;
}

/// Returns whether a list has shown progress in this attempt, which no member makes alone.
bool isAtWork(const step_state &step, std::uint32_t attempt)
{
    return std::ranges::any_of(step.tasks, [attempt](const task_state &task) {
        return std::ranges::any_of(task.runs, [attempt](const task_run &run) {
            return run.attempt == attempt && run.phase == run_phase::running && run.percent > run.firstPercent;
        });
    });
}

/// Returns whether a run of the attempt has begun, or may still begin. If @p mayWait is false, it may only in time.
bool isExpected(const task_state &task, std::uint32_t attempt, bool mayWait, instant now)
{
    return std::ranges::any_of(task.runs, [&](const task_run &run) {
        const bool isInTime = mayWait || run.phase == run_phase::running || run.sentAt + maxStartTime > now;
        return run.attempt == attempt && !run.isStopWanted && isInTime;
    });
}

/// Returns the index of a member that isn't expected to run while others are; std::nullopt if there is none.
std::optional<std::int32_t> findMissingMember(const step_state &step, const step_spec &spec, instant now)
{
    const auto attempt = attemptOf(step);
    if (attempt == 0 || step.doneCount > 0) {
        return std::nullopt;
    }
    // A silent worker may have begun its member, and the stop of an at-most-once gang fails its job.
    const bool mayWait = spec.isAtMostOnce || isAtWork(step, attempt);
    const auto missing = std::ranges::find_if_not(
        step.tasks, [&](const task_state &task) { return isExpected(task, attempt, mayWait, now); });
    if (missing == step.tasks.end()) {
        return std::nullopt;
    }
    return static_cast<std::int32_t>(missing - step.tasks.begin());
}

/// @p ref names the gang's step; its index isn't read.
void stopIfIncomplete(cell_state &state, task_ref ref, step_state &step, const step_spec &spec, instant now,
                      cell_actions &actions)
{
    const auto missing = findMissingMember(step, spec, now);
    if (!missing) {
        step.incompleteSince = {};
        return;
    }
    if (step.incompleteSince == instant {}) {
        step.incompleteSince = now;
    }
    if (step.incompleteSince + endListingTime <= now) {
        ref.index = *missing;
        stopGang(state, ref, step, now, actions);
    }
}

} // namespace

void stopGang(cell_state &state, const task_ref &member, step_state &step, instant now, cell_actions &actions)
{
    step.incompleteSince = {};
    const auto attempt = attemptOf(step);
    if (attempt == 0) {
        return;
    }
    actions.emplace_back(report_gang_stopped {{member, attempt}});
    auto ref = member;
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        ref.index = static_cast<std::int32_t>(index);
        stopRuns(state, ref, step.tasks[index], now, actions);
    }
}

void stopIncompleteGangs(cell_state &state, instant now, cell_actions &actions)
{
    for (auto &[id, job] : state.jobs) {
        // Until the workers of an earlier owner have answered, they may run what is missing here.
        if (isAborted(job) || isJobInDoubt(state, job, now)) {
            continue;
        }
        const auto &specs = job.accepted.spec.steps;
        for (auto &[number, occurrence] : job.occurrences) {
            for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
                if (specs[index].isGang) {
                    stopIfIncomplete(state, {id, number, static_cast<std::int32_t>(index), 0}, occurrence.steps[index],
                                     specs[index], now, actions);
                }
            }
        }
    }
}

} // namespace primrosecroft::detail
