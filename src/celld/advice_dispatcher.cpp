#include "advice_dispatcher.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto wayMargin = 700ms; ///< for the ways there and back, beside the time of the answer itself

} // namespace

void advice_dispatcher::setAskers(std::map<process_id, asker> askers)
{
    m_askers = std::move(askers);
    std::erase_if(m_freeAt, [this](const auto &each) { return !m_askers.contains(each.first); });
}

std::int32_t advice_dispatcher::askers() const
{
    return static_cast<std::int32_t>(m_askers.size());
}

void advice_dispatcher::ask(const ask_advice &question, instant now, answer_handler done)
{
    if (m_askers.empty()) {
        done({question.step, question.workers, false, {}, 0ms, question.isCostly});
        return;
    }
    const auto first =
        std::ranges::min_element(m_askers, {}, [&](const auto &each) { return std::max(now, m_freeAt[each.first]); });
    auto &freeAt = m_freeAt[first->first];
    freeAt = std::max(now, freeAt) + question.cost;
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(freeAt - now) + wayMargin;
    first->second(question, patience,
                  [this, name = first->first, patience, isCostly = question.isCostly,
                   done = std::move(done)](advice_answered answer) {
                      answer.isCostly = isCostly;
                      if (!answer.answered && m_freeAt.contains(name)) {
                          m_freeAt[name] += patience; // others first, until it has shown that it answers
                      }
                      done(std::move(answer));
                  });
}

} // namespace primrosecroft
