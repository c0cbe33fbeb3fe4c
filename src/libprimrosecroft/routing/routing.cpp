#include "routing/routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>
#include <tuple>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

using action_list = std::vector<routing_action>;

constexpr double maxRetryBudget = 20;
/// Weights of a new sample in smoothed values.
constexpr double smoothing = 0.1;
constexpr double meanLoadSmoothing = 0.02;
constexpr auto minRetryAfter = 1000ms;
/// While a probe is overdue by less than this, only a request that can be retried elsewhere is used as the probe, so
/// that a failing probe costs no caller an answer. Later any request is, because there may be no repeatable ones.
constexpr auto probeGrace = 1s;

/// SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    auto value = state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

bool isProbeDue(const upstream_record &upstream, instant now)
{
    return upstream.ejections > 0 && !upstream.isProbing && now >= upstream.ejectedUntil;
}

bool usesLoadReports(routing_policy policy)
{
    return policy == routing_policy::twoChoicesReported || policy == routing_policy::ownedFirst;
}

/// Weight of the last load report, from 1 down to 0 as it ages. It is one half after one service time, when about
/// half of the requests that the report counted have ended.
double reportWeight(const routing_state &state, const upstream_record &upstream, instant now)
{
    using seconds = std::chrono::duration<double>;
    const auto served = seconds(state.serviceTime).count();
    return served / (served + seconds(now - upstream.loadReportedAt).count());
}

/// Estimated requests of other daemons at the executor. As its last report ages, the estimate moves to the mean load
/// of all executors, or to zero for an owned executor. Zero if the policy doesn't use load reports, or if no executor
/// has reported for `maxLoadReportAge`.
double estimateOtherDaemonsLoad(const routing_state &state, const upstream_record &upstream, instant now)
{
    if (!usesLoadReports(state.settings.policy) || now >= state.loadReportedAt + state.settings.maxLoadReportAge) {
        return 0;
    }
    const auto expected = upstream.isOwned ? 0 : state.meanLoad;
    const auto weight = reportWeight(state, upstream, now);
    return upstream.otherDaemonsLoad * weight + expected * (1 - weight);
}

/// Estimated requests at the executor, from this daemon and all others.
double estimateLoad(const routing_state &state, const upstream_record &upstream, instant now)
{
    return upstream.inFlight + estimateOtherDaemonsLoad(state, upstream, now);
}

/// Estimated load below which this daemon may send another request. Daemons that don't own the executor leave
/// `slotsReservedForOwner` slots free, so that the owner still finds one when the others fill it up.
double slotLimit(const routing_settings &settings, const upstream_record &upstream)
{
    const auto belongsToOtherDaemon =
        settings.policy == routing_policy::ownedFirst && upstream.hasOwner && !upstream.isOwned;
    // Estimates are fractional: half a request or more counts as a taken slot.
    const auto roundingMargin = usesLoadReports(settings.policy) ? 0.5 : 0;
    return settings.slotsPerUpstream - (belongsToOtherDaemon ? settings.slotsReservedForOwner : roundingMargin);
}

bool isUsable(const routing_state &state, const upstream_record &upstream, instant now)
{
    if (isLeaving(state, upstream) || upstream.ejections > 0) {
        return false;
    }
    if (state.settings.policy == routing_policy::subset && !upstream.isOwned) {
        return false;
    }
    return upstream.inFlight < state.settings.slotsPerDaemon
        && estimateLoad(state, upstream, now) < slotLimit(state.settings, upstream);
}

/// Executors by preference, lowest rank first: owned ones in the own failure domain, owned ones elsewhere in the
/// region, then those not owned in the same order, and last all that are across the link to another region.
constexpr std::size_t firstNotOwnedRank = 2;
constexpr std::size_t crossLinkRank = 4;
constexpr std::size_t rankCount = crossLinkRank + 1;

std::size_t rankOf(const routing_settings &settings, const upstream_record &upstream)
{
    if (upstream.description.region != settings.region) {
        return crossLinkRank;
    }
    const auto isOwned = settings.policy == routing_policy::ownedFirst && upstream.isOwned;
    const std::size_t otherDomainOffset = upstream.description.failureDomain == settings.failureDomain ? 0 : 1;
    return (isOwned ? 0 : firstNotOwnedRank) + otherDomainOffset;
}

/// Power of two choices on the estimated load (Mitzenmacher, 2001). routing_policy::random takes the first choice.
upstream_record *pickByTwoChoices(routing_state &state, const std::vector<upstream_record *> &usable, instant now)
{
    auto *first = usable.at(nextRandom(state.randomState) % usable.size());
    if (state.settings.policy == routing_policy::random) {
        return first;
    }
    auto *second = usable.at(nextRandom(state.randomState) % usable.size());
    return estimateLoad(state, *second, now) < estimateLoad(state, *first, now) ? second : first;
}

/// The least loaded executor. All are compared instead of two: the owned ones are few, and their load comes mostly from
/// this daemon, so its estimate is good.
upstream_record *pickLeastLoaded(const routing_state &state, const std::vector<upstream_record *> &usable, instant now)
{
    return *std::ranges::min_element(
        usable, {}, [&state, now](const upstream_record *upstream) { return estimateLoad(state, *upstream, now); });
}

void refillLinkBudget(routing_state &state, instant now)
{
    using seconds = std::chrono::duration<double>;
    const auto &settings = state.settings;
    const auto maxBudget = settings.linkBytesPerSecond * seconds(settings.linkBurst).count();
    if (state.linkBudgetAt == instant {}) {
        state.linkBudget = maxBudget;
    }
    const auto passed = seconds(now - state.linkBudgetAt).count();
    state.linkBudget = std::min(maxBudget, state.linkBudget + settings.linkBytesPerSecond * passed);
    state.linkBudgetAt = now;
}

/// Expected wait of a request that is queued now; zero before a first answer interval was measured.
duration expectedWait(const routing_state &state)
{
    const auto interval = state.answerInterval.value_or(std::chrono::microseconds(0));
    return interval * static_cast<std::int64_t>(state.queue.size() + 1);
}

/// True if a request may go to another region: the own region has no working executor or the expected wait exceeds the
/// link's round trip, and the budget covers a request of average size.
bool mayCrossLink(routing_state &state, bool hasNearUpstreams, instant now)
{
    refillLinkBudget(state, now);
    const auto isWorthIt = !hasNearUpstreams || expectedWait(state) > state.settings.linkRoundTrip;
    return isWorthIt && state.linkBudget >= state.bytesPerRequest;
}

/// Returns an idle ejected executor whose probe has been due for at least @p overdue, or nullptr. Executors across the
/// link aren't probed.
upstream_record *findProbeDue(routing_state &state, const routed_request &request, instant now, duration overdue)
{
    const auto isDue = [&](const upstream_record &upstream) {
        return isProbeDue(upstream, now - overdue) && !isLeaving(state, upstream) && upstream.inFlight == 0
            && rankOf(state.settings, upstream) != crossLinkRank && !request.tried.contains(upstream.description.id);
    };
    auto records = state.upstreams | std::views::values;
    const auto found = std::ranges::find_if(records, isDue);
    return found == records.end() ? nullptr : &*found;
}

upstream_record *chooseUpstream(routing_state &state, const routed_request &request, instant now)
{
    const auto canRetryElsewhere = request.isRepeatable && state.retryBudget >= 1;
    if (auto *probed = findProbeDue(state, request, now, canRetryElsewhere ? 0s : probeGrace)) {
        return probed;
    }
    std::array<std::vector<upstream_record *>, rankCount> byRank;
    auto hasNearUpstreams = false;
    for (auto &upstream : state.upstreams | std::views::values) {
        const auto rank = rankOf(state.settings, upstream);
        hasNearUpstreams =
            hasNearUpstreams || (rank != crossLinkRank && upstream.ejections == 0 && !isLeaving(state, upstream));
        if (isUsable(state, upstream, now) && !request.tried.contains(upstream.description.id)) {
            byRank.at(rank).push_back(&upstream);
        }
    }
    const auto nearest = std::ranges::find_if_not(byRank, &std::vector<upstream_record *>::empty);
    const auto rank = static_cast<std::size_t>(nearest - byRank.begin());
    if (nearest == byRank.end() || (rank == crossLinkRank && !mayCrossLink(state, hasNearUpstreams, now))) {
        return hasNearUpstreams ? nullptr : findProbeDue(state, request, now, 0s);
    }
    const auto compareAll = state.settings.policy == routing_policy::ownedFirst;
    return compareAll ? pickLeastLoaded(state, *nearest, now) : pickByTwoChoices(state, *nearest, now);
}

/// Returns a random pause of one to five times @p pause, so that refused callers don't all return in the same second.
/// Less jitter would have no effect, because the Retry-After header counts whole seconds.
std::chrono::milliseconds addJitter(routing_state &state, std::chrono::milliseconds pause)
{
    constexpr std::uint64_t maxJitterFactor = 4;
    const auto spread = nextRandom(state.randomState) % (maxJitterFactor * static_cast<std::uint64_t>(pause.count()));
    return pause + std::chrono::milliseconds(spread);
}

/// Ends a request that won't be sent again. It is refused if it certainly did not run; otherwise its outcome is
/// unknown.
void giveUp(routing_state &state, const routed_request &request, const std::string &reason, action_list &actions)
{
    if (request.mayHaveRun) {
        actions.emplace_back(report_unknown {request.id});
        return;
    }
    actions.emplace_back(refuse_request {request.id, reason, addJitter(state, minRetryAfter)});
}

/// Sends the request to an executor and moves it to the active ones. Returns false, with the request unchanged, if no
/// executor can take it.
bool dispatch(routing_state &state, routed_request &request, instant now, action_list &actions)
{
    auto *upstream = chooseUpstream(state, request, now);
    if (upstream == nullptr) {
        return false;
    }
    upstream->isProbing = upstream->isProbing || isProbeDue(*upstream, now);
    if (rankOf(state.settings, *upstream) == crossLinkRank) {
        refillLinkBudget(state, now);
        state.linkBudget -= state.bytesPerRequest;
    }
    ++upstream->inFlight;
    ++request.attempts;
    request.tried.insert(upstream->description.id);
    state.target[request.id] = upstream->description.id;
    actions.emplace_back(send_attempt {request.id, upstream->description.id});
    state.active.emplace(request.id, std::move(request));
    return true;
}

/// Returns whether any executor is neither leaving nor ejected. If there is none, a request that can't be sent at once
/// is given up instead of queued: leaving and ejected executors don't take queued requests when a slot becomes free.
bool hasWorkingUpstream(const routing_state &state)
{
    return std::ranges::any_of(state.upstreams | std::views::values, [&state](const upstream_record &upstream) {
        return !isLeaving(state, upstream) && upstream.ejections == 0;
    });
}

bool canBeServedInTime(const routing_state &state, const routed_request &request, instant now)
{
    if (!hasWorkingUpstream(state) || state.queue.size() >= state.settings.maxQueueLength) {
        return false;
    }
    // A quarter is added, because a request whose wait exceeds the estimate is refused only after it has waited.
    const auto paddedWait = expectedWait(state) * 5 / 4;
    return now + paddedWait + state.serviceTime <= request.deadline;
}

void admitRequest(routing_state &state, const request_arrived &message, instant now, action_list &actions)
{
    state.retryBudget = std::min(maxRetryBudget, state.retryBudget + state.settings.retryShare);
    routed_request request {message.id, message.deadline, message.isRepeatable};
    if (state.queue.empty() && dispatch(state, request, now, actions)) {
        return;
    }
    if (!canBeServedInTime(state, request, now)) {
        giveUp(state, request, "no executor can serve it in time", actions);
        return;
    }
    state.queue.push_back(std::move(request));
}

/// Ends all queued requests that can no longer be served before their deadlines, whatever their place in the queue.
void expireQueue(routing_state &state, instant now, action_list &actions)
{
    const auto isLate = [&state, now](const routed_request &request) {
        return now + state.serviceTime > request.deadline;
    };
    for (const auto &request : state.queue | std::views::filter(isLate)) {
        giveUp(state, request, "it can no longer be served before its deadline", actions);
    }
    std::erase_if(state.queue, isLate);
}

void dispatchQueue(routing_state &state, instant now, action_list &actions)
{
    while (!state.queue.empty()) {
        auto &next = state.queue.front();
        if (now + state.serviceTime > next.deadline) {
            giveUp(state, next, "it can no longer be served before its deadline", actions);
        } else if (!dispatch(state, next, now, actions)) {
            return;
        }
        state.queue.pop_front();
    }
}

void eject(const routing_settings &settings, upstream_record &upstream, instant now)
{
    constexpr std::int32_t maxDoublings = 10;
    const auto doublings = std::min(upstream.ejections, maxDoublings);
    const auto pause = std::min(settings.baseEjectionTime * (1 << doublings), settings.maxEjectionTime);
    ++upstream.ejections;
    upstream.ejectedUntil = now + pause;
    upstream.isProbing = false;
    upstream.failuresInRow = 0;
}

/// Counts consecutive failures, and ejects the executor or ends its ejection. A refusal by the executor counts as a
/// failure only if a probe is in flight.
void updateEjection(const routing_state &state, upstream_record &upstream, const attempt_finished &message, instant now)
{
    const auto isGood = message.result == attempt_result::answered;
    const auto isFault = message.result != attempt_result::notRun;
    if (isGood) {
        upstream.failuresInRow = 0;
        upstream.ejections = 0;
        upstream.isProbing = false;
        return;
    }
    if (!isFault && !upstream.isProbing) {
        return;
    }
    ++upstream.failuresInRow;
    if (upstream.isProbing || upstream.failuresInRow >= state.settings.failuresBeforeEjection) {
        eject(state.settings, upstream, now);
    }
}

std::chrono::microseconds smooth(std::chrono::microseconds old, std::chrono::microseconds sample, double weight)
{
    const auto mixed = static_cast<double>(old.count()) * (1 - weight) + static_cast<double>(sample.count()) * weight;
    return std::chrono::microseconds(std::llround(mixed));
}

/// Measures the interval between answers, because the queue can shrink only as fast as answers arrive. Intervals
/// without queued requests are left out, because then the rate depends on the callers.
void updateAnswerRate(routing_state &state, instant now)
{
    constexpr double weight = 0.02;
    constexpr std::chrono::microseconds maxInterval = 1s;
    const auto passed = std::chrono::duration_cast<std::chrono::microseconds>(now - state.lastAnswerAt);
    state.lastAnswerAt = now;
    if (state.queue.empty()) {
        return;
    }
    const auto sample = std::min(passed, maxInterval);
    state.answerInterval = state.answerInterval ? smooth(*state.answerInterval, sample, weight) : sample;
}

/// Corrects the link budget by the difference between expected and actual size, and updates the average size.
void updateLinkBudget(routing_state &state, const upstream_record &upstream, std::int64_t bytes)
{
    if (bytes == 0) {
        return;
    }
    const auto actual = static_cast<double>(bytes);
    if (rankOf(state.settings, upstream) == crossLinkRank) {
        state.linkBudget += state.bytesPerRequest - actual;
    }
    state.bytesPerRequest += (actual - state.bytesPerRequest) * smoothing;
}

void recordLeaving(routing_state &state, const upstream_id &upstream, instant now, action_list &actions)
{
    if (state.leavingSince.emplace(upstream, now).second) {
        actions.emplace_back(announce_leaving {upstream});
    }
}

void recordResult(routing_state &state, const attempt_finished &message, instant now, action_list &actions)
{
    const auto target = state.target.extract(message.id);
    const auto found = target ? state.upstreams.find(target.mapped()) : state.upstreams.end();
    if (message.result == attempt_result::answered) {
        state.serviceTime = smooth(state.serviceTime, message.took, smoothing);
        updateAnswerRate(state, now);
    }
    if (target && message.isLeaving) {
        recordLeaving(state, target.mapped(), now, actions);
    }
    if (found == state.upstreams.end()) {
        return;
    }
    auto &upstream = found->second;
    --upstream.inFlight;
    if (message.reportedLoad) {
        upstream.otherDaemonsLoad = std::max(0, *message.reportedLoad - upstream.inFlight);
        upstream.loadReportedAt = now;
        state.meanLoad += (*message.reportedLoad - state.meanLoad) * meanLoadSmoothing;
        state.loadReportedAt = now;
    }
    updateLinkBudget(state, upstream, message.bytes);
    updateEjection(state, upstream, message, now);
}

/// Returns whether the request may be sent again, and if so takes the retry from the budget.
bool takeRetry(routing_state &state, const routed_request &request, attempt_result result, instant now)
{
    const auto isSafe =
        request.isRepeatable || result == attempt_result::notRun || result == attempt_result::unreachable;
    if (!isSafe || request.attempts >= state.settings.maxAttemptsPerRequest || state.retryBudget < 1
        || now + state.serviceTime > request.deadline) {
        return false;
    }
    state.retryBudget -= 1;
    return true;
}

void finishAttempt(routing_state &state, const attempt_finished &message, instant now, action_list &actions)
{
    auto node = state.active.extract(message.id);
    recordResult(state, message, now, actions);
    if (!node || message.result == attempt_result::answered || message.hasAnswerBegun) {
        return;
    }
    auto &request = node.mapped();
    request.mayHaveRun =
        request.mayHaveRun || message.result == attempt_result::failed || message.result == attempt_result::lost;
    const auto canRetry = takeRetry(state, request, message.result, now);
    if (canRetry && dispatch(state, request, now, actions)) {
        return;
    }
    if (canRetry && message.result == attempt_result::notRun && canBeServedInTime(state, request, now)) {
        request.tried.clear();
        state.queue.push_front(std::move(request));
        return;
    }
    switch (message.result) {
    case attempt_result::notRun:
        giveUp(state, request, "the executors refused it", actions);
        return;
    case attempt_result::unreachable:
        giveUp(state, request, "the executors could not be reached", actions);
        return;
    case attempt_result::failed:
        actions.emplace_back(deliver_answer {message.id});
        return;
    case attempt_result::lost:
        actions.emplace_back(report_unknown {message.id});
        return;
    case attempt_result::answered:
        return;
    }
}

/**
 * Assigns each executor of the own region to one of the region's entry daemons. Executors and daemons are sorted by
 * failure domain, and each daemon owns a contiguous share of equal size, so that most executors of a share are in their
 * owner's failure domain. While daemons have different versions of the list, an executor may have several owners or
 * none; this only leads to more attempts that find an executor full.
 */
void assignOwners(routing_state &state, std::vector<entry_description> entries)
{
    const auto &settings = state.settings;
    std::erase_if(entries, [&settings](const entry_description &entry) { return entry.region != settings.region; });
    std::ranges::sort(entries, {},
                      [](const entry_description &entry) { return std::tie(entry.failureDomain, entry.address); });
    std::vector<upstream_record *> shared;
    for (auto &upstream : state.upstreams | std::views::values) {
        upstream.isOwned = false;
        upstream.hasOwner = !entries.empty();
        if (upstream.description.region == settings.region && !upstream.description.isLeaving) {
            shared.push_back(&upstream);
        }
    }
    std::ranges::sort(shared, {}, [](const upstream_record *upstream) {
        return std::tie(upstream->description.failureDomain, upstream->description.id);
    });
    for (std::size_t index = 0; index < shared.size() && !entries.empty(); ++index) {
        shared[index]->isOwned = entries[index * entries.size() / shared.size()].address == settings.address;
    }
}

/// Applies the VM list. An executor that announced its leaving gets requests again once the list first shows it as
/// leaving, or no longer shows it, and then shows it as active, which means that it was restarted under the same id.
/// The list lags, so a list that has shown it as active all along does not bring it back.
void updateUpstreams(routing_state &state, const upstreams_listed &message, instant now, action_list &actions)
{
    std::map<upstream_id, upstream_record> result;
    for (const auto &description : message.upstreams) {
        auto known = state.upstreams.extract(description.id);
        auto record = known ? known.mapped() : upstream_record {};
        const auto isBack = known && record.description.isLeaving && !description.isLeaving;
        if (isBack) {
            state.leavingSince.erase(description.id);
            record.failuresInRow = 0;
            record.ejections = 0;
            record.isProbing = false;
        }
        if (description.isLeaving) {
            recordLeaving(state, description.id, now, actions);
        }
        record.description = description;
        result.emplace(description.id, record);
    }
    for (auto &[id, unlisted] : state.upstreams) {
        state.leavingSince.erase(id);
        if (unlisted.inFlight > 0) {
            // The record is kept until its requests have ended, so that they are still counted if it is listed again.
            unlisted.description.isLeaving = true;
            result.emplace(id, unlisted);
        }
    }
    state.upstreams = std::move(result);
    assignOwners(state, message.entries);
}

/// Withdraws announcements that are older than the retention, unless the list shows the executor as leaving. An
/// executor that is still listed as active by then was restarted, so it becomes an ejected one that is due for a probe.
void expireLeaving(routing_state &state, instant now)
{
    for (auto each = state.leavingSince.begin(); each != state.leavingSince.end();) {
        const auto found = state.upstreams.find(each->first);
        const auto isListedLeaving = found != state.upstreams.end() && found->second.description.isLeaving;
        if (isListedLeaving || now < each->second + state.settings.leavingRetention) {
            ++each;
            continue;
        }
        if (found != state.upstreams.end()) {
            found->second.ejections = std::max(1, found->second.ejections);
            found->second.isProbing = false;
        }
        each = state.leavingSince.erase(each);
    }
}

struct message_handler
{
    routing_state &state;
    instant now;
    action_list &actions;

    void operator()(const upstreams_listed &message) const
    {
        updateUpstreams(state, message, now, actions);
    }

    void operator()(const upstream_leaving_reported &message) const
    {
        state.leavingSince.emplace(message.upstream, now);
    }

    void operator()(const request_arrived &message) const
    {
        admitRequest(state, message, now, actions);
    }

    void operator()(const attempt_finished &message) const
    {
        finishAttempt(state, message, now, actions);
    }

    void operator()(const routing_ticked & /*message*/) const
    {
        expireLeaving(state, now);
        expireQueue(state, now, actions);
    }
};

} // namespace

bool isLeaving(const routing_state &state, const upstream_record &upstream)
{
    return upstream.description.isLeaving || state.leavingSince.contains(upstream.description.id);
}

routing_state makeRouting(const routing_settings &settings)
{
    routing_state state;
    state.settings = settings;
    state.randomState = settings.seed;
    return state;
}

std::vector<routing_action> step(routing_state &state, const routing_message &message, instant now)
{
    action_list actions;
    std::visit(message_handler {state, now, actions}, message);
    dispatchQueue(state, now, actions);
    return actions;
}

} // namespace primrosecroft
