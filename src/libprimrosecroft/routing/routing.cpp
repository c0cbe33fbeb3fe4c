#include "routing/routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <ranges>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

using action_list = std::vector<routing_action>;

constexpr double largestRetryBudget = 20;
constexpr double smoothing = 0.1;
constexpr auto shortestRetryAfter = 1000ms;

/// SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014).
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    auto value = state;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

bool isLeaving(const upstream_record &upstream)
{
    return upstream.leaving || upstream.description.leaving;
}

bool isProbeDue(const upstream_record &upstream, instant now)
{
    return upstream.ejections > 0 && !upstream.probing && now >= upstream.ejectedUntil;
}

/// What the executor is believed to have in hand: its own word while fresh, and never less than ours.
std::int32_t believedLoad(const routing_state &state, const upstream_record &upstream, instant now)
{
    const auto isFresh = now < upstream.loadReportedAt + state.settings.loadMemory;
    return isFresh ? std::max(upstream.inFlight, upstream.reportedLoad) : upstream.inFlight;
}

bool isUsable(const routing_state &state, const upstream_record &upstream, instant now)
{
    if (isLeaving(upstream) || now < upstream.ejectedUntil) {
        return false;
    }
    if (upstream.ejections > 0 && !isProbeDue(upstream, now)) {
        return false;
    }
    return upstream.inFlight < state.settings.slotsPerDaemon
        && believedLoad(state, upstream, now) < state.settings.slotsPerUpstream;
}

/// Nearness of an upstream: own failure domain, own region, across the link.
std::size_t distance(const routing_settings &settings, const upstream_description &upstream)
{
    if (upstream.failureDomain == settings.failureDomain) {
        return 0;
    }
    return upstream.region == settings.region ? 1 : 2;
}

/// Power of two choices on the believed load (Mitzenmacher, 2001).
upstream_record *pickOfTwo(routing_state &state, const std::vector<upstream_record *> &usable, instant now)
{
    auto *first = usable.at(nextRandom(state.randomState) % usable.size());
    auto *second = usable.at(nextRandom(state.randomState) % usable.size());
    return believedLoad(state, *second, now) < believedLoad(state, *first, now) ? second : first;
}

upstream_record *chooseUpstream(routing_state &state, const routed_request &request, instant now)
{
    std::array<std::vector<upstream_record *>, 3> byDistance;
    for (auto &upstream : state.upstreams | std::views::values) {
        if (isUsable(state, upstream, now) && !request.tried.contains(upstream.description.id)) {
            byDistance.at(distance(state.settings, upstream.description)).push_back(&upstream);
        }
    }
    const auto nearest = std::ranges::find_if_not(byDistance, &std::vector<upstream_record *>::empty);
    return nearest == byDistance.end() ? nullptr : pickOfTwo(state, *nearest, now);
}

/// Spread over one to two times the pause, so that refused callers don't return together.
std::chrono::milliseconds spreadPause(routing_state &state, std::chrono::milliseconds pause)
{
    const auto spread = nextRandom(state.randomState) % static_cast<std::uint64_t>(pause.count());
    return pause + std::chrono::milliseconds(spread);
}

void refuse(routing_state &state, std::uint64_t id, const std::string &reason, action_list &actions)
{
    actions.emplace_back(refuse_request {id, reason, spreadPause(state, shortestRetryAfter)});
}

bool dispatch(routing_state &state, routed_request &request, instant now, action_list &actions)
{
    auto *upstream = chooseUpstream(state, request, now);
    if (upstream == nullptr) {
        return false;
    }
    upstream->probing = upstream->probing || isProbeDue(*upstream, now);
    ++upstream->inFlight;
    ++request.attempts;
    request.tried.insert(upstream->description.id);
    state.target[request.id] = upstream->description.id;
    actions.emplace_back(send_attempt {request.id, upstream->description.id});
    state.active.emplace(request.id, std::move(request));
    return true;
}

/// Slots that this daemon may fill, in upstreams that take work.
std::int32_t usableSlots(const routing_state &state, instant now)
{
    std::int32_t slots = 0;
    for (const auto &upstream : state.upstreams | std::views::values) {
        if (!isLeaving(upstream) && now >= upstream.ejectedUntil) {
            slots += std::min(state.settings.slotsPerDaemon, state.settings.slotsPerUpstream);
        }
    }
    return slots;
}

bool canBeServedInTime(const routing_state &state, const routed_request &request, instant now)
{
    const auto slots = usableSlots(state, now);
    if (slots == 0 || state.queue.size() >= state.settings.longestQueue) {
        return false;
    }
    const auto ahead = static_cast<double>(state.queue.size() + 1) / slots;
    const auto wait = std::chrono::duration_cast<duration>(state.serviceTime * ahead);
    return now + wait + state.serviceTime <= request.deadline;
}

void arrive(routing_state &state, const request_arrived &message, instant now, action_list &actions)
{
    state.retryBudget = std::min(largestRetryBudget, state.retryBudget + state.settings.retryShare);
    routed_request request {message.id, message.deadline, message.repeatable, 0, {}};
    if (state.queue.empty() && dispatch(state, request, now, actions)) {
        return;
    }
    if (!canBeServedInTime(state, request, now)) {
        refuse(state, request.id, "no executor can serve it in time", actions);
        return;
    }
    state.queue.push_back(std::move(request));
}

void drainQueue(routing_state &state, instant now, action_list &actions)
{
    while (!state.queue.empty()) {
        auto &next = state.queue.front();
        if (now + state.serviceTime > next.deadline) {
            refuse(state, next.id, "its deadline comes first", actions);
        } else if (!dispatch(state, next, now, actions)) {
            return;
        }
        state.queue.pop_front();
    }
}

void eject(const routing_settings &settings, upstream_record &upstream, instant now)
{
    constexpr std::int32_t mostDoublings = 10;
    const auto doublings = std::min(upstream.ejections, mostDoublings);
    const auto pause = std::min(settings.ejectionTime * (1 << doublings), settings.longestEjection);
    ++upstream.ejections;
    upstream.ejectedUntil = now + pause;
    upstream.probing = false;
    upstream.failuresInRow = 0;
}

void noteHealth(const routing_state &state, upstream_record &upstream, const attempt_finished &message, instant now)
{
    const auto isGood = message.result == attempt_result::answered;
    const auto isFault = message.result == attempt_result::failed || message.result == attempt_result::lost;
    if (isGood) {
        upstream.failuresInRow = 0;
        upstream.ejections = 0;
        upstream.probing = false;
        return;
    }
    if (!isFault && !upstream.probing) {
        return;
    }
    ++upstream.failuresInRow;
    if (upstream.probing || upstream.failuresInRow >= state.settings.failuresBeforeEjection) {
        eject(state.settings, upstream, now);
    }
}

void noteAnswer(routing_state &state, const attempt_finished &message, instant now, action_list &actions)
{
    const auto target = state.target.extract(message.id);
    const auto found = target ? state.upstreams.find(target.mapped()) : state.upstreams.end();
    if (message.result == attempt_result::answered) {
        const auto took = static_cast<double>(message.took.count());
        const auto smoothed = static_cast<double>(state.serviceTime.count()) * (1 - smoothing) + took * smoothing;
        state.serviceTime = std::chrono::microseconds(std::llround(smoothed));
    }
    if (found == state.upstreams.end()) {
        return;
    }
    auto &upstream = found->second;
    --upstream.inFlight;
    if (message.reportedLoad) {
        upstream.reportedLoad = *message.reportedLoad;
        upstream.loadReportedAt = now;
    }
    if (message.leaving && !upstream.leaving) {
        upstream.leaving = true;
        actions.emplace_back(spread_leaving {upstream.description.id});
    }
    noteHealth(state, upstream, message, now);
}

bool mayTryAgain(routing_state &state, const routed_request &request, attempt_result result, instant now)
{
    const auto isSafe = request.repeatable || result == attempt_result::notRun;
    if (!isSafe || request.attempts >= state.settings.mostAttempts || state.retryBudget < 1
        || now + state.serviceTime > request.deadline) {
        return false;
    }
    state.retryBudget -= 1;
    return true;
}

void finish(routing_state &state, const attempt_finished &message, instant now, action_list &actions)
{
    auto node = state.active.extract(message.id);
    noteAnswer(state, message, now, actions);
    if (!node || message.result == attempt_result::answered || message.answerBegun) {
        return;
    }
    auto &request = node.mapped();
    const auto goesOn = mayTryAgain(state, request, message.result, now) && dispatch(state, request, now, actions);
    if (goesOn) {
        return;
    }
    switch (message.result) {
    case attempt_result::notRun:
        refuse(state, message.id, "the executors refused it", actions);
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

void listUpstreams(routing_state &state, const upstreams_listed &message)
{
    std::map<upstream_id, upstream_record> result;
    for (const auto &description : message.upstreams) {
        auto known = state.upstreams.extract(description.id);
        auto record = known ? known.mapped() : upstream_record {};
        record.description = description;
        result.emplace(description.id, record);
    }
    state.upstreams = std::move(result);
}

struct message_handler
{
    routing_state &state;
    instant now;
    action_list &actions;

    void operator()(const upstreams_listed &message) const
    {
        listUpstreams(state, message);
    }

    void operator()(const upstream_left &message) const
    {
        const auto found = state.upstreams.find(message.upstream);
        if (found != state.upstreams.end()) {
            found->second.leaving = true;
        }
    }

    void operator()(const request_arrived &message) const
    {
        arrive(state, message, now, actions);
    }

    void operator()(const attempt_finished &message) const
    {
        finish(state, message, now, actions);
    }

    void operator()(const routing_ticked & /*message*/) const
    {
    }
};

} // namespace

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
    drainQueue(state, now, actions);
    return actions;
}

} // namespace primrosecroft
