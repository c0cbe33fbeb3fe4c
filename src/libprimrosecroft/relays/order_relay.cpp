#include "relays/order_relay.h"

#include "core/error.h"
#include "primrosecroft_types.h"
#include "relays/order_frames.h"

#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto resultDelay = 6ms; ///< results within this time go into one message
constexpr std::size_t maxPendingOrders = 4'000;

} // namespace

order_relay::order_relay(worker_gateway &workers, peer_hub &peers, decision_log &log, metrics &measures)
    : m_workers(workers)
    , m_peers(peers)
    , m_log(log)
    , m_measures(measures)
{
}

order_relay::~order_relay() = default;

void order_relay::handle(const wire::OrderBatch &batch, const wire::Sender &owner)
{
    const destination target {{batch.replyAddress, static_cast<std::uint16_t>(batch.replyPort)}, owner.incarnation};
    const std::chrono::milliseconds timeout(batch.timeoutMs);
    const auto carry = [&](const auto &order, const auto &send) {
        const auto number = order.target.number;
        if (!admit()) {
            addResult(target, number, order_result::notSent);
            return;
        }
        send(order, [this, target, number](const auto &answer) {
            --m_pendingOrders;
            if constexpr (requires { answer.running; }) {
                resultsFor(target).lists.push_back(order_frames::encode(number, answer));
            } else {
                addResult(target, number, answer.result);
            }
        });
    };
    for (const auto &each : batch.stops) {
        carry(each, [&](const auto &order, auto done) {
            m_workers.stop(order_frames::decode(order), batch.token, timeout, std::move(done));
        });
    }
    for (const auto &each : batch.lists) {
        carry(each, [&](const auto &order, auto done) {
            const auto list = order_frames::decode(order);
            m_workers.list(list, batch.token, list.timeout, std::move(done));
        });
    }
    for (const auto &each : batch.starts) {
        carry(each, [&](const auto &order, auto done) {
            auto start = order_frames::decode(order);
            const auto payload = payloadOf(order, batch);
            if (!payload) {
                done(start_answered {start.worker, start.boot, start.run, order_result::notSent, {}});
                return;
            }
            start.payload = *payload;
            m_workers.start(start, batch.token, timeout, std::move(done));
        });
    }
    m_measures.count("primrosecroft_relayed_orders", "kind", "batch");
}

/// Returns the payload of the job, which only the first start of the job brings. Returns std::nullopt if it isn't kept
/// here any more.
std::optional<std::string> order_relay::payloadOf(const wire::StartOrder &order, const wire::OrderBatch &batch)
{
    if (order.__isset.payload) {
        const auto &payload = batch.payloads.at(static_cast<std::size_t>(order.payload));
        m_payloads.keep(order.run.job, payload);
        return payload;
    }
    return m_payloads.find(order.run.job);
}

bool order_relay::admit()
{
    if (m_pendingOrders >= maxPendingOrders) {
        m_log.write("relays", "not-sent", {{"pending", std::to_string(m_pendingOrders)}});
        return false;
    }
    ++m_pendingOrders;
    return true;
}

wire::OrderResults &order_relay::resultsFor(const destination &target)
{
    auto &waiting = m_results[target];
    if (!waiting) {
        waiting = std::make_unique<wire::OrderResults>();
        waiting->incarnation = target.incarnation;
    }
    if (!m_sendTimer.isRunning()) {
        m_sendTimer.once(resultDelay, [this] { sendResults(); });
    }
    return *waiting;
}

void order_relay::addResult(const destination &target, std::int64_t number, order_result result)
{
    wire::OrderResult entry;
    entry.number = number;
    entry.result = static_cast<std::int32_t>(result);
    resultsFor(target).results.push_back(entry);
}

void order_relay::sendResults()
{
    for (auto &[target, results] : std::exchange(m_results, {})) {
        wire::Message message;
        message.orderResults = std::move(*results);
        message.__isset.orderResults = true;
        m_peers.send(target.address, message);
    }
}

} // namespace primrosecroft
