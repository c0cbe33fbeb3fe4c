#include "advice_server.h"

#include "core/clock.h"
#include "store_server.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace primrosecroft::standins
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto adviceDelay = 20ms;

} // namespace

advice_server::advice_server(waiting_calls &calls)
    : m_waiting(calls)
{
}

void advice_server::serve(const std::shared_ptr<http_request> &request)
{
    const auto body = json::parse(request->body());
    auto allowed = json::array();
    for (const auto &worker : body.at("workers")) {
        const auto name = worker.get<std::string>();
        if (std::hash<std::string> {}(name) % 3 != 0) {
            const auto ticket = "t" + std::to_string(m_tickets.size() + 1);
            m_tickets.insert(ticket);
            allowed.push_back({name, ticket});
        }
    }
    ++m_calls;
    const auto answer = jsonAnswer(statusOk, json {{"allowed", allowed}, {"validMs", ticketValidity.count()}}.dump());
    m_waiting.add(bootNow() + adviceDelay, [request, answer] { request->answer(answer); });
}

bool advice_server::hasIssued(const std::string &ticket) const
{
    return m_tickets.contains(ticket);
}

int advice_server::calls() const
{
    return m_calls;
}

} // namespace primrosecroft::standins
