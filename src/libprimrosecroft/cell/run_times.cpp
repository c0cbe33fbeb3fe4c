#include "cell/detail/cell_parts.h"
#include "cell/detail/workspace_limits.h"
#include "core/contains.h"

#include <algorithm>
#include <cmath>
#include <ranges>

/// How long runs take: what is learned from those that have ended, and what is expected of those that wait or run.
namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

constexpr auto forecastInterval = 1'000ms; ///< between two renewals of the forecasts of waiting steps
constexpr std::int32_t wholePercent = 100;
constexpr std::int32_t minPercentToExtrapolate = 5; ///< progress that tells the rest of a run better than a forecast
constexpr std::int32_t minPercentOfCutRun = 20; ///< progress that tells the time that a run would have taken
constexpr std::int32_t maxPercentOfResumedRun = 50; ///< a run that resumes later than here tells little of its task
constexpr int maxSpread = 3; ///< the latest end of a run is taken if it is this many times later than the median
constexpr int cautionPart = 3; ///< caution adds one part in this many of the way from the median to the late time
constexpr std::size_t maxSlownessRuns = 50; ///< at most so many runs make the slowness of a usual worker

task_kind kindOf(const job_state &job, const step_spec &spec)
{
    return {job.accepted.queue.name, spec.image, spec.estimate};
}

duration_forecast baseForecast(const cell_state &state, const job_state &job, const step_spec &spec)
{
    if (!state.settings.learnsDurations) {
        return {spec.estimate, spec.estimate, spec.estimate, 0};
    }
    return forecast(state.durations, kindOf(job, spec));
}

duration_forecast refined(const cell_state &state, const step_state &step, const duration_forecast &base)
{
    return state.settings.learnsDurations ? refineBy(step.times, base) : base;
}

/// Returns whether the time of a run says something of its kind: services last, best-effort tasks take as long as other
/// tasks let them, and a task far from its data is slower.
bool isTypical(const worker_state &worker, const step_spec &spec)
{
    return !spec.isService && !spec.isBestEffort
        && (spec.dataRack.empty() || contains(worker.description.labels, spec.dataRack));
}

/// The run's time, or how long it worked at least.
struct measured_time
{
    duration worked {0};
    bool isWhole = false;
};

/// The time of a task that is done. A run that resumed took only the rest, so its progress tells the whole.
std::optional<measured_time> timeOfDone(const task_run &run, instant now)
{
    if (run.firstPercentAt == instant {} || run.firstPercent > maxPercentOfResumedRun) {
        return std::nullopt;
    }
    return measured_time {(now - run.firstPercentAt) * wholePercent / (wholePercent - run.firstPercent), true};
}

/// The time that a run which was cut off would have taken, if it had made enough progress, or what it took until its
/// last progress. A run that stood still or was never seen at work tells nothing.
std::optional<measured_time> timeOfCut(const task_run &run)
{
    const auto gained = run.percent - run.firstPercent;
    const auto worked = run.lastProgressAt - run.firstPercentAt;
    if (run.firstPercentAt == instant {} || worked <= 0ms) {
        return std::nullopt;
    }
    if (gained >= minPercentOfCutRun) {
        return measured_time {worked * wholePercent / gained, true};
    }
    return measured_time {worked, false};
}

std::optional<measured_time> measure(const task_run &run, run_end how, instant now)
{
    switch (how) {
    case run_end::done:
        return timeOfDone(run, now);
    case run_end::stopped:
    case run_end::lapsed:
        return timeOfCut(run);
    case run_end::failed: // the fault may have come at any time
    case run_end::gangBroken:
    case run_end::gangIncomplete:
        break;
    }
    return std::nullopt;
}

/// Smooths the slowness over about as many runs as there are workers. In a smaller cell it would otherwise lag behind
/// that of its workers, and a shift of the load would look like slow workers.
void noteSlowness(cell_state &state, const worker_state &worker)
{
    const auto runs = std::clamp<std::size_t>(state.workers.size(), 1, maxSlownessRuns);
    state.usualSlowness += (worker.health.slowness - state.usualSlowness) / static_cast<double>(runs);
}

/// Tasks of a step take about the same time, so each counts for less the more of them there are.
double weightOf(const step_spec &spec)
{
    return 1 / std::sqrt(static_cast<double>(std::max(1, spec.count)));
}

std::chrono::milliseconds objectiveOf(const accepted_job &job, std::chrono::milliseconds criticalPath)
{
    if (job.queue.advice) {
        const auto call = job.queue.advice->decide + workersPerAdviceCall * job.queue.advice->perWorker;
        criticalPath +=
            std::chrono::duration_cast<std::chrono::milliseconds>(call) * static_cast<int>(job.spec.steps.size());
    }
    return std::chrono::milliseconds(
               static_cast<std::int64_t>(static_cast<double>(criticalPath.count()) * job.queue.slowdownFactor))
        + job.queue.target;
}

/// The time of a step when it is asked whether its job can still be in time. With a wide forecast that is later than
/// the median, so that a job which may well be late doesn't hold up those that surely aren't.
std::chrono::milliseconds cautiousTime(const duration_forecast &forecast)
{
    return forecast.median + (forecast.late - forecast.median) / cautionPart;
}

using step_durations = std::vector<std::chrono::milliseconds>;

/// The time of a step whose tasks take @p time each. It runs in waves if the limit of its workspace doesn't let all its
/// tasks run at the same time.
std::chrono::milliseconds timeInWaves(const cell_state &state, const accepted_job &job, const step_spec &spec,
                                      std::chrono::milliseconds time)
{
    if (spec.isService || spec.isGang) {
        return time;
    }
    const auto atOnce = std::clamp<std::int64_t>(concurrentTasks(state, job, spec), 1, spec.count);
    return time * ((spec.count + atOnce - 1) / atOnce);
}

void renewOccurrence(const cell_state &state, const accepted_job &job, const std::vector<duration_forecast> &bases,
                     occurrence_state &occurrence)
{
    step_durations cautious;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        auto &step = occurrence.steps[index];
        step.forecast = refined(state, step, bases[index]);
        cautious.push_back(timeInWaves(state, job, job.spec.steps[index], cautiousTime(step.forecast)));
    }
    const auto paths = criticalPathsFromSteps(job.spec, cautious);
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        occurrence.steps[index].criticalPath = paths[index];
    }
}

bool hasWaitingStep(const job_state &job)
{
    return std::ranges::any_of(std::views::values(job.occurrences), [](const occurrence_state &occurrence) {
        return std::ranges::any_of(occurrence.steps, [](const step_state &step) { return !step.pendingTasks.empty(); });
    });
}

} // namespace

void renewForecasts(const cell_state &state, job_state &job)
{
    const auto &spec = job.accepted.spec;
    std::vector<duration_forecast> bases;
    std::ranges::transform(spec.steps, std::back_inserter(bases),
                           [&](const step_spec &step) { return baseForecast(state, job, step); });
    step_durations medians;
    std::ranges::transform(bases, std::back_inserter(medians), &duration_forecast::median);
    for (auto &[number, occurrence] : job.occurrences) {
        if (occurrence.isComplete) {
            continue;
        }
        renewOccurrence(state, job.accepted, bases, occurrence);
        if (spec.occurrences == 0) {
            std::ranges::transform(occurrence.steps, medians.begin(),
                                   [](const step_state &step) { return step.forecast.median; });
        }
    }
    for (std::size_t index = 0; index < medians.size(); ++index) {
        medians[index] = timeInWaves(state, job.accepted, spec.steps[index], medians[index]);
    }
    const auto paths = criticalPathsFromSteps(spec, medians);
    job.objective = objectiveOf(job.accepted, paths.empty() ? 0ms : std::ranges::max(paths));
}

longest_times longestTimes(const cell_state &state, const job_state &job)
{
    const auto &spec = job.accepted.spec;
    step_durations late;
    std::ranges::transform(spec.steps, std::back_inserter(late), [&](const step_spec &step) {
        return timeInWaves(state, job.accepted, step, baseForecast(state, job, step).late);
    });
    const auto paths = criticalPathsFromSteps(spec, late);
    const auto criticalPath = paths.empty() ? 0ms : std::ranges::max(paths);
    return {objectiveOf(job.accepted, criticalPath), criticalPath};
}

void renewForecastsIfDue(cell_state &state, instant now)
{
    if (!state.settings.learnsDurations || now < state.nextForecastAt) {
        return;
    }
    state.nextForecastAt = now + forecastInterval;
    for (auto &job : std::views::values(state.jobs)) {
        if (!isAborted(job) && hasWaitingStep(job)) {
            renewForecasts(state, job);
        }
    }
}

void learnFrom(cell_state &state, const worker_state &worker, const task_view &view, const task_run &run, run_end how,
               instant now)
{
    const auto measured = isTypical(worker, *view.spec) ? measure(run, how, now) : std::nullopt;
    if (!state.settings.learnsDurations || !measured) {
        return;
    }
    noteSlowness(state, worker);
    const auto slowness = worker.health.slowness / state.usualSlowness;
    const auto worked = std::chrono::duration_cast<std::chrono::milliseconds>(measured->worked / slowness);
    learn(state.durations, {kindOf(*view.job, *view.spec), worked, measured->isWhole, weightOf(*view.spec)});
    if (how == run_end::done) {
        add(view.step->times, worked);
    }
    view.step->forecast = refineBy(view.step->times, baseForecast(state, *view.job, *view.spec));
}

std::chrono::milliseconds timePerPercent(const step_state &step, const task_run &run)
{
    const auto gained = run.percent - run.firstPercent;
    const auto whole = gained >= minPercentToExtrapolate && run.firstPercentAt != instant {}
        ? std::chrono::duration_cast<std::chrono::milliseconds>(run.lastProgressAt - run.firstPercentAt) * wholePercent
            / gained
        : step.forecast.late;
    return whole / wholePercent;
}

std::chrono::milliseconds remainingTime(const step_state &step, const task_run &run, instant now)
{
    const auto sinceProgress = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.lastProgressAt);
    if (run.percent - run.firstPercent >= minPercentToExtrapolate) {
        return std::max(0ms, timePerPercent(step, run) * (wholePercent - run.percent) - sinceProgress);
    }
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - run.sentAt);
    const auto isWide = step.forecast.late > maxSpread * step.forecast.median;
    const auto expected = elapsed < step.forecast.median && !isWide ? step.forecast.median : step.forecast.late;
    return std::max(0ms, expected - elapsed);
}

} // namespace primrosecroft::detail
