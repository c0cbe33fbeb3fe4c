#pragma once

#include "advice_route_evidence.h"
#include "cell/cell_messages.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Why a call was made: the first one of an ask, the second one because the first is late, or a repetition of an
/// answered ask to learn whether a daemon answers.
enum class advice_call_kind : std::uint8_t
{
    first,
    hedge,
    trial,
};

/// How a call ended, for operators.
struct advice_call_report
{
    process_id route;
    step_ref step;
    advice_call_kind kind = advice_call_kind::first;
    bool isAnswered = false;
    bool isHedged = false; ///< the ask was sent through two daemons because the first call was late
    std::chrono::milliseconds took {0};
};

/**
 * Distributes requests for advice over the daemons. The advice service answers one call at a
 * time for each machine that calls it, so calls from the owner's machine alone would be too slow.
 * What the recent calls through a daemon tell decides whether it gets the next one. A call that is late is made once
 * more through another daemon, and the first answer counts.
 */
class advice_dispatcher
{
public:
    using answer_handler = std::function<void(advice_answered)>;

    /// A daemon through which the advice service can be called.
    struct advice_route
    {
        std::function<void(const ask_advice &request, std::chrono::milliseconds timeout, answer_handler)> call;
        duration expectedDelay {0}; ///< of the answers while no call has ended
    };

    /// @p report is called at the end of each call.
    advice_dispatcher(std::function<instant()> clock, std::function<void(const advice_call_report &)> report);

    /// Sets the daemons that can call the service now. Requests already sent through a daemon that isn't in the new
    /// set stay open until they are answered or time out.
    void setRoutes(std::map<process_id, advice_route> routes);

    /// Number of daemons that are believed to answer, at least half of all and at least 1.
    std::int32_t routeCount() const;

    /// Sends the request through the daemon that is expected to answer first, and calls @p done exactly once. Without
    /// any daemon it calls @p done at once with an answer whose `isAnswered` is false.
    void ask(const ask_advice &request, answer_handler done);

    /// Sends the requests whose answers are late through another daemon. To be called several times a second.
    void hedgeLateCalls();

private:
    /// A request, which one or two calls carry.
    struct question
    {
        ask_advice request;
        answer_handler done; ///< empty once it has been called
        int openCalls = 0;
        bool hasSecondCall = false;
        bool isHedged = false;
    };

    struct open_call
    {
        std::uint64_t number = 0;
        process_id route;
        std::shared_ptr<question> asked;
        advice_call_kind kind = advice_call_kind::first;
        instant sentAt;
        instant expectedAt;
        instant lateAt;
        bool isLate = false;
    };

    advice_route_evidence &evidenceOf(const process_id &route);
    std::optional<process_id> bestRoute(const std::function<bool(const process_id &)> &isCandidate);
    void send(const std::shared_ptr<question> &asked, const process_id &route, advice_call_kind kind);
    void finish(std::uint64_t number, advice_answered answer);
    void endCall(const open_call &call, advice_answered &answer);
    void hedge(const open_call &late);
    void tryRoute(const std::shared_ptr<question> &answered);

    std::function<instant()> m_clock;
    std::function<void(const advice_call_report &)> m_report;
    std::map<process_id, advice_route> m_routes;
    std::map<process_id, advice_route_evidence> m_evidence; ///< also of daemons that have gone, while it matters
    std::map<std::uint64_t, open_call> m_openCalls; ///< by a number of this process
    std::uint64_t m_lastCall = 0;
    double m_hedges; ///< that may be made now
    double m_trials; ///< likewise
};

} // namespace primrosecroft
