#include "cell/detail/unsettled_losses.h"

#include "cell/detail/worker_loss.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

constexpr std::size_t maxSilentWorkers = 10'000; ///< the latest ones that are remembered
constexpr std::size_t maxUnsettledLosses = 4; ///< the latest ones of a task; limits the size of its row

/// Lets the worker's next answer settle its losses under the task.
void awaitAnswer(cell_state &state, const task_ref &ref, const unsettled_loss &loss, instant now)
{
    auto &silent = state.silentWorkers[loss.worker];
    silent.address = loss.address;
    silent.since = now;
    silent.tasks.insert(ref);
    if (state.silentWorkers.size() > maxSilentWorkers) {
        const auto since = [](const auto &each) { return each.second.since; };
        state.silentWorkers.erase(std::ranges::min_element(state.silentWorkers, {}, since));
    }
}

void proveUnsettledLoss(loss_record &losses, const unsettled_loss &loss)
{
    auto &counted = losses.byAttempt[loss.attempt];
    if (loss.countsLater && counted.count == nullptr) {
        ++losses.counts.later;
        counted.count = &lost_workers::later;
    }
    losses.counts.alone += loss.isTrial ? 1 : 0;
    proveLoss(losses, counted);
}

void takeBackUnsettledLoss(loss_record &losses, const unsettled_loss &loss)
{
    const auto known = losses.byAttempt.find(loss.attempt);
    const bool isProven = known != losses.byAttempt.end() && known->second.isProven;
    if (loss.counted == loss_count::none || isProven) {
        return;
    }
    auto &counts = losses.counts;
    counts.soon -= loss.counted == loss_count::soon && counts.soon > 0 ? 1 : 0;
    counts.later -= loss.counted == loss_count::later && counts.later > 0 ? 1 : 0;
    losses.byAttempt.erase(loss.attempt);
}

/// Settles the losses of the worker under one task. @p presentBoot is unset if the worker has surely ended.
void settleLossesUnder(cell_state &state, const task_ref &ref, const worker_id &worker,
                       std::optional<worker_boot> presentBoot, instant now, cell_actions &actions)
{
    const auto view = findTask(state, ref);
    if (!view) {
        return;
    }
    auto &losses = view->task->losses;
    const auto isOfWorker = [&worker](const unsettled_loss &loss) { return loss.worker == worker; };
    std::vector<unsettled_loss> settled;
    std::ranges::copy_if(losses.unsettled, std::back_inserter(settled), isOfWorker);
    std::erase_if(losses.unsettled, isOfWorker);
    if (settled.empty() || view->task->isDone || isAborted(*view->job)) {
        return;
    }
    markUnsaved(state, *view->job);
    bool isSuspectProven = false;
    for (const auto &loss : settled) {
        const bool isProven = presentBoot != loss.boot;
        if (isProven) {
            proveUnsettledLoss(losses, loss);
            isSuspectProven = isSuspectProven || loss.counted == loss_count::soon;
        } else {
            takeBackUnsettledLoss(losses, loss);
        }
        actions.emplace_back(report_loss_settled {{ref, loss.attempt}, worker, isProven, losses.counts});
    }
    shortenPause(*view->task, now);
    if (isSuspectProven && isToBlame(losses.counts)) {
        giveUpTask(state, ref, *view, worker, now, actions);
    }
}

void settleLossesOf(cell_state &state, const worker_id &worker, std::optional<worker_boot> presentBoot, instant now,
                    cell_actions &actions)
{
    const auto silent = state.silentWorkers.extract(worker);
    if (silent.empty()) {
        return;
    }
    for (const auto &ref : silent.mapped().tasks) {
        settleLossesUnder(state, ref, worker, presentBoot, now, actions);
    }
}

} // namespace

void keepUnsettledLoss(cell_state &state, const task_ref &ref, const task_view &view, const unsettled_loss &loss,
                       instant now)
{
    auto &unsettled = view.task->losses.unsettled;
    if (unsettled.size() >= maxUnsettledLosses) {
        unsettled.erase(unsettled.begin());
    }
    unsettled.push_back(loss);
    markUnsaved(state, *view.job);
    awaitAnswer(state, ref, loss, now);
}

loss_record restoredLosses(const lost_workers &counts, const std::vector<unsettled_loss> &unsettled)
{
    loss_record losses;
    losses.counts = counts;
    losses.stored = counts;
    losses.unsettled = unsettled;
    for (const auto &loss : unsettled) {
        if (loss.counted == loss_count::soon) {
            losses.byAttempt[loss.attempt] = {&lost_workers::soon, false};
        }
    }
    return losses;
}

void awaitUnsettledLosses(cell_state &state, const job_state &job, instant now)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const auto &step = occurrence.steps[index];
            task_ref ref {job.accepted.id, number, static_cast<std::int32_t>(index), 0};
            for (const auto &task : step.tasks) {
                for (const auto &loss : task.losses.unsettled) {
                    awaitAnswer(state, ref, loss, now);
                }
                ++ref.index;
            }
        }
    }
}

void recountAsLater(loss_record &losses)
{
    for (auto &loss : losses.unsettled) {
        loss.counted = loss.counted == loss_count::none ? loss_count::none : loss_count::later;
        loss.isTrial = false;
    }
}

void dropLaterLosses(loss_record &losses)
{
    std::erase_if(losses.unsettled, [](const unsettled_loss &loss) { return loss.counted != loss_count::soon; });
}

void settleLosses(cell_state &state, const worker_state &worker, instant now, cell_actions &actions)
{
    const auto &own = worker.description;
    settleLossesOf(state, own.id, own.boot, now, actions);
    if (worker.lastSignAt != instant {}) {
        return; // its first answer has told of those before it
    }
    std::vector<worker_id> ended;
    for (const auto &[id, silent] : state.silentWorkers) {
        if (silent.address == own.address) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        settleLossesOf(state, id, own.boot, now, actions); // a stale entry of another id may be of this very boot
    }
}

void proveLosses(cell_state &state, const worker_id &worker, instant now, cell_actions &actions)
{
    settleLossesOf(state, worker, std::nullopt, now, actions);
}

} // namespace primrosecroft::detail
