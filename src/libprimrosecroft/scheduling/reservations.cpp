#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// Pause before workers for a gang are sought again after too few could be found.
constexpr auto reservationPause = 1s;

/// Room for one gang member at a worker, from @ref when on.
struct member_slot
{
    instant when;
    worker_id worker;

    friend auto operator<=>(const member_slot &, const member_slot &) = default;
};

/// When an attempt is expected to end; never for a service.
instant expectedEnd(const scheduler_state &state, const occupation &what, instant now)
{
    const auto demand = state.demands.find(what.task.demand);
    if (demand == state.demands.end() || demand->second.wanted.spec.kind == demand_kind::service) {
        return instant::max();
    }
    const auto declared = demand->second.wanted.spec.declaredRunTime;
    const auto since = what.since == instant {} ? now : what.since;
    // What has overrun its declared time is expected to take as long again.
    return since + declared > now ? since + declared : now + (now - since);
}

void addSlots(const scheduler_state &state, const cell_worker &worker, const resources &size, instant now,
              std::vector<member_slot> &slots)
{
    std::vector<std::pair<instant, resources>> ends;
    std::ranges::transform(state.records.at(worker.id).occupied | std::views::values, std::back_inserter(ends),
                           [&](const occupation &each) { return std::pair(expectedEnd(state, each, now), each.size); });
    std::ranges::sort(ends, {}, &std::pair<instant, resources>::first);
    auto room = worker.free;
    const auto fill = [&](instant when) {
        for (; fits(size, room); room -= size) {
            slots.push_back({when, worker.id});
        }
    };
    fill(now);
    for (const auto &[when, freed] : ends) {
        if (when == instant::max()) {
            return;
        }
        room += freed;
        fill(when);
    }
}

std::ptrdiff_t waitingMembers(const demand_record &demand)
{
    return std::ranges::count(demand.tasks, task_phase::waiting, &task_record::phase);
}

} // namespace

void reserveForGang(scheduler_state &state, const waiting_rank &gang, instant now)
{
    const auto isTaken = state.reservation && !(gang < state.reservation->gang);
    if (isTaken || now < state.nextReservation) {
        return;
    }
    const auto &demand = state.demands.at(gang.key);
    std::vector<member_slot> slots;
    for (const auto &worker : state.workers | std::views::values) {
        if (worker.schedulable && fits(gang.size, worker.total)) {
            addSlots(state, worker, gang.size, now, slots);
        }
    }
    const auto members = waitingMembers(demand);
    if (members == 0 || std::ssize(slots) < members) {
        state.nextReservation = now + reservationPause;
        return;
    }
    releaseReservation(state);
    std::ranges::nth_element(slots, slots.begin() + members - 1);
    slots.resize(static_cast<std::size_t>(members));
    state.reservation = gang_reservation {gang, slots.back().when, {}};
    for (const auto &slot : slots) {
        state.reservation->held[slot.worker] += gang.size;
        state.workers.at(slot.worker).held += gang.size;
    }
}

void releaseReservation(scheduler_state &state)
{
    if (!state.reservation) {
        return;
    }
    for (const auto &[id, held] : state.reservation->held) {
        const auto worker = state.workers.find(id);
        if (worker != state.workers.end()) {
            worker->second.held -= held;
        }
    }
    state.reservation.reset();
    state.blockedByHeld.clear();
    state.placementDue = true;
}

void reviewReservation(scheduler_state &state)
{
    if (!state.reservation) {
        return;
    }
    const auto isUsable = [&state](const worker_id &id) {
        const auto worker = state.workers.find(id);
        return worker != state.workers.end() && worker->second.schedulable;
    };
    if (!state.waiting.contains(state.reservation->gang)
        || !std::ranges::all_of(state.reservation->held | std::views::keys, isUsable)) {
        releaseReservation(state);
        state.placementDue = false; // the pass that follows sees the room
    }
}

bool mayUseHeld(const scheduler_state &state, const demand_record &demand, instant now)
{
    if (!state.evictions.empty()) {
        return demand.wanted.spec.priority == demand_priority::urgent;
    }
    if (!state.reservation || state.reservation->gang.key == demand.wanted.key) {
        return true;
    }
    const auto &spec = demand.wanted.spec;
    return spec.kind == demand_kind::batch && now + spec.declaredRunTime <= state.reservation->readyBy;
}

} // namespace primrosecroft::detail
