#include "advice_emulator.h"

#include <functional>

namespace primrosecroft
{

advice_emulator::advice_emulator(const advice_emulator_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed + 2'000'003) // other numbers than those of the faults of the same seed
{
}

bool advice_emulator::isAllowed(const step_ref &step, const worker_id &worker) const
{
    const std::hash<std::string> hash;
    std::seed_seq key {static_cast<std::size_t>(m_settings.seed), hash(step.job), static_cast<std::size_t>(step.step),
                       hash(worker)};
    std::minstd_rand draw(key);
    return std::uniform_real_distribution<double>(0, 1)(draw) < m_settings.allowedShare;
}

advice_emulator::delayed_answer advice_emulator::ask(const ask_advice &request, std::chrono::milliseconds valid,
                                                     instant now)
{
    delayed_answer result;
    result.answer.step = request.step;
    result.answer.asked = request.workers;
    result.answer.isCostly = request.isCostly;
    result.answer.issuedAt = now;
    result.delay = std::chrono::ceil<std::chrono::milliseconds>(request.cost);
    const bool mayLeaveUnanswered = m_unanswered.erase(request.step) == 0;
    if (mayLeaveUnanswered && std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.unansweredShare) {
        m_unanswered.insert(request.step);
        result.delay += m_settings.margin;
        return result;
    }
    result.answer.isAnswered = true;
    result.answer.valid = valid;
    for (const auto &worker : request.workers) {
        if (isAllowed(request.step, worker)) {
            const auto ticket = "ticket" + std::to_string(m_tickets.size());
            m_tickets[ticket] = {request.step, worker, now + valid};
            result.answer.allowed.push_back({worker, ticket});
        }
    }
    return result;
}

bool advice_emulator::accepts(const step_ref &step, const worker_id &worker, const std::string &ticket,
                              instant now) const
{
    const auto found = m_tickets.find(ticket);
    return found != m_tickets.end() && found->second.step == step && found->second.worker == worker
        && now < found->second.validUntil;
}

} // namespace primrosecroft
