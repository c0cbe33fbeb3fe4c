#include "scheduling/detail/scheduling_parts.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

using namespace std::chrono_literals;

/// Pause before an exchange whose answer was lost is sent again.
constexpr auto resendPause = 500ms;

void startAnswered(scheduler_state &state, const worker_id &worker, const start_order &order, start_result result,
                   instant now, action_list &actions)
{
    auto &record = state.records.at(worker);
    if (result == start_result::stale) {
        if (!record.stops.contains(order.attempt)) {
            record.starts.push_back(order);
            state.ordered.insert(worker);
        }
        return;
    }
    const auto demand = state.demands.find(order.task.demand);
    if (demand == state.demands.end()) {
        return;
    }
    auto &task = demand->second.tasks.at(order.task.index);
    if (task.attempt != order.attempt) {
        return;
    }
    if (result == start_result::running) {
        if (task.phase == task_phase::starting) {
            task.phase = task_phase::running;
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - demand->second.learnedAt);
            actions.emplace_back(report_placed {order.task, worker, waited});
        }
        return;
    }
    if (result == start_result::full) {
        // A copy of the start may still arrive when there is room: it is barred first.
        orderStop(state, worker, order.attempt);
        task.phase = task_phase::stopping;
        record.listAgain = true;
        return;
    }
    loseAttempt(state, worker, order.attempt);
}

/// The worker runs what isn't in the books: its list is read again under a new claim.
void listAgain(scheduler_state &state, const worker_id &worker, instant now, action_list &actions)
{
    auto &held = state.ownership.workers.at(worker);
    state.records.at(worker).listAgain = false;
    actions.emplace_back(send_release {worker, held.token});
    dropClaim(held);
    state.nextWalk = now;
}

exchange_request makeExchange(const scheduler_state &state, worker_record &record, const held_worker &held)
{
    const auto &settings = state.ownership.settings;
    exchange_request request {held.token, held.stamp, settings.holderTerm, settings.taskTerm, {}, {}, {}};
    request.starts = std::exchange(record.starts, {});
    request.stops.assign(record.stops.begin(), record.stops.end());
    request.forgets.assign(record.forgets.begin(), record.forgets.end());
    request.checkpoints.assign(record.checkpoints.begin(), record.checkpoints.end());
    record.stops.clear();
    record.forgets.clear();
    record.checkpoints.clear();
    return request;
}

/// Orders whose fate isn't known are given again: each is idempotent by its attempt.
void putBack(worker_record &record)
{
    const auto sent = std::exchange(record.sent, std::nullopt);
    if (!sent) {
        return;
    }
    record.stops.insert(sent->stops.begin(), sent->stops.end());
    record.forgets.insert(sent->forgets.begin(), sent->forgets.end());
    record.checkpoints.insert(sent->checkpoints.begin(), sent->checkpoints.end());
    std::ranges::copy_if(sent->starts, std::back_inserter(record.starts),
                         [&record](const start_order &order) { return !record.stops.contains(order.attempt); });
}

/// Sends the worker all orders there are for it, or renews its lease.
void sendIfDue(scheduler_state &state, const worker_id &id, held_worker &held, instant now, action_list &actions)
{
    if (!holds(held, now) || held.request || now < held.notBefore) {
        return;
    }
    auto &record = state.records.at(id);
    const auto hasOrders = !record.starts.empty() || !record.stops.empty() || !record.checkpoints.empty();
    if (!hasOrders && now < held.nextRequest) {
        return;
    }
    const auto request = beginRequest(state.ownership, held, now);
    held.nextRequest = now + state.ownership.settings.exchangeInterval;
    record.sent = makeExchange(state, record, held);
    actions.emplace_back(send_exchange {id, request, *record.sent});
}

} // namespace

void acceptExchange(scheduler_state &state, const exchange_answered &message, instant now, action_list &actions)
{
    const auto found = state.ownership.workers.find(message.worker);
    if (found == state.ownership.workers.end() || !endRequest(found->second, message.request)) {
        return;
    }
    auto &held = found->second;
    auto &record = state.records.at(message.worker);
    if (!held.claimed || !state.ownership.placing) {
        record.sent.reset();
        return;
    }
    if (!message.answer.accepted) {
        putBack(record);
        dropClaim(held);
        state.nextWalk = now;
        held.nextRequest = now;
        return;
    }
    exchangeAccepted(state.ownership, held, message.answer, now);
    const auto sent = std::exchange(record.sent, std::nullopt).value_or(exchange_request {});
    std::ranges::for_each(message.answer.ended,
                          [&](const ended_attempt &each) { endAttempt(state, message.worker, each); });
    for (const auto &order : sent.starts) {
        const auto answer = std::ranges::find(message.answer.starts, order.attempt, &start_answer::attempt);
        if (answer != message.answer.starts.end()) {
            startAnswered(state, message.worker, order, answer->result, now, actions);
        }
    }
    // An accepted stop also bars the attempt, so what isn't listed as ended never ran.
    for (const auto attempt : sent.stops) {
        loseAttempt(state, message.worker, attempt);
    }
    state.ordered.insert(message.worker);
    if (record.listAgain && record.stops.empty()) {
        listAgain(state, message.worker, now, actions);
    }
}

void exchangeLost(scheduler_state &state, const worker_request_lost &message, instant now)
{
    const auto held = state.ownership.workers.find(message.worker);
    if (held == state.ownership.workers.end() || !endRequest(held->second, message.request)) {
        return;
    }
    putBack(state.records.at(message.worker));
    held->second.notBefore = now + resendPause;
    held->second.nextRequest = held->second.notBefore;
}

void sendExchanges(scheduler_state &state, instant now, action_list &actions)
{
    if (!state.ownership.placing) {
        return;
    }
    for (auto &[id, held] : state.ownership.workers) {
        sendIfDue(state, id, held, now, actions);
    }
}

void sendOrders(scheduler_state &state, instant now, action_list &actions)
{
    if (!state.ownership.placing) {
        return;
    }
    // What can't be sent now is met by the next answer of the worker or by the next walk.
    for (const auto &id : std::exchange(state.ordered, {})) {
        const auto held = state.ownership.workers.find(id);
        if (held != state.ownership.workers.end()) {
            sendIfDue(state, id, held->second, now, actions);
        }
    }
}

} // namespace primrosecroft::detail
