#include "judge.h"

#include <algorithm>
#include <array>
#include <ranges>
#include <set>
#include <sstream>

namespace primrosecroft::soak
{

namespace
{

constexpr int mostFailures = 3; ///< runs of a task that may fail before its job does; see the soak's configuration

using runs_of_tasks = std::map<task_ref, std::vector<const run_record *>>;

runs_of_tasks byTask(const std::vector<run_record> &runs)
{
    runs_of_tasks result;
    for (const auto &run : runs) {
        result[run.run.task].push_back(&run);
    }
    return result;
}

bool overlaps(const run_record &first, const run_record &second)
{
    return first.endNumber == 0 || second.startNumber < first.endNumber;
}

finding secondRun(const char *what, const run_record &second, const run_record &first)
{
    return {"TWICE", std::string(what) + ": [" + describe(second) + "]\n    first [" + describe(first) + "]", false};
}

/// A gang's member stands for all of its gang, so what has ended so is the step.
task_ref endedPart(const run_record &run)
{
    auto result = run.run.task;
    result.index = run.isGang ? -1 : result.index;
    return result;
}

bool hasEndedDone(const run_record &run)
{
    return run.endNumber != 0 && run.how == run_end::done;
}

std::set<task_ref> doneParts(const std::vector<run_record> &runs)
{
    std::set<task_ref> result;
    for (const auto &run : runs) {
        if (hasEndedDone(run)) {
            result.insert(endedPart(run));
        }
    }
    return result;
}

/// Calls @p use with each task of a job's steps that end by themselves or, if @p lasting is true, of those that last.
template<typename Use>
void forEachTask(const job_record &job, bool lasting, Use use)
{
    for (int occurrence = 0; occurrence < job.occurrences; ++occurrence) {
        for (int step = 0; step < static_cast<int>(job.steps.size()); ++step) {
            const auto &each = job.steps[static_cast<std::size_t>(step)];
            for (int index = 0; index < each.count && each.lasts == lasting; ++index) {
                use(task_ref {job.id, occurrence, step, index}, each);
            }
        }
    }
}

std::vector<task_ref> missingTasks(const job_record &job, const std::set<task_ref> &done)
{
    std::vector<task_ref> result;
    forEachTask(job, false, [&](const task_ref &task, const step_record &step) {
        const task_ref part {task.job, task.occurrence, task.step, step.isGang ? -1 : task.index};
        if (!done.contains(part)) {
            result.push_back(task);
        }
    });
    return result;
}

std::string nameOf(const task_ref &task)
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
        + std::to_string(task.index);
}

std::string nameOfEnd(const run_record &run)
{
    static constexpr std::array names {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    if (run.endNumber == 0) {
        return "runs on";
    }
    return run.how ? names.at(static_cast<std::size_t>(*run.how)) : "restart";
}

/// Says what became of the last run of a task.
std::string lastRun(const task_ref &task, const runs_of_tasks &runs)
{
    const auto found = runs.find(task);
    return nameOf(task)
        + (found == runs.end() ? " never started" : ", last run [" + describe(*found->second.back()) + "]");
}

bool lasts(const job_record &job)
{
    return std::ranges::any_of(job.steps, &step_record::lasts);
}

bool hasCauseToFail(const job_record &job, const std::vector<run_record> &runs)
{
    std::map<task_ref, int> failures;
    return std::ranges::any_of(runs, [&](const run_record &run) {
        return run.run.task.job == job.id && run.how == run_end::failed && ++failures[endedPart(run)] >= mostFailures;
    });
}

/// Says how the runs of a job's most tried task have ended. Those of the same task that a restart has ended are
/// crashes.
std::string endsOfMostTried(const job_record &job, const runs_of_tasks &runs)
{
    auto ofJob = runs | std::views::filter([&](const auto &each) { return each.first.job == job.id; });
    const auto found = std::ranges::max_element(ofJob, {}, [](const auto &each) { return each.second.size(); });
    if (found == ofJob.end()) {
        return "none of its tasks has run";
    }
    std::map<std::string, int> ends;
    std::ranges::for_each(found->second, [&ends](const run_record *run) { ++ends[nameOfEnd(*run)]; });
    auto result = "runs of " + nameOf(found->first) + ':';
    for (const auto &[name, count] : ends) {
        result += ' ' + name + ' ' + std::to_string(count);
    }
    return result;
}

void judgeJob(const judged_soak &soak, const job_record &job, const std::set<task_ref> &done, const runs_of_tasks &runs,
              std::vector<finding> &findings)
{
    const auto missing = missingTasks(job, done);
    const auto about = "job " + job.id + " of " + job.queue + ", accepted at "
        + std::to_string(job.acceptedAt.value_or(milliseconds(0)).count());
    if (job.completeAt && !missing.empty()) {
        findings.push_back({"MIXED", about + ", is shown as complete: " + lastRun(missing.front(), runs), false});
    }
    if (!job.acceptedAt || job.cancelSentAt) {
        return;
    }
    if ((job.state == "failed" && !hasCauseToFail(job, soak.runs)) || job.state == "cancelled") {
        findings.push_back(
            {"LOST", about + ", is shown as " + job.state + " without cause, " + endsOfMostTried(job, runs), false});
    }
    if (!soak.isOver) {
        return;
    }
    if (!lasts(job) && !job.completeAt && job.state != "failed") {
        const auto why = missing.empty() ? "all tasks have ended" : lastRun(missing.front(), runs);
        findings.push_back({"LOST", about + ", state " + job.state + ", isn't complete: " + why, false});
    }
    forEachTask(job, true, [&](const task_ref &task, const step_record &) {
        const auto found = runs.find(task);
        const bool isRunning = found != runs.end()
            && std::ranges::any_of(found->second, [](const run_record *run) { return run->endNumber == 0; });
        if (!isRunning) {
            findings.push_back({"LOST", about + ": a task that lasts isn't running: " + lastRun(task, runs), false});
        }
    });
}

} // namespace

std::string describe(const run_record &run)
{
    std::ostringstream text;
    text << nameOf(run.run.task) << " run " << run.run.attempt << " on i-" << run.worker << " boot " << run.boot
         << " side " << run.side << " from " << run.sender << " token " << run.token << " late " << run.isLate
         << " cut " << run.isBesideCut << ", start " << run.startedAt.count() << " #" << run.startNumber;
    if (run.stopOrderedAt) {
        text << " stop " << run.stopOrderedAt->count();
    }
    if (run.endNumber == 0) {
        text << " runs on";
        return text.str();
    }
    text << " end " << run.endedAt.count() << " #" << run.endNumber << ' ' << nameOfEnd(run) << " number "
         << run.endOnWorker;
    if (run.notedAt) {
        text << " noted " << run.notedAt->count();
    }
    return text.str();
}

std::vector<finding> findSecondRuns(const std::vector<run_record> &runs)
{
    std::vector<finding> findings;
    std::map<task_ref, const run_record *> noted; // first end as done that is taken note of
    for (const auto &run : runs) {
        if (hasEndedDone(run) && run.notedAt) {
            auto &first = noted[endedPart(run)];
            first = first == nullptr || run.endNumber < first->endNumber ? &run : first;
        }
    }
    for (const auto &[task, all] : byTask(runs)) {
        for (std::size_t i = 0; i < all.size(); ++i) {
            for (std::size_t j = i + 1; j < all.size(); ++j) {
                if (overlaps(*all[i], *all[j])) {
                    findings.push_back(secondRun("two runs at once", *all[j], *all[i]));
                }
            }
            const auto ended = noted.find(endedPart(*all[i]));
            if (ended != noted.end() && all[i]->startNumber > ended->second->endNumber) {
                findings.push_back(secondRun("started after a noted end as done", *all[i], *ended->second));
            }
        }
    }
    return findings;
}

std::vector<finding> findUnfinishedJobs(const judged_soak &soak)
{
    std::vector<finding> findings;
    const auto done = doneParts(soak.runs);
    const auto runs = byTask(soak.runs);
    for (const auto &job : std::views::values(soak.jobs)) {
        judgeJob(soak, job, done, runs, findings);
    }
    for (const auto &run : soak.runs) {
        const auto job = soak.jobs.find(run.run.task.job);
        if (job == soak.jobs.end()) {
            findings.push_back({"UNASKED", "nobody sent the job of [" + describe(run) + "]", false});
        } else if (soak.isOver && job->second.cancelledAt && run.endNumber == 0) {
            findings.push_back({"UNASKED", "its job is cancelled: [" + describe(run) + "]", false});
        }
    }
    return findings;
}

std::vector<finding> findUnnotedEnds(const judged_soak &soak, const std::vector<worker_boot> &boots, milliseconds until)
{
    const auto isListed = [&](const run_record &run) {
        return run.endNumber != 0 && run.how && run.endedAt <= until
            && run.boot == boots.at(static_cast<std::size_t>(run.worker));
    };
    const auto listed = std::ranges::count_if(soak.runs, isListed);
    const auto unnoted =
        std::ranges::count_if(soak.runs, [&](const run_record &run) { return isListed(run) && !run.isAcknowledged; });
    if (unnoted * 5 <= listed) {
        return {};
    }
    return {{"ends", std::to_string(unnoted) + " of " + std::to_string(listed) + " ends weren't taken note of", false}};
}

} // namespace primrosecroft::soak
