#pragma once

#include "io/peer_hub.h"
#include "io/timer.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_session/worker_gateway.h"
#include "relays/kept_payloads.h"
#include "relays/relay_clock.h"
#include "store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

namespace wire
{
class OrderBatch;
class OrderResults;
class Sender;
} // namespace wire

/**
 * Carries orders of the owner to workers and returns their results, several in one message. It decides nothing: each
 * order is sent once, under the owner's fencing token and with the deadlines that the owner has set. It is sent soon
 * after it was made or not at all: the owner counts it as lost in the end and may have had the worker refuse it, which
 * a worker that has restarted since doesn't know.
 */
class order_relay
{
public:
    /// @p rows is read for the payloads of jobs that an owner on a narrow link doesn't send.
    /// @p self is the present run of this process.
    order_relay(const process_run &self, worker_gateway &workers, store &rows, peer_hub &peers, decision_log &log,
                metrics &measures);
    ~order_relay();
    order_relay(const order_relay &) = delete;
    order_relay &operator=(const order_relay &) = delete;

    /// Sends the orders of a batch. Orders that are too old, for another run of this process or beyond the
    /// limit of pending ones are returned as not sent, and those of an owner before the latest one as fenced: a worker
    /// that has restarted since would obey them. Throws error if a start names a payload that the batch doesn't have.
    void handle(const wire::OrderBatch &batch, const wire::Sender &owner);

    /// Called when this process learns of an owner, so that it carries no more orders of earlier ones.
    void noteOwner(row_version token);

private:
    /// The run of an owner to which results go.
    struct destination
    {
        peer_address address;
        std::int64_t incarnation = 0;

        friend auto operator<=>(const destination &, const destination &) = default;
    };

    /// When the orders of the batch were made, on this process's clock, or earlier. Unset if they are for another run.
    std::optional<instant> madeAt(const wire::OrderBatch &batch) const;

    void reportLate(std::size_t orders, const std::optional<instant> &madeAt);

    /// The results that wait for being sent to @p target.
    wire::OrderResults &resultsFor(const destination &target);
    void addResult(const destination &target, std::int64_t number, order_result result);
    void sendResults();
    bool admit();
    using payload_handler = std::function<void(const std::optional<std::string> &payload)>;

    void keepPayloads(const wire::OrderBatch &batch);
    void findPayload(const job_id &job, payload_handler done);
    void readPayload(const job_id &job);

    process_run m_self;
    worker_gateway &m_workers;
    row_version m_latestToken = 0; ///< the highest that batches and noteOwner() have told
    store &m_rows;
    peer_hub &m_peers;
    decision_log &m_log;
    metrics &m_measures;
    std::map<destination, std::unique_ptr<wire::OrderResults>> m_results;
    std::size_t m_pendingOrders = 0;
    kept_payloads m_payloads;
    std::map<job_id, std::vector<payload_handler>> m_payloadReads; ///< starts that wait for the read of a job's row
    timer m_sendTimer;
};

} // namespace primrosecroft
