#pragma once

#include "cell/cell_messages.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace primrosecroft
{

/**
 * Spreads calls for advice over the daemons: the service answers one call at a time for each
 * machine that calls, so the owner's own calls alone would be too slow.
 */
class advice_dispatcher
{
public:
    using answer_handler = std::function<void(advice_answered)>;
    using asker = std::function<void(const ask_advice &question, std::chrono::milliseconds patience, answer_handler)>;

    /// Sets the daemons that can ask now. One that has gone keeps what it was given until that is answered.
    void setAskers(std::map<process_id, asker> askers);

    std::int32_t askers() const;

    /// Gives the question to the daemon that will be free first.
    void ask(const ask_advice &question, instant now, answer_handler done);

private:
    std::map<process_id, asker> m_askers;
    std::map<process_id, instant> m_freeAt;
};

} // namespace primrosecroft
