#include "scheduling/detail/scheduling_parts.h"

#include "core/contains.h"

#include <algorithm>
#include <random>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// How long a candidate gathers claims before it gives them back.
constexpr auto candidacyTerm = 5s;

std::chrono::milliseconds candidacyPause(scheduler_state &state)
{
    const auto step = state.ownership.settings.backoffStep;
    std::minstd_rand random(static_cast<std::uint32_t>(state.settings.seed + state.ownership.lastRequest));
    std::uniform_int_distribution<std::int64_t> jitter(0, step.count() / 2);
    return step * (1 + state.ownership.rank) + std::chrono::milliseconds(jitter(random));
}

void applyListing(scheduler_state &state, const worker_id &worker, const claim_answer &answer)
{
    auto &record = state.records.at(worker);
    const auto before = record.occupied;
    record.starts.clear();
    record.stops.clear();
    record.forgets.clear();
    record.sent.reset();
    auto &placed = state.workers.at(worker);
    placed.total = answer.total;
    placed.free = answer.total;
    std::ranges::for_each(record.occupied | std::views::values,
                          [&placed](const occupation &each) { placed.free -= each.size; });
    std::ranges::for_each(answer.running, [&](const task_listing &each) { adoptTask(state, worker, each); });
    std::ranges::for_each(answer.ended, [&](const ended_attempt &each) { endAttempt(state, worker, each); });
    const auto isListed = [&answer](attempt_id attempt) {
        return contains(answer.running, attempt, &task_listing::attempt);
    };
    for (const auto attempt : before | std::views::keys) {
        // The claim fenced off every start under an older token, so it can't arrive later.
        if (!isListed(attempt)) {
            loseAttempt(state, worker, attempt);
        }
    }
    state.unreached.erase(worker);
    state.placementDue = true;
}

/// Nothing known before the take-over is taken for certain: another scheduler may have placed since.
void beginTakeover(scheduler_state &state, instant now)
{
    state.ownership.doubtUntil = now + doubtTerm(state.ownership.settings);
    state.inDoubt = true;
    ++state.takeover;
    state.scanned = false;
    state.scanning = false;
    state.nextScan = now;
    state.waiting.clear();
    for (auto &demand : state.demands | std::views::values) {
        demand.verified = false;
        demand.writing = 0;
        demand.forgetWhenCommitted.clear();
        demand.wanted.started = demand.committed.started; // what isn't recorded was not started
        for (auto &task : demand.tasks) {
            if (task.phase != task_phase::ended) {
                task = {task_phase::doubtful, {}, 0, task.failedOn, task.evictions};
            }
        }
    }
    for (auto &[id, record] : state.records) {
        worker_record fresh;
        fresh.rack = record.rack;
        fresh.listing = std::move(record.listing);
        fresh.draining = record.draining;
        fresh.health = record.health;
        record = std::move(fresh);
        state.unreached.insert(id);
    }
    for (auto &[id, record] : state.records) {
        if (const auto listing = std::exchange(record.listing, std::nullopt)) {
            applyListing(state, id, *listing);
        }
    }
}

void claimWorkers(scheduler_state &state, instant now, action_list &actions)
{
    const auto &settings = state.ownership.settings;
    for (auto &[id, worker] : state.ownership.workers) {
        if (!worker.votes || worker.claimed || worker.request || now < worker.nextRequest) {
            continue;
        }
        const auto request = beginRequest(state.ownership, worker, now);
        worker.nextRequest = now + settings.claimInterval;
        actions.emplace_back(send_claim {id, request, {state.settings.process, settings.holderTerm}});
    }
}

} // namespace

void configureWorkers(scheduler_state &state, const workers_configured &message, instant now)
{
    std::vector<worker_id> ids;
    std::ranges::transform(message.workers, std::back_inserter(ids), &configured_worker::id);
    setWorkers(state.ownership, ids, now);
    for (const auto &worker : message.workers) {
        auto &record = state.records[worker.id];
        record.rack = worker.rack;
        record.draining = worker.draining;
        auto &placed = state.workers[worker.id];
        placed.id = worker.id;
        placed.rack = worker.rack;
    }
    dropRetired(state, now);
    state.placementDue = true;
}

void dropRetired(scheduler_state &state, instant now)
{
    auto &workers = state.ownership.workers;
    for (auto each = workers.begin(); each != workers.end();) {
        const auto &[id, worker] = *each;
        if (worker.votes || now < worker.retiredUntil || !state.records.at(id).occupied.empty()) {
            ++each;
            continue;
        }
        state.unreached.erase(id);
        state.records.erase(id);
        state.workers.erase(id);
        each = workers.erase(each);
    }
}

void acceptClaim(scheduler_state &state, const claim_answered &message, instant now)
{
    const auto held = state.ownership.workers.find(message.worker);
    if (held == state.ownership.workers.end() || !endRequest(held->second, message.request)) {
        return;
    }
    if (!message.answer.granted || state.leaving || !held->second.votes) {
        return;
    }
    claimGranted(state.ownership, held->second, message.answer, now);
    if (state.ownership.placing) {
        applyListing(state, message.worker, message.answer);
    } else {
        state.records.at(message.worker).listing = message.answer;
    }
}

void releaseAll(scheduler_state &state, action_list &actions)
{
    for (auto &[id, worker] : state.ownership.workers) {
        if (worker.claimed) {
            actions.emplace_back(send_release {id, worker.token});
        }
        dropClaim(worker);
        state.records.at(id).listing.reset();
    }
}

void updateMajority(scheduler_state &state, instant now, action_list &actions)
{
    for (auto &[id, worker] : state.ownership.workers) {
        if (worker.claimed && !holds(worker, now)) {
            dropClaim(worker);
            state.records.at(id).listing.reset();
        }
    }
    const auto held = !state.leaving && holdsMajority(state.ownership, now);
    if (held == state.ownership.placing) {
        return;
    }
    state.ownership.placing = held;
    actions.emplace_back(report_majority {held});
    if (held) {
        beginTakeover(state, now);
        return;
    }
    releaseAll(state, actions);
    state.ownership.candidacyEnds = {};
    state.ownership.nextCandidacy = now + candidacyPause(state);
}

void requestClaims(scheduler_state &state, instant now, action_list &actions)
{
    auto &ownership = state.ownership;
    if (state.leaving || ownership.workers.empty()) {
        return;
    }
    if (ownership.placing) {
        claimWorkers(state, now, actions);
        return;
    }
    if (now < state.otherPlacingUntil) {
        releaseAll(state, actions);
        ownership.candidacyEnds = {};
        ownership.nextCandidacy = state.otherPlacingUntil + ownership.settings.backoffStep * ownership.rank;
        return;
    }
    if (ownership.candidacyEnds == instant {}) {
        if (now < ownership.nextCandidacy) {
            return;
        }
        ownership.candidacyEnds = now + candidacyTerm;
    }
    if (now >= ownership.candidacyEnds) {
        releaseAll(state, actions);
        ownership.candidacyEnds = {};
        ownership.nextCandidacy = now + candidacyPause(state);
        return;
    }
    claimWorkers(state, now, actions);
}

void loseSilentWorkers(scheduler_state &state, instant now)
{
    if (!state.ownership.placing) {
        return;
    }
    for (auto &[id, record] : state.records) {
        const auto &held = state.ownership.workers.at(id);
        if (held.claimed || record.occupied.empty() || now < held.tasksDeadBy) {
            continue;
        }
        record.sent.reset();
        const auto occupied = record.occupied;
        std::ranges::for_each(occupied | std::views::keys,
                              [&](attempt_id attempt) { loseAttempt(state, id, attempt); });
    }
}

void resolveDoubt(scheduler_state &state, instant now)
{
    if (!state.ownership.placing || !state.inDoubt) {
        return;
    }
    if (!state.unreached.empty() && now < state.ownership.doubtUntil) {
        return;
    }
    state.inDoubt = false;
    state.unreached.clear();
    for (auto &[key, demand] : state.demands) {
        if (demand.verified) {
            loseDoubtfulTasks(state, demand);
        }
        state.touched.insert(key);
    }
}

} // namespace primrosecroft::detail
