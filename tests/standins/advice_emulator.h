#pragma once

#include "cell/cell_messages.h"
#include "core/types.h"

#include <map>
#include <random>
#include <set>
#include <string>

namespace primrosecroft
{

struct advice_emulator_settings
{
    std::uint64_t seed = 1;
    double allowedShare = 0.6; ///< share of the workers that may run a step
    double unansweredShare = 0.1; ///< of the calls; the call of a step after an unanswered one is always answered
    std::chrono::milliseconds margin {700}; ///< beyond its cost, after which a process gives up an unanswered call
};

/**
 * Emulates the platform's advice service: it decides which workers may run a step, gives tickets that expire, and
 * leaves some calls unanswered. It reads no clock; its user carries out the delay of each answer.
 */
class advice_emulator
{
public:
    explicit advice_emulator(const advice_emulator_settings &settings);

    /// Returns whether the worker may run the step, which never changes.
    bool isAllowed(const step_ref &step, const worker_id &worker) const;

    /// An answer and the time after which it is due.
    struct delayed_answer
    {
        advice_answered answer;
        std::chrono::milliseconds delay {0};
    };

    /// Answers a call that is made at time @p now, with tickets that are valid for @p valid.
    delayed_answer ask(const ask_advice &request, std::chrono::milliseconds valid, instant now);

    /// Returns whether a worker accepts the ticket for the step at time @p now.
    bool accepts(const step_ref &step, const worker_id &worker, const std::string &ticket, instant now) const;

private:
    struct issued_ticket
    {
        step_ref step;
        worker_id worker;
        instant validUntil;
    };

    advice_emulator_settings m_settings;
    std::mt19937_64 m_random;
    std::set<step_ref> m_unanswered; ///< steps whose last call got no answer
    std::map<std::string, issued_ticket> m_tickets;
};

} // namespace primrosecroft
