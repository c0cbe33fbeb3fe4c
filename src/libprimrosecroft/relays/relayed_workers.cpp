#include "relays/relayed_workers.h"

#include "core/clock.h"
#include "core/error.h"
#include "primrosecroft_types.h"
#include "relays/order_frames.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto relayMargin = 250ms; ///< for a result to come from a relay, in addition to the worker's time
constexpr auto overdueInterval = 50ms; ///< between two searches for orders without a result
constexpr std::int64_t minMbpsForPayloads = 10; ///< of the owner's link; on a narrower one relays read the payloads

/// Sent payloads are forgotten, and so sent again, when there are more. A relay may have dropped the oldest ones by
/// then.
constexpr std::size_t maxPayloadsSent = 4'000;

} // namespace

relayed_workers::relayed_workers(worker_gateway &direct, peer_hub &peers, const peer_address &self,
                                 std::int64_t incarnation, const vm_capacity &capacity, relay_links links,
                                 decision_log &log, metrics &measures)
    : m_direct(direct)
    , m_peers(peers)
    , m_self(self)
    , m_incarnation(incarnation)
    , m_isLinkNarrow(capacity.linkMbps && *capacity.linkMbps < minMbpsForPayloads)
    , m_links(std::move(links))
    , m_log(log)
    , m_measures(measures)
{
}

relayed_workers::~relayed_workers() = default;

void relayed_workers::start(const send_start &order, row_version token, std::chrono::milliseconds timeout,
                            std::function<void(start_answered)> done)
{
    const auto relay = relayOf(order.worker);
    if (relay.empty()) {
        m_direct.start(order, token, timeout, std::move(done));
        return;
    }
    auto &batch = batchFor(relay, token, timeout);
    const start_answered unanswered {order.worker, order.boot, order.run, order_result::lost, bootNow()};
    const auto number = expect(relay, timeout, pending_answer<start_answered> {unanswered, std::move(done)});
    auto encoded = order_frames::encode(number, order);
    auto &state = m_states[relay];
    const auto &job = order.run.task.job;
    if (mustSendPayload(state, job)) {
        state.batchPayloads[job] = static_cast<std::int32_t>(batch.payloads.size());
        batch.payloads.push_back(order.payload);
    }
    if (const auto index = state.batchPayloads.find(job); index != state.batchPayloads.end()) {
        encoded.__set_payload(index->second);
    }
    batch.starts.push_back(std::move(encoded));
}

void relayed_workers::stop(const send_stop &order, row_version token, std::chrono::milliseconds timeout,
                           std::function<void(stop_answered)> done)
{
    const auto relay = relayOf(order.worker);
    if (relay.empty()) {
        m_direct.stop(order, token, timeout, std::move(done));
        return;
    }
    auto &batch = batchFor(relay, token, timeout);
    const stop_answered unanswered {order.worker, order.boot, order.run, order_result::lost, bootNow()};
    const auto number = expect(relay, timeout, pending_answer<stop_answered> {unanswered, std::move(done)});
    batch.stops.push_back(order_frames::encode(number, order));
}

void relayed_workers::list(const send_list &order, row_version token, std::chrono::milliseconds timeout,
                           std::function<void(list_answered)> done)
{
    const auto relay = relayOf(order.worker);
    if (relay.empty()) {
        m_direct.list(order, token, timeout, std::move(done));
        return;
    }
    list_answered unanswered;
    unanswered.worker = order.worker;
    unanswered.sentAt = bootNow();
    const auto number = expect(relay, timeout, pending_answer<list_answered> {unanswered, std::move(done)});
    batchFor(relay, token, timeout).lists.push_back(order_frames::encode(number, order));
}

/// Each relay starts a few tasks of a job, so payloads are most of the bytes that an owner would send.
bool relayed_workers::mustSendPayload(relay_state &relay, const job_id &job) const
{
    if (m_isLinkNarrow) {
        return relay.payloadsMissed.erase(job) > 0;
    }
    if (relay.payloadsSent.size() >= maxPayloadsSent) {
        relay.payloadsSent.clear();
    }
    return relay.payloadsSent.insert(job).second;
}

process_id relayed_workers::relayOf(const worker_id &worker)
{
    if (!m_hasPlan) {
        refreshPlan();
    }
    if (m_plan.relays.empty()) {
        return {};
    }
    const auto known = m_relays.find(worker);
    if (known != m_relays.end()) {
        return known->second;
    }
    return m_relays[worker] = relayFor(m_plan, worker, m_links.failureDomainOf(worker));
}

void relayed_workers::refreshPlan()
{
    auto plan = m_links.plan(m_plan);
    m_hasPlan = true;
    if (plan == m_plan) {
        return;
    }
    m_plan = std::move(plan);
    m_relays.clear();
    std::size_t relays = 0;
    for (const auto &[domain, names] : m_plan.relays) {
        relays += names.size();
        std::string list;
        std::ranges::for_each(names, [&list](const auto &each) { list += (list.empty() ? "" : ",") + each; });
        m_log.write("relays", "planned", {{"domain", domain}, {"relays", list}});
    }
    m_measures.set("primrosecroft_relays", static_cast<double>(relays));
}

void relayed_workers::reset()
{
    m_hasPlan = false;
    m_plan = {};
    m_relays.clear();
    m_states.clear();
    m_pending.clear();
    m_sendTimer.stop();
    m_overdueTimer.stop();
}

wire::OrderBatch &relayed_workers::batchFor(const process_id &relay, row_version token,
                                            std::chrono::milliseconds timeout)
{
    auto &batch = m_states[relay].batch;
    if (!batch) {
        batch = std::make_unique<wire::OrderBatch>();
        batch->token = token;
        batch->replyAddress = m_self.address;
        batch->replyPort = m_self.port;
        batch->timeoutMs = timeout.count();
        // The orders of the batch are made from now on.
        if (const auto clock = m_links.clockOf(relay); clock.incarnation != 0) {
            batch->__set_receiverIncarnation(clock.incarnation);
            batch->__set_madeAtUpMs(leastUptime(clock, bootNow()).count());
        }
    }
    if (!m_sendTimer.isRunning()) {
        m_sendTimer.once(0ms, [this] { sendBatches(); });
    }
    return *batch;
}

std::int64_t relayed_workers::expect(const process_id &relay, std::chrono::milliseconds timeout,
                                     pending_handler handler)
{
    const auto number = ++m_lastNumber;
    const auto now = bootNow();
    m_pending.emplace(number, pending_order {relay, now, now + timeout + relayMargin, std::move(handler)});
    if (!m_overdueTimer.isRunning()) {
        m_overdueTimer.every(overdueInterval, [this] { finishOverdue(); });
    }
    return number;
}

void relayed_workers::sendBatches()
{
    for (auto &[relay, state] : m_states) {
        if (!state.batch) {
            continue;
        }
        wire::Message message;
        swap(message.orderBatch, *state.batch);
        message.__isset.orderBatch = true;
        state.batch.reset();
        state.batchPayloads.clear();
        m_peers.send(m_links.addressOf(relay), message);
    }
}

void relayed_workers::handle(const wire::OrderResults &results)
{
    if (results.incarnation != m_incarnation) {
        return;
    }
    for (const auto &each : results.results) {
        finish(each.number, order_frames::decodeResult(each.result));
    }
    for (const auto &each : results.lists) {
        const auto node = m_pending.extract(each.number);
        auto *list = node.empty() ? nullptr : std::get_if<pending_answer<list_answered>>(&node.mapped().handler);
        if (list == nullptr) {
            continue;
        }
        auto answer = order_frames::decode(each);
        answer.worker = list->unanswered.worker;
        answer.sentAt = list->unanswered.sentAt;
        list->done(std::move(answer));
    }
}

void relayed_workers::finish(std::int64_t number, order_result result)
{
    const auto node = m_pending.extract(number);
    if (node.empty()) {
        return;
    }
    std::visit(
        [&](auto &pending) {
            if constexpr (requires { pending.unanswered.run; }) {
                if (result == order_result::notSent) {
                    const auto &job = pending.unanswered.run.task.job;
                    m_states[node.mapped().relay].payloadsSent.erase(job);
                    m_states[node.mapped().relay].payloadsMissed.insert(job);
                }
            }
            pending.unanswered.result = result;
            pending.done(pending.unanswered);
        },
        node.mapped().handler);
}

/// Answers as lost the orders whose result is overdue, or whose relay refuses connections.
void relayed_workers::finishOverdue()
{
    const auto now = bootNow();
    std::set<process_id> refusing;
    for (const auto &[relay, state] : m_states) {
        if (m_peers.refusedConnection(m_links.addressOf(relay))) {
            refusing.insert(relay);
        }
    }
    std::vector<std::int64_t> overdue;
    for (const auto &[number, order] : m_pending) {
        if (order.deadline <= now || refusing.contains(order.relay)) {
            overdue.push_back(number);
            auto &unansweredSince = m_states[order.relay].unansweredSince;
            unansweredSince = std::max(unansweredSince, order.sentAt);
        }
    }
    if (!overdue.empty()) {
        m_log.write("relays", "results-overdue", {{"orders", std::to_string(overdue.size())}});
        refreshPlan();
    }
    for (const auto number : overdue) {
        finish(number, order_result::lost);
    }
    if (m_pending.empty()) {
        m_overdueTimer.stop();
    }
}

bool relayed_workers::isSuspected(const process_id &relay, instant lastContactAt) const
{
    const auto found = m_states.find(relay);
    return found != m_states.end() && found->second.unansweredSince >= lastContactAt;
}

} // namespace primrosecroft
