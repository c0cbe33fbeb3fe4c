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
 * The routing core: decides which upstream executor gets each caller's request, without a clock or sockets of its
 * own. Each daemon decides alone, from its own requests in flight and the load that executors report with their
 * answers. The code calls an executor an upstream.
 */
namespace primrosecroft
{

/// How an executor is chosen among the nearest ones that have a free slot. "Two choices" takes the less loaded of
/// two random ones.
enum class routing_policy
{
    random, ///< a random one, whatever its load
    fixedShare, ///< two choices on own requests in flight, with an equal share of the slots as `slotsPerDaemon`
    twoChoices, ///< two choices on own requests in flight
    twoChoicesReported, ///< two choices on the load that executors report
    subset, ///< two choices on own requests in flight, only among the executors that this daemon owns
    ownedFirst, ///< least estimated load: among owned executors while they have a free slot, then among the others
};

struct routing_settings
{
    routing_policy policy = routing_policy::ownedFirst;
    std::string address; ///< of this daemon, equal to its address in the list of entry VMs
    failure_domain_id failureDomain;
    std::string region;
    std::uint64_t seed = 0;
    std::int32_t slotsPerUpstream = 8; ///< requests that an upstream executes at the same time
    std::int32_t slotsPerDaemon = 8; ///< maximum of one upstream's slots that this daemon uses
    double slotsReservedForOwner = 1; ///< slots that this daemon leaves free on an upstream that another daemon owns
    std::size_t maxQueueLength = 1'000;
    std::int32_t failuresBeforeEjection = 3; ///< consecutive
    std::chrono::milliseconds baseEjectionTime {2'000}; ///< doubles with each ejection without a success in between
    std::chrono::milliseconds maxEjectionTime {30'000};
    double retryShare = 0.1; ///< retries allowed for each request; further ones aren't made
    std::int32_t maxAttemptsPerRequest = 3;
    /// If no upstream has reported its load for this long, the load from other daemons is taken as zero.
    std::chrono::milliseconds maxLoadReportAge {1'000};
    /// How long an upstream that announced its leaving gets no requests while the VM list still shows it as active.
    /// Ten times the lag of the VM list.
    std::chrono::milliseconds leavingRetention {300'000};
    /// A request crosses the link to another region only if its expected wait is longer than this, or if the own region
    /// has no working upstream.
    std::chrono::milliseconds linkRoundTrip {40};
    double linkBytesPerSecond = 125'000; ///< budget for this daemon's requests and answers between regions
    std::chrono::milliseconds linkBurst {1'000}; ///< unused link budget is kept for up to this span
};

/// An upstream as the VM list describes it.
struct upstream_description
{
    upstream_id id;
    failure_domain_id failureDomain;
    std::string region;
    bool isLeaving = false;
};

/// An entry daemon as the VM list describes it.
struct entry_description
{
    std::string address;
    failure_domain_id failureDomain;
    std::string region;
};

struct upstream_record
{
    upstream_description description;
    bool isOwned = false; ///< this daemon uses its slots before other daemons do
    bool hasOwner = false; ///< a daemon owns it; taken as true for all upstreams while the own region has a daemon
    std::int32_t inFlight = 0; ///< requests from this daemon
    std::int32_t otherDaemonsLoad = 0; ///< requests from other daemons, according to its last report
    instant loadReportedAt;
    std::int32_t failuresInRow = 0;
    std::int32_t ejections = 0; ///< since its last success; 0 when it isn't ejected
    instant ejectedUntil; ///< from this time on a probe is due
    bool isProbing = false; ///< the probe, a single request after an ejection, is in flight
};

struct routed_request
{
    std::uint64_t id = 0;
    instant deadline;
    bool isRepeatable = false;
    std::int32_t attempts = 0; ///< sent so far
    std::set<upstream_id> tried = {}; ///< by earlier attempts, not chosen again; cleared when queued again
    bool mayHaveRun = false; ///< an attempt was sent, and its answer was lost or a server error
};

struct routing_state
{
    routing_settings settings;
    std::map<upstream_id, upstream_record> upstreams;
    double meanLoad = 0; ///< requests per upstream, smoothed over the reports of all upstreams
    instant loadReportedAt; ///< last report of any upstream
    std::map<upstream_id, instant> leavingSince; ///< first announcement by the upstream, a peer or the VM list
    std::map<std::uint64_t, routed_request> active; ///< requests in flight, by their ids
    std::map<std::uint64_t, upstream_id> target; ///< upstreams of the active requests, by the requests' ids
    std::deque<routed_request> queue; ///< requests that wait for a free slot
    double retryBudget = 0; ///< retries that may be made now
    std::uint64_t randomState = 0;
    std::chrono::microseconds serviceTime {50'000}; ///< smoothed, of one answered request
    /// Smoothed, between answers while requests are queued; std::nullopt before the first such answer.
    std::optional<std::chrono::microseconds> answerInterval;
    instant lastAnswerAt;
    double linkBudget = 0; ///< in bytes; negative after an answer that was larger than expected
    instant linkBudgetAt; ///< last refill of the link budget
    double bytesPerRequest = 4'096; ///< smoothed, request and answer together
};

/// The platform's VM list was read. Each entry daemon derives from it which executors of its region it owns.
struct upstreams_listed
{
    std::vector<upstream_description> upstreams;
    std::vector<entry_description> entries = {};
};

/// A peer reported that the upstream leaves.
struct upstream_leaving_reported
{
    upstream_id upstream;
};

struct request_arrived
{
    std::uint64_t id = 0;
    instant deadline;
    bool isRepeatable = false;
};

enum class attempt_result
{
    answered, ///< a complete answer arrived that is no server error
    notRun, ///< the executor refused the request and did not run it
    unreachable, ///< no connection could be made, so the request was not sent
    failed, ///< sent and answered with a server error
    lost, ///< sent, and no complete answer arrived
};

struct attempt_finished
{
    std::uint64_t id = 0;
    attempt_result result = attempt_result::answered;
    bool isLeaving = false; ///< the answer's header announced that the upstream leaves
    bool hasAnswerBegun = false; ///< at least the head of the answer was passed on to the caller
    std::optional<std::int32_t> reportedLoad; ///< requests at the upstream, from all daemons
    std::chrono::microseconds took {0}; ///< from sending the request to the end of the attempt
    std::int64_t bytes = 0; ///< request and answer together; 0 if unknown
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

/// Answer that the request did not run and that the caller may send it again after the pause.
struct refuse_request
{
    std::uint64_t id = 0;
    std::string reason;
    std::chrono::milliseconds retryAfter {0};
};

/// Answer that the request's outcome is unknown, because it may have run.
struct report_unknown
{
    std::uint64_t id = 0;
};

/// Pass the upstream's error answer on to the caller, because the request can't be retried.
struct deliver_answer
{
    std::uint64_t id = 0;
};

/// Announce to the peers that the upstream leaves.
struct announce_leaving
{
    upstream_id upstream;
};

using routing_action = std::variant<send_attempt, refuse_request, report_unknown, deliver_answer, announce_leaving>;

routing_state makeRouting(const routing_settings &settings);

/// True if the VM list shows the upstream as leaving, or its leaving was announced and not withdrawn since.
bool isLeaving(const routing_state &state, const upstream_record &upstream);

/// Handles one message at time @p now and returns the actions to carry out, in this order.
std::vector<routing_action> step(routing_state &state, const routing_message &message, instant now);

} // namespace primrosecroft
