#pragma once

#include "owned_cell.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <vector>

namespace primrosecroft
{

/// A cell with a worker for each id, whose workers list all that was started on them.
struct crashing_cell
{
    static constexpr resources wholeWorker {8'000, 16'000, 0};
    static constexpr worker_boot firstBoot = 1;
    /// Three heartbeats without one end a worker's entry in the platform's list.
    static constexpr std::chrono::milliseconds entryLifetime {4'500};

    /// A step of small tasks.
    static step_spec makeStep(std::int32_t count)
    {
        step_spec step;
        step.count = count;
        step.size = {1'000, 1'000, 0};
        step.estimate = std::chrono::milliseconds(800);
        return step;
    }

    explicit crashing_cell(std::initializer_list<const char *> workers)
    {
        for (const auto *id : workers) {
            cell.addWorker(owned_cell::makeWorker(id, "r", wholeWorker));
            boots[id] = firstBoot;
        }
    }

    /// Runs passes and stores what they commit, and lets the workers accept the starts. Returns these.
    std::vector<send_start> startPending()
    {
        std::vector<send_start> result;
        for (int pass = 0; pass < 3; ++pass) {
            for (const auto &start : cell.runSchedulingPass()) {
                step(cell.state, start_answered {start.worker, start.boot, start.run, order_result::done, cell.now},
                     cell.now, cell.actions);
                running[start.worker].push_back({start.run, "", 10, 0});
                result.push_back(start);
            }
            cell.confirmCommit();
            cell.advance(std::chrono::milliseconds(50));
        }
        return result;
    }

    /// Lets time pass and has each worker list its runs.
    void advanceAndList(std::chrono::milliseconds time)
    {
        cell.advance(time);
        for (const auto &[id, boot] : boots) {
            cell.answerList(id, running[id], {}, boot);
        }
    }

    /// The worker loses all its runs, and the platform lists its next boot.
    void crash(const worker_id &id)
    {
        auto worker = owned_cell::makeWorker(id, "r", wholeWorker);
        running[id].clear();
        worker.boot = ++boots[id];
        step(cell.state, worker_listed {worker}, cell.now, cell.actions);
        cell.answerList(id, {}, {}, worker.boot);
    }

    /// The workers don't answer until all leases on them have expired.
    void silence()
    {
        cell.advance(std::chrono::seconds(10));
        cell.runSchedulingPass();
        cell.confirmCommit();
    }

    /// The worker is cut off from the cell and from the platform's store. Its leases expire and its entry goes, while
    /// the others answer and take what starts. @p away is how long it stays so.
    void cutOff(const worker_id &id, std::chrono::milliseconds away = std::chrono::seconds(9))
    {
        const auto boot = boots.at(id);
        boots.erase(id);
        running[id].clear();
        const auto begin = cell.now;
        while (cell.now < begin + away) {
            list_answered unanswered;
            unanswered.worker = id;
            unanswered.result = order_result::lost;
            step(cell.state, unanswered, cell.now, cell.actions);
            if (cell.now > begin + entryLifetime) {
                step(cell.state, worker_unlisted {id}, cell.now, cell.actions);
            }
            advanceAndList(std::chrono::milliseconds(100));
            startPending();
        }
        boots[id] = boot;
    }

    /// The platform lists the worker again, which answers.
    void comeBack(const worker_id &id)
    {
        auto worker = owned_cell::makeWorker(id, "r", wholeWorker);
        worker.boot = boots.at(id);
        step(cell.state, worker_listed {worker}, cell.now, cell.actions);
        cell.answerList(id, running[id], {}, worker.boot);
    }

    /// Returns the worker on which the job's first task runs, empty if there is none.
    worker_id workerOf(const job_id &id) const
    {
        const auto found = std::ranges::find_if(running, [&](const auto &each) {
            return std::ranges::any_of(each.second, [&](const auto &run) { return run.run.task.job == id; });
        });
        return found == running.end() ? worker_id {} : found->first;
    }

    /// The workers refuse connections.
    void refuse(std::initializer_list<worker_id> workers)
    {
        for (const auto &id : workers) {
            list_answered refused;
            refused.worker = id;
            refused.result = order_result::unreachable;
            step(cell.state, refused, cell.now, cell.actions);
        }
    }

    /// Returns the losses of one of the job's tasks.
    const loss_record &losses(const job_id &id, std::int32_t index = 0) const
    {
        return cell.state.jobs.at(id).occurrences.at(0).steps[0].tasks[static_cast<std::size_t>(index)].losses;
    }

    bool hasFailed(const job_id &id) const
    {
        const auto found = cell.state.jobs.find(id);
        return found == cell.state.jobs.end() ? cell.state.finishedJobs.at(id) == job_status::failed
                                              : found->second.hasFailed;
    }

    owned_cell cell;
    std::map<worker_id, worker_boot> boots;
    std::map<worker_id, std::vector<listed_run>> running;
};

} // namespace primrosecroft
