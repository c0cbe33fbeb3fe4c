#pragma once

#include "cell/cell_messages.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace primrosecroft
{

/**
 * Distributes requests for advice over the daemons. The advice service answers one call at a
 * time for each machine that calls it, so calls from the owner's machine alone would be too slow.
 */
class advice_dispatcher
{
public:
    using answer_handler = std::function<void(advice_answered)>;

    /// Sends a request to the advice service through one daemon.
    using advice_route =
        std::function<void(const ask_advice &request, std::chrono::milliseconds timeout, answer_handler)>;

    /// Sets the daemons that can call the service now. Requests already sent through a daemon that isn't in the new
    /// set stay open until they are answered or time out.
    void setRoutes(std::map<process_id, advice_route> routes);

    std::int32_t routeCount() const;

    /// Sends the request through the daemon that is expected to be free first. Without any daemon it calls @p done
    /// at once with an answer whose `isAnswered` is false.
    void ask(const ask_advice &request, instant now, answer_handler done);

private:
    std::map<process_id, advice_route> m_routes;
    /// Lower bound of the moment at which the service answered this call, on the owner's clock. The answer may have
    /// come late, but one route's calls are answered one after the other, in the order of their @p number.
    instant issuedSince(const process_id &route, std::uint64_t number, instant sentAt, duration cost);

    std::map<process_id, instant> m_freeAt; ///< when a daemon's requests are expected to be answered
    std::map<process_id, instant> m_issuedAt; ///< lower bound of when a daemon's last answered request was answered
    std::map<process_id, std::uint64_t> m_lastAnswered; ///< highest number of a daemon's answered requests
    std::uint64_t m_lastCall = 0;
};

} // namespace primrosecroft
