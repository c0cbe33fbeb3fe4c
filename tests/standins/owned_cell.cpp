#include "owned_cell.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrosecroft
{

using namespace std::chrono_literals;

namespace
{

constexpr row_version ownerToken = 10;

} // namespace

owned_cell::owned_cell()
{
    cell_take_over takeOver;
    takeOver.token = ownerToken;
    takeOver.takenAt = now;
    state = makeCell({}, takeOver);
}

worker_description owned_cell::makeWorker(const worker_id &id, const std::string &rack, const resources &capacity)
{
    worker_description worker;
    worker.id = id;
    worker.boot = 1;
    worker.address = id + ".workers.example:80";
    worker.pool = "pool";
    worker.failureDomain = "a";
    worker.labels = {"plain", rack};
    worker.capacity = capacity;
    return worker;
}

void owned_cell::addWorker(const worker_description &worker)
{
    apply(worker_listed {worker});
    answerList(worker.id, {});
    state.contactedWorkers.insert(worker.id);
}

accepted_job owned_cell::makeJob(const job_id &id, const std::vector<step_spec> &steps, std::int32_t priority)
{
    accepted_job job;
    job.id = id;
    job.queue = {"queue", "pool", priority, 2, 2, 500ms, std::nullopt};
    job.spec.steps = steps;
    return job;
}

void owned_cell::addJob(const accepted_job &job)
{
    apply(job_arrived {job, {}, ownerToken + 1, false});
}

std::vector<send_start> owned_cell::runSchedulingPass()
{
    apply(ownership_confirmed {now, ownerToken + 1});
    apply(clock_ticked {timeOfDay, 1s, adviceRoutes});
    actions.clear();
    primrosecroft::runSchedulingPass(state, now, actions);
    std::vector<send_start> starts;
    for (const auto &action : actions) {
        if (const auto *start = std::get_if<send_start>(&action)) {
            starts.push_back(*start);
        } else if (const auto *rows = std::get_if<commit_rows>(&action)) {
            m_pendingCommit = rows->number;
        }
    }
    return starts;
}

void owned_cell::confirmCommit()
{
    if (const auto number = std::exchange(m_pendingCommit, std::nullopt)) {
        apply(commit_answered {*number, store_outcome::done, ownerToken + 2});
    }
}

void owned_cell::answerList(const worker_id &worker, const std::vector<listed_run> &runs,
                            const std::vector<listed_end> &ends, worker_boot boot)
{
    list_answered answer;
    answer.worker = worker;
    answer.result = order_result::done;
    answer.sentAt = now;
    answer.boot = boot;
    answer.clock = 1'000ms + std::chrono::duration_cast<worker_time>(now.time_since_epoch());
    answer.running = runs;
    answer.ended = ends;
    apply(answer);
}

void owned_cell::advance(std::chrono::milliseconds time)
{
    now += time;
    timeOfDay += time;
}

void owned_cell::apply(const cell_message &message)
{
    step(state, message, now, actions);
}

std::vector<run_id> stopsIn(const std::vector<cell_action> &actions)
{
    std::vector<run_id> result;
    std::ranges::transform(actionsOf<send_stop>(actions), std::back_inserter(result), &send_stop::run);
    return result;
}

} // namespace primrosecroft
