#include "relays/order_relay.h"

#include "core/error.h"
#include "jobs/job_rows.h"
#include "primrosecroft_types.h"
#include "relays/order_frames.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto resultDelay = 6ms; ///< results within this time go into one message
constexpr auto payloadReadTimeout = 300ms;
constexpr std::size_t maxPendingOrders = 4'000;

} // namespace

order_relay::order_relay(worker_gateway &workers, store &rows, peer_hub &peers, decision_log &log, metrics &measures)
    : m_workers(workers)
    , m_rows(rows)
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
    m_latestToken = std::max(m_latestToken, batch.token);
    const bool isOfFormerOwner = batch.token < m_latestToken;
    const auto carry = [&](const auto &order, const auto &send) {
        const auto number = order.target.number;
        if (isOfFormerOwner) {
            addResult(target, number, order_result::fenced);
            return;
        }
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
            findPayload(order, batch,
                        [this, start = order_frames::decode(order), token = batch.token, timeout,
                         done = std::move(done)](const std::optional<std::string> &payload) mutable {
                            if (!payload) {
                                done(start_answered {start.worker, start.boot, start.run, order_result::notSent, {}});
                                return;
                            }
                            start.payload = *payload;
                            m_workers.start(start, token, timeout, std::move(done));
                        });
        });
    }
    m_measures.count("primrosecroft_relayed_orders", "kind", "batch");
}

/// Calls @p done with the payload of the order's job: the one that came with the batch or is kept from an earlier
/// start, else the one in the job's row. Calls it with std::nullopt if there is no such row, or the store doesn't
/// answer.
void order_relay::findPayload(const wire::StartOrder &order, const wire::OrderBatch &batch, payload_handler done)
{
    const auto &job = order.run.job;
    if (order.__isset.payload) {
        if (order.payload < 0 || order.payload >= std::ssize(batch.payloads)) {
            throw error("relay a start", "", "the batch has no payload " + std::to_string(order.payload));
        }
        m_payloads.keep(job, batch.payloads[static_cast<std::size_t>(order.payload)]);
    }
    if (const auto kept = m_payloads.find(job)) {
        done(kept);
        return;
    }
    auto &waiting = m_payloadReads[job];
    waiting.push_back(std::move(done));
    if (waiting.size() == 1) {
        readPayload(job);
    }
}

void order_relay::readPayload(const job_id &job)
{
    m_rows.read(rangeOf(jobPlace(job)), payloadReadTimeout, [this, job](const range_result &result) {
        std::optional<std::string> payload;
        try {
            if (result.outcome == store_outcome::done && !result.rows.empty()) {
                payload = decodeJob(result.rows.front().value).spec.payload;
                m_payloads.keep(job, *payload);
            }
        } catch (const error &fault) {
            m_log.write("relays", "row-unreadable", {{"id", job}, {"reason", fault.what()}});
        }
        if (!payload) {
            m_log.write("relays", "no-payload", {{"id", job}, {"outcome", toString(result.outcome)}});
        }
        const auto node = m_payloadReads.extract(job);
        std::ranges::for_each(node.mapped(), [&payload](const auto &done) { done(payload); });
    });
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
        swap(message.orderResults, *results);
        message.__isset.orderResults = true;
        m_peers.send(target.address, message);
    }
}

} // namespace primrosecroft
