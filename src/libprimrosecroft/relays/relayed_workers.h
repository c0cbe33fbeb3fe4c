#pragma once

#include "io/peer_hub.h"
#include "io/timer.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_session/worker_gateway.h"
#include "relays/relay_clock.h"
#include "relays/relay_plan.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

namespace primrosecroft
{

namespace wire
{
class OrderBatch;
class OrderResults;
} // namespace wire

/// Calls by which relayed_workers learns of the cell.
struct relay_links
{
    std::function<failure_domain_id(const worker_id &worker)> failureDomainOf; ///< empty if the worker isn't known
    /// The plan for the present workers and processes, after the plan @p before.
    std::function<relay_plan(const relay_plan &before)> plan;
    std::function<peer_address(const process_id &relay)> addressOf;
    /// Returns a clock without a run if nothing is known of the relay's.
    std::function<relay_clock(const process_id &relay)> clockOf;
};

/**
 * Sends the owner's orders to workers, by the relays of a plan or, without a plan, directly. The orders that come up in
 * one iteration of the main loop go to each relay in one message. An order whose relay doesn't return its result is
 * answered as lost.
 */
class relayed_workers : public worker_gateway
{
public:
    /// @p direct sends the orders of workers without a relay. @p self and @p incarnation identify this run of the
    /// process, to which the results return. On a narrow link, which @p capacity tells, relays read payloads in the
    /// store.
    relayed_workers(worker_gateway &direct, peer_hub &peers, const peer_address &self, std::int64_t incarnation,
                    const vm_capacity &capacity, relay_links links, decision_log &log, metrics &measures);
    ~relayed_workers() override;

    void start(const send_start &order, row_version token, std::chrono::milliseconds timeout,
               std::function<void(start_answered)> done) override;
    void stop(const send_stop &order, row_version token, std::chrono::milliseconds timeout,
              std::function<void(stop_answered)> done) override;
    void list(const send_list &order, row_version token, std::chrono::milliseconds timeout,
              std::function<void(list_answered)> done) override;

    /// Takes the plan for the present workers and processes. Called at short intervals while this process owns a cell.
    void refreshPlan();

    /// Forgets the plan and the pending orders. Called at the end of an ownership.
    void reset();

    void handle(const wire::OrderResults &results);

    /// Returns true if the relay has left an order without a result, and nothing has come from it since the order was
    /// sent. @p lastContactAt is when its last message arrived. A relay that is only slow isn't suspected: its workers
    /// would move to relays that are as busy.
    bool isSuspected(const process_id &relay, instant lastContactAt) const;

private:
    template<typename answer>
    struct pending_answer
    {
        answer unanswered; ///< the answer without the result
        std::function<void(answer)> done;
    };

    using pending_handler =
        std::variant<pending_answer<start_answered>, pending_answer<stop_answered>, pending_answer<list_answered>>;

    struct pending_order
    {
        process_id relay;
        instant sentAt;
        instant deadline;
        pending_handler handler;
    };

    /// What is about to be sent to one relay, and what it has got.
    struct relay_state
    {
        std::unique_ptr<wire::OrderBatch> batch; ///< orders for the next message; empty if there are none
        std::map<job_id, std::int32_t> batchPayloads; ///< index of the job's payload in the batch
        std::set<job_id> payloadsSent; ///< jobs whose payload the relay has got
        std::set<job_id> payloadsMissed; ///< jobs whose payload the relay couldn't read in the store
        instant unansweredSince; ///< when the latest order without a result was sent; zero if there was none
    };

    process_id relayOf(const worker_id &worker);
    bool mustSendPayload(relay_state &relay, const job_id &job) const;
    wire::OrderBatch &batchFor(const process_id &relay, row_version token, std::chrono::milliseconds timeout);
    std::int64_t expect(const process_id &relay, std::chrono::milliseconds timeout, pending_handler handler);
    void sendBatches();
    void finish(std::int64_t number, order_result result);
    void finishOverdue();

    worker_gateway &m_direct;
    peer_hub &m_peers;
    peer_address m_self;
    std::int64_t m_incarnation;
    bool m_isLinkNarrow;
    relay_links m_links;
    decision_log &m_log;
    metrics &m_measures;
    bool m_hasPlan = false;
    relay_plan m_plan;
    std::unordered_map<worker_id, process_id> m_relays; ///< by worker, as the plan gives them
    std::map<process_id, relay_state> m_states;
    std::map<std::int64_t, pending_order> m_pending;
    std::int64_t m_lastNumber = 0;
    timer m_sendTimer;
    timer m_overdueTimer;
};

} // namespace primrosecroft
