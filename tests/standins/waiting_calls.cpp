#include "waiting_calls.h"

#include <iterator>
#include <utility>

namespace primrosecroft::standins
{

void waiting_calls::add(std::shared_ptr<http_request> request, instant until, answer_source answer)
{
    m_calls.push_back({until, [request = std::move(request), answer = std::move(answer)](bool isDue) {
                           const auto response = answer(isDue);
                           if (response) {
                               request->answer(*response);
                           }
                           return response.has_value();
                       }});
}

void waiting_calls::add(instant until, std::function<void()> action)
{
    m_calls.push_back({until, [action = std::move(action)](bool isDue) {
                           if (isDue) {
                               action();
                           }
                           return isDue;
                       }});
}

void waiting_calls::addPolled(std::function<bool()> poll)
{
    m_calls.push_back({instant {}, [poll = std::move(poll)](bool /*isDue*/) { return poll(); }});
}

void waiting_calls::serve(instant now)
{
    auto calls = std::exchange(m_calls, {}); // an action may add further calls
    std::erase_if(calls, [now](const waiting_call &call) { return call.serve(now >= call.until); });
    calls.insert(calls.end(), std::make_move_iterator(m_calls.begin()), std::make_move_iterator(m_calls.end()));
    m_calls = std::move(calls);
}

} // namespace primrosecroft::standins
