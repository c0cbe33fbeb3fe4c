#include "advice_dispatcher.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <vector>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto networkMargin = 700ms; ///< added to the expected time of the answer for both ways over the network

/// One in so many daemons counts even if fewer are believed. Calls that are lost through more than half of them tell of
/// the service rather than of the daemons, and fewer calls would then only get fewer answers.
constexpr std::ptrdiff_t routesForEachLeast = 2;

/// Hedges, and trials, for each ask. The service answers one call at a time for each machine, so in a backlog each
/// second call delays another one.
constexpr double secondCallShare = 0.25;
constexpr double maxSecondCalls = 8; ///< of either kind that may be made at once

} // namespace

advice_dispatcher::advice_dispatcher(std::function<instant()> clock,
                                     std::function<void(const advice_call_report &)> report)
    : m_clock(std::move(clock))
    , m_report(std::move(report))
    , m_hedges(maxSecondCalls)
    , m_trials(maxSecondCalls)
{
}

void advice_dispatcher::setRoutes(std::map<process_id, advice_route> routes)
{
    m_routes = std::move(routes);
    for (const auto &[name, route] : m_routes) {
        m_evidence.try_emplace(name, untestedRoute(route.expectedDelay));
    }
    // A daemon that comes back after a failure isn't believed at once, so its evidence outlasts its absence.
    std::erase_if(m_evidence, [this, now = m_clock()](const auto &each) {
        const auto &[name, evidence] = each;
        return !m_routes.contains(name) && evidence.openCalls == 0 && evidence.pausedUntil <= now;
    });
}

std::int32_t advice_dispatcher::routeCount() const
{
    const auto believed = std::ranges::count_if(
        m_routes, [this, now = m_clock()](const auto &each) { return isBelieved(m_evidence.at(each.first), now); });
    const auto least = std::max<std::ptrdiff_t>(1, std::ssize(m_routes) / routesForEachLeast);
    return static_cast<std::int32_t>(std::max(least, believed));
}

void advice_dispatcher::ask(const ask_advice &request, answer_handler done)
{
    const auto best = bestRoute([](const process_id &) { return true; });
    if (!best) {
        done({request.step, request.workers, false, {}, 0ms, request.isCostly});
        return;
    }
    m_hedges = std::min(maxSecondCalls, m_hedges + secondCallShare);
    m_trials = std::min(maxSecondCalls, m_trials + secondCallShare);
    send(std::make_shared<question>(question {request, std::move(done)}), *best, advice_call_kind::first);
}

void advice_dispatcher::hedgeLateCalls()
{
    std::vector<open_call> late;
    for (auto &[number, call] : m_openCalls) {
        if (m_clock() < call.lateAt) {
            continue;
        }
        if (!std::exchange(call.isLate, true)) {
            ++evidenceOf(call.route).lateCalls;
        }
        if (!call.asked->hasSecondCall) {
            late.push_back(call);
        }
    }
    std::ranges::for_each(late, [this](const open_call &call) { hedge(call); });
}

advice_route_evidence &advice_dispatcher::evidenceOf(const process_id &route)
{
    return m_evidence.at(route);
}

std::optional<process_id> advice_dispatcher::bestRoute(const std::function<bool(const process_id &)> &isCandidate)
{
    auto candidates = m_routes | std::views::keys | std::views::filter(isCandidate);
    const auto isBetter = [this, now = m_clock()](const process_id &left, const process_id &right) {
        return isBetterRoute(evidenceOf(left), evidenceOf(right), now);
    };
    const auto best = std::ranges::min_element(candidates, isBetter);
    return best == candidates.end() ? std::nullopt : std::optional(*best);
}

void advice_dispatcher::send(const std::shared_ptr<question> &asked, const process_id &route, advice_call_kind kind)
{
    const auto now = m_clock();
    auto &evidence = evidenceOf(route);
    evidence.freeAt = std::max(now, evidence.freeAt) + asked->request.cost;
    ++evidence.openCalls;
    ++asked->openCalls;
    const auto number = ++m_lastCall;
    const auto lateAt = evidence.freeAt + patienceWith(evidence);
    m_openCalls.emplace(number, open_call {number, route, asked, kind, now, evidence.freeAt, lateAt});
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(evidence.freeAt - now) + networkMargin;
    const auto call = m_routes.at(route).call; // the routes may change during the call
    call(asked->request, timeout, [this, number](advice_answered answer) { finish(number, std::move(answer)); });
}

void advice_dispatcher::finish(std::uint64_t number, advice_answered answer)
{
    const auto ended = m_openCalls.extract(number);
    if (ended.empty()) {
        return;
    }
    const auto &call = ended.mapped();
    const auto asked = call.asked;
    const bool isAnswered = answer.isAnswered;
    endCall(call, answer);
    if (asked->done && (isAnswered || asked->openCalls == 0)) {
        std::exchange(asked->done, nullptr)(std::move(answer));
    }
    if (isAnswered && !asked->hasSecondCall) {
        tryRoute(asked);
    }
}

void advice_dispatcher::endCall(const open_call &call, advice_answered &answer)
{
    const auto now = m_clock();
    auto &evidence = evidenceOf(call.route);
    --call.asked->openCalls;
    --evidence.openCalls;
    evidence.lateCalls -= call.isLate ? 1 : 0;
    if (evidence.openCalls == 0) {
        evidence.freeAt = now;
    }
    const auto &request = call.asked->request;
    answer.isCostly = request.isCostly;
    if (answer.isAnswered) {
        noteAnswer(evidence, now - call.expectedAt);
        answer.issuedAt = issuedSince(evidence, call.number, call.sentAt, request.cost);
    } else {
        noteFailure(evidence, now);
    }
    m_report({call.route, request.step, call.kind, answer.isAnswered, call.asked->isHedged,
              std::chrono::duration_cast<std::chrono::milliseconds>(now - call.sentAt)});
}

void advice_dispatcher::hedge(const open_call &late)
{
    const auto givenUpAt = late.expectedAt + networkMargin;
    const auto isCandidate = [this, &late, givenUpAt](const process_id &route) {
        const auto &evidence = evidenceOf(route);
        return route != late.route && evidence.failures == 0 && evidence.lateCalls == 0 && evidence.freeAt < givenUpAt;
    };
    const auto other = bestRoute(isCandidate);
    if (!other || m_hedges < 1) {
        return;
    }
    m_hedges -= 1;
    late.asked->hasSecondCall = true;
    late.asked->isHedged = true;
    send(late.asked, *other, advice_call_kind::hedge);
}

void advice_dispatcher::tryRoute(const std::shared_ptr<question> &answered)
{
    const auto isDue = [this, now = m_clock()](const process_id &route) {
        return isDueForTrial(evidenceOf(route), now);
    };
    auto due = m_routes | std::views::keys | std::views::filter(isDue);
    const auto pauseEnd = [this](const process_id &route) { return evidenceOf(route).pausedUntil; };
    const auto longestDue = std::ranges::min_element(due, {}, pauseEnd);
    if (longestDue == due.end() || m_trials < 1) {
        return;
    }
    m_trials -= 1;
    answered->hasSecondCall = true;
    send(answered, process_id(*longestDue), advice_call_kind::trial);
}

} // namespace primrosecroft
