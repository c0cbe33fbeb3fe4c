#include "advice_dispatcher.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto networkMargin = 700ms; ///< added to the expected time of the answer for both ways over the network

} // namespace

void advice_dispatcher::setRoutes(std::map<process_id, advice_route> routes)
{
    m_routes = std::move(routes);
    const auto isGone = [this](const auto &each) { return !m_routes.contains(each.first); };
    std::erase_if(m_freeAt, isGone);
    std::erase_if(m_issuedAt, isGone);
    std::erase_if(m_lastAnswered, isGone);
}

std::int32_t advice_dispatcher::routeCount() const
{
    return static_cast<std::int32_t>(m_routes.size());
}

void advice_dispatcher::ask(const ask_advice &request, instant now, answer_handler done)
{
    if (m_routes.empty()) {
        done({request.step, request.workers, false, {}, 0ms, request.isCostly});
        return;
    }
    const auto earliest =
        std::ranges::min_element(m_routes, {}, [&](const auto &each) { return std::max(now, m_freeAt[each.first]); });
    auto &freeAt = m_freeAt[earliest->first];
    freeAt = std::max(now, freeAt) + request.cost;
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(freeAt - now) + networkMargin;
    earliest->second(request, timeout,
                     [this, name = earliest->first, number = ++m_lastCall, timeout, isCostly = request.isCostly,
                      sentAt = now, cost = request.cost, done = std::move(done)](advice_answered answer) {
                         answer.isCostly = isCostly;
                         if (answer.isAnswered) {
                             answer.issuedAt = issuedSince(name, number, sentAt, cost);
                         }
                         if (!answer.isAnswered && m_freeAt.contains(name)) {
                             // Prefers the other daemons, since this one may not answer the next request either.
                             m_freeAt[name] += timeout;
                         }
                         done(std::move(answer));
                     });
}

instant advice_dispatcher::issuedSince(const process_id &route, std::uint64_t number, instant sentAt, duration cost)
{
    auto &lastAnswered = m_lastAnswered[route];
    if (number < lastAnswered) {
        return sentAt + cost; // overtaken by a later call's answer, so it may have been issued before that one
    }
    lastAnswered = number;
    auto &issuedAt = m_issuedAt[route];
    issuedAt = std::max(issuedAt, sentAt) + cost;
    return issuedAt;
}

} // namespace primrosecroft
