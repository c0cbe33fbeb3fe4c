#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <random>

namespace primrosecroft::detail
{

namespace
{

/// The demand whose outstanding write has this number; answers to earlier writes find none.
demand_record *endWrite(scheduler_state &state, const demand_key &key, std::uint64_t request)
{
    const auto found = state.demands.find(key);
    if (found == state.demands.end() || found->second.writing != request) {
        return nullptr;
    }
    found->second.writing = 0;
    return &found->second;
}

void sendWrite(scheduler_state &state, demand_record &demand, action_list &actions)
{
    demand.writing = ++state.lastWrite;
    demand.sent = demand.wanted;
    actions.emplace_back(write_row {demand.writing, demand.wanted, demand.version});
}

bool needsWrite(const scheduler_state &state, const demand_record &demand)
{
    return demand.writing == 0 && demand.verified && demand.wanted != demand.committed && state.ownership.placing;
}

/// Only one probe at a time goes to a store that fails, at a moment of this scheduler's own.
std::chrono::milliseconds probePause(const scheduler_state &state)
{
    const auto interval = state.settings.storeRetryInterval;
    std::minstd_rand random(static_cast<std::uint32_t>(state.settings.seed + state.lastWrite));
    std::uniform_int_distribution<std::int64_t> jitter(0, interval.count() / 2);
    return interval + std::chrono::milliseconds(jitter(random));
}

void retryOne(scheduler_state &state, action_list &actions)
{
    const auto key = state.retryStore.extract(state.retryStore.begin()).value();
    const auto found = state.demands.find(key);
    if (found == state.demands.end() || !found->second.verified) {
        actions.emplace_back(read_row {key});
    } else if (needsWrite(state, found->second)) {
        sendWrite(state, found->second, actions);
    }
}

} // namespace

void storeLost(scheduler_state &state, const demand_key &key, instant now)
{
    state.storeFailing = true;
    state.nextStoreRetry = now + probePause(state);
    state.retryStore.insert(key);
}

void writeIfChanged(scheduler_state &state, demand_record &demand, action_list &actions)
{
    if (!needsWrite(state, demand)) {
        return;
    }
    if (state.storeFailing || state.retryStore.contains(demand.wanted.key)) {
        state.retryStore.insert(demand.wanted.key);
        return;
    }
    sendWrite(state, demand, actions);
}

void writeCommitted(scheduler_state &state, const row_written &message)
{
    state.storeFailing = false;
    auto *demand = endWrite(state, message.key, message.request);
    if (demand == nullptr || message.version < demand->version) {
        return;
    }
    demand->committed = demand->sent;
    demand->version = message.version;
    state.touched.insert(message.key);
}

void writeLost(scheduler_state &state, const row_write_lost &message, instant now)
{
    if (endWrite(state, message.key, message.request) != nullptr) {
        // It may have taken effect: the next write finds out by its version.
        storeLost(state, message.key, now);
    }
}

void writeRefused(scheduler_state &state, const row_write_refused &message, action_list &actions)
{
    state.storeFailing = false;
    if (auto *demand = endWrite(state, message.key, message.request)) {
        demand->verified = false;
        actions.emplace_back(read_row {message.key});
    }
}

void retryStore(scheduler_state &state, instant now, action_list &actions)
{
    if (!state.ownership.placing) {
        state.retryStore.clear(); // the next take-over reads every row
        return;
    }
    // A tick that came late doesn't make up for more than this.
    constexpr auto longestTick = std::chrono::milliseconds(250);
    state.nextStoreRetry = std::max(state.nextStoreRetry, now - longestTick);
    while (!state.retryStore.empty() && state.nextStoreRetry <= now) {
        retryOne(state, actions);
        state.nextStoreRetry += state.storeFailing ? probePause(state) : state.settings.storeCatchUpInterval;
    }
}

} // namespace primrosecroft::detail
