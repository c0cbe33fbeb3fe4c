#include "ownership/ownership.h"

#include "core/contains.h"

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

std::ptrdiff_t heldCount(const ownership_state &state, instant now)
{
    return std::ranges::count_if(state.workers | std::views::values,
                                 [now](const held_worker &worker) { return worker.votes && holds(worker, now); });
}

std::ptrdiff_t voteCount(const ownership_state &state)
{
    return std::ranges::count_if(state.workers | std::views::values, &held_worker::votes);
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
    return heldCount(state, now) * 2 > voteCount(state);
}

bool holdsAll(const ownership_state &state, instant now)
{
    return heldCount(state, now) == voteCount(state);
}

void setWorkers(ownership_state &state, const std::vector<worker_id> &workers, instant now)
{
    for (auto &[id, worker] : state.workers) {
        if (worker.votes && !contains(workers, id)) {
            worker.votes = false;
            worker.retiredUntil = now + doubtTerm(state.settings) + state.settings.configurationLag;
            dropClaim(worker);
        }
    }
    for (const auto &worker : workers) {
        state.workers[worker].votes = true;
    }
}

std::chrono::milliseconds doubtTerm(const ownership_settings &settings)
{
    return settings.holderTerm + settings.taskTerm + settings.margin;
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
