#include "scheduling/scheduler.h"

#include "scheduling/detail/scheduling_parts.h"

#include <variant>

namespace primrosecroft
{

namespace
{

using detail::action_list;

/// Dispatches one message; what follows from it is worked out afterwards, once.
struct message_handler
{
    scheduler_state &state;
    instant now;
    action_list &actions;

    void operator()(const workers_configured &message) const
    {
        detail::releaseReservation(state);
        detail::dropEvictions(state);
        detail::configureWorkers(state, message, now);
        state.blocked.clear();
    }

    void operator()(const claim_answered &message) const
    {
        detail::acceptClaim(state, message, now);
        state.blocked.clear();
    }

    void operator()(const exchange_answered &message) const
    {
        detail::acceptExchange(state, message, now, actions);
    }

    void operator()(const worker_request_lost &message) const
    {
        detail::exchangeLost(state, message, now);
    }

    void operator()(const row_read &message) const
    {
        detail::learnRow(state, message, now);
    }

    void operator()(const row_written &message) const
    {
        detail::writeCommitted(state, message);
    }

    void operator()(const row_write_lost &message) const
    {
        detail::writeLost(state, message, now);
    }

    void operator()(const row_write_refused &message) const
    {
        detail::writeRefused(state, message, actions);
    }

    void operator()(const row_read_lost &message) const
    {
        detail::storeLost(state, message.key, now);
    }

    void operator()(const scan_finished &message) const
    {
        detail::finishScan(state, message, now, actions);
    }

    void operator()(const peer_placing & /*message*/) const
    {
        state.otherPlacingUntil = now + state.settings.peerSilence;
    }

    void operator()(const leave_requested & /*message*/) const
    {
        state.leaving = true;
    }

    void operator()(const timer_ticked & /*message*/) const
    {
        detail::retryStore(state, now, actions);
    }
};

/// Messages that change no lease and that come at the rate of placements.
bool isFrequent(const scheduler_message &message)
{
    return std::holds_alternative<row_read>(message) || std::holds_alternative<row_written>(message)
        || std::holds_alternative<row_write_lost>(message) || std::holds_alternative<exchange_answered>(message);
}

} // namespace

scheduler_state makeScheduler(const scheduler_settings &settings)
{
    scheduler_state state;
    state.settings = settings;
    state.ownership.settings = settings.ownership;
    state.ownership.rank = settings.rank;
    return state;
}

std::vector<scheduler_action> step(scheduler_state &state, const scheduler_message &message, instant now)
{
    action_list actions;
    if (now >= state.nextWalk) {
        // What lapsed in a pause is lost before the message can hide it.
        detail::updateMajority(state, now, actions);
    }
    std::visit(message_handler {state, now, actions}, message);
    // No lease that is counted on lapses before nextWalk, and one that is dropped sets it to now.
    const auto walks = !isFrequent(message) || now >= state.nextWalk;
    if (walks) {
        detail::updateMajority(state, now, actions);
        detail::requestClaims(state, now, actions);
        detail::loseSilentWorkers(state, now);
        detail::dropRetired(state, now);
        detail::refreshSchedulable(state, now);
    }
    detail::resolveDoubt(state, now);
    detail::requestScan(state, now, actions);
    detail::reviewDemands(state, now, actions);
    detail::placeWaiting(state, now);
    detail::reviewDemands(state, now, actions);
    if (walks) {
        detail::sendExchanges(state, now, actions);
    } else {
        detail::sendOrders(state, now, actions);
    }
    return actions;
}

} // namespace primrosecroft
