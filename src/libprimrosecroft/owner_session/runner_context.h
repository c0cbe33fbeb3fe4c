#pragma once

#include "cell/cell.h"
#include "core/clock.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_session/session_guard.h"
#include "store/monitored_store.h"

#include <functional>
#include <vector>

namespace primrosecroft
{

/// What the parts of a cell_runner share during one ownership.
struct runner_context
{
    /// Passes a message to the core.
    void apply(const cell_message &message) const
    {
        step(state, message, bootNow(), actions);
    }

    monitored_store &rows;
    decision_log &log;
    metrics &measures;
    const session_guard &guard;
    cell_state &state;
    std::vector<cell_action> &actions; ///< requested by the core and not carried out yet
    std::function<void()> requestPass; ///< schedules a pass that handles the messages of some milliseconds together
};

} // namespace primrosecroft
