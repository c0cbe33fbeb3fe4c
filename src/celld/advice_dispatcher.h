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
    using advice_route =
        std::function<void(const ask_advice &request, std::chrono::milliseconds timeout, answer_handler)>;

    /// Sets the daemons that can ask now. One that has gone keeps what it was given until that is answered.
    void setRoutes(std::map<process_id, advice_route> routes);

    std::int32_t routeCount() const;

    /// Gives the question to the daemon that will be free first.
    void ask(const ask_advice &request, instant now, answer_handler done);

private:
    std::map<process_id, advice_route> m_routes;
    std::map<process_id, instant> m_freeAt;
};

} // namespace primrosecroft
