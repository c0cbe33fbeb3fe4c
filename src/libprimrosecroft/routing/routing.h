#pragma once

#include "core/types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/**
 * Routes callers' requests to upstream executors. Each daemon decides alone, from
 * its own requests in flight and the load that executors report on their answers.
 */
namespace primrosecroft
{

struct routing_settings
{
    failure_domain_id failureDomain;
    std::string region;
    std::uint64_t seed = 0;
    std::int32_t slotsPerUpstream = 8;
    std::int32_t slotsPerDaemon = 8; ///< of one upstream that this daemon uses at the most
    std::size_t longestQueue = 1'000;
    std::int32_t failuresBeforeEjection = 3; ///< in a row
    std::chrono::milliseconds ejectionTime {2'000}; ///< doubles with each further one
    std::chrono::milliseconds longestEjection {30'000};
    double retryShare = 0.1; ///< of requests; what goes beyond isn't tried again
    std::int32_t mostAttempts = 3;
    std::chrono::milliseconds loadMemory {1'000}; ///< a reported load is believed for so long
};

/// An upstream as membership knows it.
struct upstream_description
{
    upstream_id id;
    failure_domain_id failureDomain;
    std::string region;
    bool leaving = false;
};

struct upstream_record
{
    upstream_description description;
    std::int32_t inFlight = 0; ///< from this daemon
    std::int32_t reportedLoad = 0; ///< all daemons' requests at the executor
    instant loadReportedAt;
    std::int32_t failuresInRow = 0;
    std::int32_t ejections = 0; ///< without a success between
    instant ejectedUntil;
    bool leaving = false; ///< said so itself or through a peer; holds until it is listed anew
    bool probing = false; ///< one request is let through after an ejection
};

struct routed_request
{
    std::uint64_t id = 0;
    instant deadline;
    bool repeatable = false;
    std::int32_t attempts = 0;
    std::set<upstream_id> tried;
};

struct routing_state
{
    routing_settings settings;
    std::map<upstream_id, upstream_record> upstreams;
    std::map<std::uint64_t, routed_request> active; ///< sent to an upstream
    std::map<std::uint64_t, upstream_id> target; ///< of active requests
    std::deque<routed_request> queue;
    double retryBudget = 0;
    std::uint64_t randomState = 0;
    std::chrono::microseconds serviceTime {50'000}; ///< smoothed, of one request
};

struct upstreams_listed
{
    std::vector<upstream_description> upstreams;
};

struct upstream_left
{
    upstream_id upstream;
};

struct request_arrived
{
    std::uint64_t id = 0;
    instant deadline;
    bool repeatable = false;
};

enum class attempt_result
{
    answered, ///< whole, whatever its status
    notRun, ///< refused by the executor, or never sent
    failed, ///< sent and answered with a server fault
    lost, ///< sent, and no whole answer came
};

struct attempt_finished
{
    std::uint64_t id = 0;
    attempt_result result = attempt_result::answered;
    bool leaving = false; ///< the upstream said that it leaves
    bool answerBegun = false; ///< parts of the answer reached the caller
    std::optional<std::int32_t> reportedLoad;
    std::chrono::microseconds took {0};
};

struct routing_ticked
{
};

using routing_message =
    std::variant<upstreams_listed, upstream_left, request_arrived, attempt_finished, routing_ticked>;

struct send_attempt
{
    std::uint64_t id = 0;
    upstream_id upstream;
};

/// It did not run; another try may help after the pause.
struct refuse_request
{
    std::uint64_t id = 0;
    std::string reason;
    std::chrono::milliseconds retryAfter {0};
};

/// It may have run.
struct report_unknown
{
    std::uint64_t id = 0;
};

/// The upstream's failing answer is handed to the caller, as no try is left.
struct deliver_answer
{
    std::uint64_t id = 0;
};

/// Peers should know that the upstream leaves.
struct spread_leaving
{
    upstream_id upstream;
};

using routing_action = std::variant<send_attempt, refuse_request, report_unknown, deliver_answer, spread_leaving>;

routing_state makeRouting(const routing_settings &settings);

std::vector<routing_action> step(routing_state &state, const routing_message &message, instant now);

} // namespace primrosecroft
