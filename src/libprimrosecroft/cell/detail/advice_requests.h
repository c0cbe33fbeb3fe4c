#pragma once

#include "cell/detail/cell_parts.h"
#include "cell/detail/usable_workers.h"

/// Requests to the advice service, and its answers.
namespace primrosecroft::detail
{

/// Why a step asks for advice.
enum class advice_purpose : std::uint8_t
{
    start, ///< workers have room for its tasks now
    ahead, ///< to know which workers are allowed when they get room
};

/// Requests tickets for the step's pending tasks if it has too few.
void requestAdvice(cell_state &state, usable_workers &usable, const waiting_step &waiting, advice_purpose purpose,
                   instant now, cell_actions &actions);

/// Requests tickets for steps whose predecessors are about to end, so that their tasks can start without delay.
void requestEarlyAdvice(cell_state &state, usable_workers &usable, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
