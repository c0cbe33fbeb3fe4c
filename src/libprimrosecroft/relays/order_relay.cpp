#include "relays/order_relay.h"

#include "core/clock.h"
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

/// An order may be sent until then, also if its own time is shorter. Before the owner takes an unanswered start for
/// barred, its worker has a second to carry a stop out.
constexpr auto minOrderTime = 900ms;

/// How long the order may still be sent; 0 if it may not.
std::chrono::milliseconds remaining(instant madeAt, std::chrono::milliseconds timeout)
{
    return std::max(
        0ms,
        std::chrono::floor<std::chrono::milliseconds>(madeAt + std::max<duration>(timeout, minOrderTime) - bootNow()));
}

} // namespace

order_relay::order_relay(const process_run &self, worker_gateway &workers, store &rows, peer_hub &peers,
                         decision_log &log, metrics &measures)
    : m_self(self)
    , m_workers(workers)
    , m_rows(rows)
    , m_peers(peers)
    , m_log(log)
    , m_measures(measures)
{
}

order_relay::~order_relay() = default;

void order_relay::handle(const wire::OrderBatch &batch, const wire::Sender &owner)
{
    keepPayloads(batch);
    const destination target {{batch.replyAddress, static_cast<std::uint16_t>(batch.replyPort)}, owner.incarnation};
    const std::chrono::milliseconds timeout(batch.timeoutMs);
    const auto made = madeAt(batch);
    std::size_t late = 0;
    noteOwner(batch.token);
    const bool isOfFormerOwner = batch.token < m_latestToken;
    const auto carry = [&](const auto &order, std::chrono::milliseconds orderTimeout, const auto &send) {
        const auto number = order.target.number;
        if (isOfFormerOwner) {
            addResult(target, number, order_result::fenced);
            return;
        }
        const bool isLate = !made || remaining(*made, orderTimeout) == 0ms;
        late += isLate ? 1 : 0;
        if (isLate || !admit()) {
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
        carry(each, timeout, [&](const auto &order, auto done) {
            m_workers.stop(order_frames::decode(order), batch.token, std::min(timeout, remaining(*made, timeout)),
                           std::move(done));
        });
    }
    for (const auto &each : batch.lists) {
        const auto list = order_frames::decode(each);
        carry(each, list.timeout, [&](const auto & /*order*/, auto done) {
            m_workers.list(list, batch.token, std::min(list.timeout, remaining(*made, list.timeout)), std::move(done));
        });
    }
    for (const auto &each : batch.starts) {
        carry(each, timeout, [&](const auto &order, auto done) {
            findPayload(order.run.job,
                        [this, start = order_frames::decode(order), token = batch.token, made, timeout,
                         done = std::move(done)](const std::optional<std::string> &payload) mutable {
                            const auto left = remaining(*made, timeout);
                            if (left == 0ms) {
                                reportLate(1, made);
                            }
                            if (!payload || left == 0ms) {
                                done(start_answered {start.worker, start.boot, start.run, order_result::notSent, {}});
                                return;
                            }
                            start.payload = *payload;
                            m_workers.start(start, token, std::min(timeout, left), std::move(done));
                        });
        });
    }
    if (late > 0) {
        reportLate(late, made);
    }
    m_measures.count("primrosecroft_relayed_orders", "kind", "batch");
}

void order_relay::noteOwner(row_version token)
{
    m_latestToken = std::max(m_latestToken, token);
}

std::optional<instant> order_relay::madeAt(const wire::OrderBatch &batch) const
{
    if (!batch.__isset.receiverIncarnation || !batch.__isset.madeAtUpMs) {
        return bootNow();
    }
    if (batch.receiverIncarnation != m_self.incarnation) {
        return std::nullopt;
    }
    return m_self.startedAt + std::chrono::milliseconds(batch.madeAtUpMs);
}

void order_relay::reportLate(std::size_t orders, const std::optional<instant> &madeAt)
{
    const auto age = madeAt ? std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - *madeAt) : 0ms;
    m_measures.count("primrosecroft_relayed_orders", "kind", "late");
    m_log.write("relays", "too-late",
                {{"orders", std::to_string(orders)},
                 {"age_ms", std::to_string(age.count())},
                 {"other_run", madeAt ? "0" : "1"}});
}

/// Throws error if a start names a payload that the batch doesn't have.
void order_relay::keepPayloads(const wire::OrderBatch &batch)
{
    for (const auto &order : batch.starts) {
        if (!order.__isset.payload) {
            continue;
        }
        if (order.payload < 0 || order.payload >= std::ssize(batch.payloads)) {
            throw error("relay a start", "", "the batch has no payload " + std::to_string(order.payload));
        }
        m_payloads.keep(order.run.job, batch.payloads[static_cast<std::size_t>(order.payload)]);
    }
}

/// Calls @p done with the payload of the job: the one that came with a batch, else the one in the job's row. Calls it
/// with std::nullopt if there is no such row, or the store doesn't answer.
void order_relay::findPayload(const job_id &job, payload_handler done)
{
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
