#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// After that long a checkpoint is given up and the task is stopped without it.
constexpr auto checkpointPatience = 1'000ms;

/// After that long the urgent task tries elsewhere.
constexpr auto evictionPatience = 2'000ms;

/// How soon a worker that checkpoints is asked again.
constexpr auto checkpointPoll = 100ms;

/// Evictions begun in one pass, so that a wave of urgent work can't hold the scheduler up.
constexpr std::size_t mostEvictionsAtOnce = 16;

/// Workers among which the cheapest victims are sought; the next ones only when these offer none.
constexpr std::size_t workersInSample = 64;

/// Pause before victims are sought again after no worker had any.
constexpr auto preemptionPause = 250ms;

/// A service serves callers, so any batch task goes before it.
constexpr std::int64_t costOfService = std::int64_t {1} << 40;

struct victim
{
    attempt_id attempt = 0;
    resources size;
    std::int64_t cost = 0;
};

/// The cheapest victims at one worker that make room.
struct worker_offer
{
    worker_id worker;
    std::vector<victim> victims;
    std::int64_t cost = 0;
};

using victims_by_worker = std::map<worker_id, std::vector<victim>>;

bool isVictimAlready(const scheduler_state &state, attempt_id attempt)
{
    return std::ranges::any_of(state.evictions,
                               [attempt](const eviction &each) { return each.victims.contains(attempt); });
}

bool mayEvict(const scheduler_state &state, attempt_id attempt, const occupation &what)
{
    const auto demand = state.demands.find(what.task.demand);
    if (demand == state.demands.end()) {
        return false;
    }
    const auto &spec = demand->second.wanted.spec;
    const auto &task = demand->second.tasks.at(what.task.index);
    return spec.priority == demand_priority::normal && spec.repeatable && spec.kind != demand_kind::gang
        && task.phase == task_phase::running && task.attempt == attempt && task.evictions < state.settings.mostEvictions
        && !isVictimAlready(state, attempt);
}

/// What has to be saved: the memory, and more dearly a service.
std::int64_t costOf(const scheduler_state &state, const occupation &what)
{
    const auto isService = state.demands.at(what.task.demand).wanted.spec.kind == demand_kind::service;
    return what.size.memoryMib + (isService ? costOfService : 0);
}

victims_by_worker findVictims(const scheduler_state &state, std::size_t first)
{
    victims_by_worker result;
    for (const auto &[id, worker] : state.workers | std::views::drop(first) | std::views::take(workersInSample)) {
        if (!worker.schedulable || worker.onProbation) {
            continue;
        }
        for (const auto &[attempt, each] : state.records.at(id).occupied) {
            if (mayEvict(state, attempt, each)) {
                result[id].push_back({attempt, each.size, costOf(state, each)});
            }
        }
        std::ranges::sort(result[id], {}, &victim::cost);
    }
    return result;
}

std::optional<worker_offer> offerOf(const cell_worker &worker, const std::vector<victim> &victims,
                                    const resources &size)
{
    auto room = worker.free;
    room -= worker.held;
    worker_offer offer {worker.id, {}, 0};
    for (auto next = victims.begin(); next != victims.end() && !fits(size, room); ++next) {
        room += next->size;
        offer.victims.push_back(*next);
    }
    if (!fits(size, room)) {
        return std::nullopt;
    }
    // The last ones may have made some of the first needless.
    std::erase_if(offer.victims, [&room, &size](const victim &each) {
        auto without = room;
        without -= each.size;
        const auto isNeedless = fits(size, without);
        room = isNeedless ? without : room;
        return isNeedless;
    });
    offer.cost = std::accumulate(offer.victims.begin(), offer.victims.end(), std::int64_t {0},
                                 [](std::int64_t sum, const victim &each) { return sum + each.cost; });
    return offer;
}

std::optional<worker_offer> cheapestOffer(const scheduler_state &state, const victims_by_worker &victims,
                                          const resources &size)
{
    std::optional<worker_offer> best;
    for (const auto &[id, there] : victims) {
        auto offer = offerOf(state.workers.at(id), there, size);
        if (offer && (!best || offer->cost < best->cost)) {
            best = std::move(offer);
        }
    }
    return best;
}

void beginEviction(scheduler_state &state, const demand_record &urgent, const worker_offer &offer, instant now)
{
    eviction begun {urgent.wanted.key, offer.worker, urgent.wanted.spec.size, {}, now, false};
    auto &record = state.records.at(offer.worker);
    for (const auto &each : offer.victims) {
        begun.victims.insert(each.attempt);
        record.checkpoints.insert(each.attempt);
        const auto &task = record.occupied.at(each.attempt).task;
        ++state.demands.at(task.demand).tasks.at(task.index).evictions;
    }
    state.workers.at(offer.worker).held += begun.size;
    state.ordered.insert(offer.worker);
    state.evictions.push_back(std::move(begun));
}

/// Without victims left the room is there, or has been taken up otherwise.
bool isOver(scheduler_state &state, eviction &each, instant now)
{
    const auto record = state.records.find(each.worker);
    if (record == state.records.end() || now >= each.since + evictionPatience) {
        return true;
    }
    std::erase_if(each.victims, [&record](attempt_id attempt) { return !record->second.occupied.contains(attempt); });
    const auto urgent = state.demands.find(each.beneficiary);
    return each.victims.empty() || urgent == state.demands.end() || !state.waiting.contains(rankOf(urgent->second));
}

void giveUpRoom(scheduler_state &state, const eviction &each)
{
    const auto worker = state.workers.find(each.worker);
    if (worker != state.workers.end()) {
        worker->second.held -= each.size;
    }
}

/// Marks the victims as stopping, so that their ends are taken as ordered.
void stopVictims(scheduler_state &state, eviction &each)
{
    each.stopped = true;
    for (const auto attempt : each.victims) {
        const auto &task = state.records.at(each.worker).occupied.at(attempt).task;
        const auto demand = state.demands.find(task.demand);
        if (demand != state.demands.end() && demand->second.tasks.at(task.index).attempt == attempt) {
            demand->second.tasks.at(task.index).phase = task_phase::stopping;
            orderStop(state, each.worker, attempt);
        }
    }
}

} // namespace

void preemptFor(scheduler_state &state, const demand_record &urgent, instant now)
{
    const auto waiting = std::ranges::count(urgent.tasks, task_phase::waiting, &task_record::phase);
    const auto begun = std::ranges::count(state.evictions, urgent.wanted.key, &eviction::beneficiary);
    if (begun >= waiting || now < state.nextPreemption) {
        return;
    }
    const auto wanted = std::min(static_cast<std::size_t>(waiting - begun), mostEvictionsAtOnce);
    const auto samples = (state.workers.size() + workersInSample - 1) / workersInSample;
    std::size_t done = 0;
    for (std::size_t turn = 0; turn < samples && done < wanted; ++turn) {
        const auto first = (state.lastSequence + turn) % samples * workersInSample;
        auto victims = findVictims(state, first);
        for (; done < wanted; ++done) {
            const auto offer = cheapestOffer(state, victims, urgent.wanted.spec.size);
            if (!offer) {
                break;
            }
            beginEviction(state, urgent, *offer, now);
            std::erase_if(victims.at(offer->worker),
                          [&state](const victim &each) { return isVictimAlready(state, each.attempt); });
        }
    }
    if (done == 0) {
        state.nextPreemption = now + preemptionPause;
    }
}

void reviewEvictions(scheduler_state &state, instant now)
{
    const auto dropped = std::erase_if(state.evictions, [&](eviction &each) {
        const auto drops = isOver(state, each, now);
        if (drops) {
            giveUpRoom(state, each);
        }
        return drops;
    });
    if (dropped > 0) {
        state.blockedByHeld.clear();
    }
    for (auto &each : state.evictions) {
        auto &held = state.ownership.workers.at(each.worker);
        held.nextRequest = std::min(held.nextRequest, now + checkpointPoll);
        if (!each.stopped && now >= each.since + checkpointPatience) {
            stopVictims(state, each);
        }
    }
}

void dropEvictions(scheduler_state &state)
{
    std::ranges::for_each(state.evictions, [&state](const eviction &each) { giveUpRoom(state, each); });
    state.evictions.clear();
    state.blockedByHeld.clear();
}

} // namespace primrosecroft::detail
