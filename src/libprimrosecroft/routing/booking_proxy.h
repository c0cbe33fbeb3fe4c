#pragma once

#include "io/http_client.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "membership/membership.h"
#include "observability/metrics.h"
#include "routing/routing.h"

#include <functional>
#include <map>
#include <memory>

namespace primrosecroft
{

/**
 * Forwards booking requests to executors and their answers to the callers; the routing core decides which executor gets
 * which request. Answers are streamed. If an answer is cut off by the executor, the caller's connection is cut off too,
 * so that the caller never takes a partial answer for a complete one.
 */
class booking_proxy
{
public:
    /// @p defaultDeadline applies to requests that name no deadline. @p announceLeaving announces to the
    /// peers that an upstream leaves.
    booking_proxy(http_client &http, metrics &measures, const routing_settings &settings,
                  std::chrono::milliseconds defaultDeadline, std::function<void(const upstream_id &)> announceLeaving);
    ~booking_proxy();
    booking_proxy(const booking_proxy &) = delete;
    booking_proxy &operator=(const booking_proxy &) = delete;

    /// Takes the executors, with their addresses, and the entry daemons of the platform's VM list.
    void setUpstreams(const std::vector<listed_vm> &vms);

    /// Called when a peer reported that the upstream leaves.
    void onUpstreamLeaving(const upstream_id &upstream);

    void serve(const std::shared_ptr<http_request> &request);

    /// Requests that have no complete answer yet, queued ones too.
    std::size_t inFlight() const;
    const routing_state &state() const;

private:
    struct booking;

    void handle(const routing_message &message);
    void carryOut(const routing_action &action);
    void send(const send_attempt &action);
    void onResponseStarted(const std::shared_ptr<booking> &entry, unsigned status, const http_headers &headers);
    void onBodyReceived(const std::shared_ptr<booking> &entry, std::string_view piece);
    void onResponseEnded(const std::shared_ptr<booking> &entry);
    void onAttemptFailed(const std::shared_ptr<booking> &entry, const http_failure &failure);
    void finishAttempt(const std::shared_ptr<booking> &entry, attempt_result result);
    void refuse(const refuse_request &action);
    void reportUnknown(const report_unknown &action);
    void deliver(const deliver_answer &action);
    std::shared_ptr<booking> removeBooking(std::uint64_t id);

    http_client &m_http;
    metrics &m_measures;
    std::chrono::milliseconds m_defaultDeadline;
    std::function<void(const upstream_id &)> m_announceLeaving;
    routing_state m_state;
    std::map<upstream_id, std::string> m_addresses;
    std::map<std::uint64_t, std::shared_ptr<booking>> m_bookings;
    std::uint64_t m_lastId = 0;
    timer m_ticker;
};

} // namespace primrosecroft
