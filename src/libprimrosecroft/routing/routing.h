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

/// How an executor is chosen among those that are near enough and have room.
enum class routing_policy
{
    random, ///< any, blind to load
    fixedShare, ///< two choices, within an equal share of each executor's slots
    twoChoices, ///< two choices on own requests in flight
    twoChoicesReported, ///< two choices on the load that executors report
    subset, ///< two choices among the executors of which this daemon is the owner
    ownedFirst, ///< owned executors while they have room, then two choices on the reported load
};

struct routing_settings
{
    routing_policy policy = routing_policy::ownedFirst;
    std::string address; ///< of this daemon, as the entry VMs are listed
    failure_domain_id failureDomain;
    std::string region;
    std::uint64_t seed = 0;
    std::int32_t slotsPerUpstream = 8;
    std::int32_t slotsPerDaemon = 8; ///< of one upstream that this daemon uses at the most
    double slotsReservedForOwner = 1; ///< of an upstream that another daemon owns
    std::size_t maxQueueLength = 1'000;
    std::int32_t failuresBeforeEjection = 3; ///< in a row
    std::chrono::milliseconds baseEjectionTime {2'000}; ///< doubles with each further one
    std::chrono::milliseconds maxEjectionTime {30'000};
    double retryShare = 0.1; ///< of requests; what goes beyond isn't tried again
    std::int32_t maxAttemptsPerRequest = 3;
    std::chrono::milliseconds maxLoadReportAge {1'000}; ///< without a report for so long, nothing is believed
    std::chrono::milliseconds leavingRetention {300'000}; ///< ten times the lag of the VM list
    std::chrono::milliseconds linkRoundTrip {40}; ///< a shorter wait is preferred to crossing the link
    double linkBytesPerSecond = 125'000; ///< of this daemon's requests and answers between regions
    std::chrono::milliseconds linkBurst {1'000}; ///< of unused budget that is kept
};

/// An upstream as membership knows it.
struct upstream_description
{
    upstream_id id;
    failure_domain_id failureDomain;
    std::string region;
    bool leaving = false;
};

/// An entry daemon as membership knows it.
struct entry_description
{
    std::string address;
    failure_domain_id failureDomain;
    std::string region;
};

struct upstream_record
{
    upstream_description description;
    bool isOwned = false; ///< this daemon is the first to fill its slots
    bool hasOwner = false; ///< some daemon is
    std::int32_t inFlight = 0; ///< from this daemon
    std::int32_t otherDaemonsLoad = 0; ///< other daemons' requests at the executor, by its last report
    instant loadReportedAt;
    std::int32_t failuresInRow = 0;
    std::int32_t ejections = 0; ///< without a success between
    instant ejectedUntil;
    bool isProbing = false; ///< one request is let through after an ejection
};

struct routed_request
{
    std::uint64_t id = 0;
    instant deadline;
    bool repeatable = false;
    std::int32_t attempts = 0;
    std::set<upstream_id> tried = {};
    bool mayHaveRun = false; ///< an attempt reached an executor and its answer was lost or a fault
};

struct routing_state
{
    routing_settings settings;
    std::map<upstream_id, upstream_record> upstreams;
    double meanLoad = 0; ///< smoothed over the reports of all upstreams
    instant loadReportedAt; ///< by any upstream
    std::map<upstream_id, instant> leavingSince; ///< said so themselves or through a peer
    std::map<std::uint64_t, routed_request> active; ///< sent to an upstream
    std::map<std::uint64_t, upstream_id> target; ///< of active requests
    std::deque<routed_request> queue;
    double retryBudget = 0;
    std::uint64_t randomState = 0;
    std::chrono::microseconds serviceTime {50'000}; ///< smoothed, of one request
    std::optional<std::chrono::microseconds> answerInterval; ///< smoothed, while requests wait
    instant lastAnswerAt;
    double linkBudget = 0; ///< in bytes; below zero after an answer that was larger than expected
    instant linkBudgetAt;
    double bytesPerRequest = 4'096; ///< smoothed, request and answer
};

/// The platform's list. The entry daemons of a region share out its executors by it.
struct upstreams_listed
{
    std::vector<upstream_description> upstreams;
    std::vector<entry_description> entries = {};
};

struct upstream_leaving_reported
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
    notRun, ///< refused by the executor
    unreachable, ///< no connection, so it was never sent
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
    std::int64_t bytes = 0; ///< request and answer; 0 when not known
};

struct routing_ticked
{
};

using routing_message =
    std::variant<upstreams_listed, upstream_leaving_reported, request_arrived, attempt_finished, routing_ticked>;

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
struct announce_leaving
{
    upstream_id upstream;
};

using routing_action = std::variant<send_attempt, refuse_request, report_unknown, deliver_answer, announce_leaving>;

routing_state makeRouting(const routing_settings &settings);

/// True when a source has said that the upstream leaves, and none has taken it back.
bool isLeaving(const routing_state &state, const upstream_record &upstream);

std::vector<routing_action> step(routing_state &state, const routing_message &message, instant now);

} // namespace primrosecroft
