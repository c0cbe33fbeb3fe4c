#include "ownership/ownership.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft
{

bool holds(const held_worker &worker, instant now)
{
    return worker.claimed && now < worker.heldUntil;
}

namespace
{

std::size_t heldCount(const ownership_state &state, instant now)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.workers | std::views::values, [now](const held_worker &worker) { return holds(worker, now); }));
}

void takeStamp(const ownership_state &state, held_worker &worker, worker_stamp stamp, instant now)
{
    worker.stamp = stamp;
    worker.stampRequestedAt = worker.requestSentAt;
    // Whatever is sent with this stamp gives tasks leases to stamp + taskTerm, and the
    // stamp was taken before now.
    worker.tasksDeadBy = now + state.settings.taskTerm + state.settings.margin;
}

} // namespace

bool holdsMajority(const ownership_state &state, instant now)
{
    return heldCount(state, now) * 2 > state.workers.size();
}

bool holdsAll(const ownership_state &state, instant now)
{
    return heldCount(state, now) == state.workers.size();
}

void setWorkers(ownership_state &state, const std::vector<worker_id> &workers)
{
    std::map<worker_id, held_worker> result;
    for (const auto &worker : workers) {
        const auto known = state.workers.find(worker);
        result.emplace(worker, known == state.workers.end() ? held_worker {} : known->second);
    }
    state.workers = std::move(result);
}

std::uint64_t beginRequest(ownership_state &state, held_worker &worker, instant now)
{
    worker.request = ++state.lastRequest;
    worker.requestSentAt = now;
    return *worker.request;
}

bool endRequest(held_worker &worker, std::uint64_t request)
{
    if (worker.request != request) {
        return false;
    }
    worker.request.reset();
    return true;
}

void claimGranted(const ownership_state &state, held_worker &worker, const claim_answer &answer, instant now)
{
    worker.claimed = true;
    worker.token = answer.token;
    worker.heldUntil = worker.requestSentAt + state.settings.holderTerm - state.settings.margin;
    takeStamp(state, worker, answer.stamp, now);
}

void exchangeAccepted(const ownership_state &state, held_worker &worker, const exchange_answer &answer, instant now)
{
    // The worker extended its lease from the stamp that this request echoed.
    const auto until = worker.stampRequestedAt + state.settings.holderTerm - state.settings.margin;
    worker.heldUntil = std::max(worker.heldUntil, until);
    takeStamp(state, worker, answer.stamp, now);
}

void dropClaim(held_worker &worker)
{
    worker.claimed = false;
    worker.token = 0;
}

} // namespace primrosecroft
