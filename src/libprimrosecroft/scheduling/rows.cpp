#include "scheduling/detail/scheduling_parts.h"

#include <utility>

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

} // namespace

void writeIfChanged(scheduler_state &state, demand_record &demand, instant now, action_list &actions)
{
    if (demand.writing != 0 || !demand.verified || now < demand.retryStoreAt || demand.wanted == demand.committed
        || !state.ownership.placing) {
        return;
    }
    demand.writing = ++state.lastWrite;
    demand.sent = demand.wanted;
    actions.emplace_back(write_row {demand.writing, demand.wanted, demand.version});
}

void writeCommitted(scheduler_state &state, const row_written &message)
{
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
    if (auto *demand = endWrite(state, message.key, message.request)) {
        // It may have taken effect: the next write finds out by its version.
        demand->retryStoreAt = now + state.settings.storeRetryInterval;
        state.retryStore.insert(message.key);
    }
}

void writeRefused(scheduler_state &state, const row_write_refused &message, action_list &actions)
{
    if (auto *demand = endWrite(state, message.key, message.request)) {
        demand->verified = false;
        actions.emplace_back(read_row {message.key});
    }
}

void readLost(scheduler_state &state, const row_read_lost &message, instant now)
{
    const auto found = state.demands.find(message.key);
    if (found != state.demands.end()) {
        found->second.retryStoreAt = now + state.settings.storeRetryInterval;
    }
    state.retryStore.insert(message.key);
}

void retryStore(scheduler_state &state, instant now, action_list &actions)
{
    for (const auto &key : std::exchange(state.retryStore, {})) {
        const auto found = state.demands.find(key);
        if (found != state.demands.end() && now < found->second.retryStoreAt) {
            state.retryStore.insert(key);
        } else if (found != state.demands.end() && found->second.verified) {
            state.touched.insert(key);
        } else if (state.ownership.placing) {
            actions.emplace_back(read_row {key});
        }
    }
}

} // namespace primrosecroft::detail
