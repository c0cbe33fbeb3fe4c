#pragma once

#include "cell/detail/cell_parts.h"
#include "cell/detail/usable_workers.h"

/// Requests to the advice service, and its answers.
namespace primrosecroft::detail
{

/// Requests tickets for the step's pending tasks if it has too few. @p mayAskWithoutCapacity allows costly calls to
/// name workers without free capacity.
void requestAdvice(cell_state &state, usable_workers &usable, const waiting_step &waiting, bool mayAskWithoutCapacity,
                   instant now, cell_actions &actions);

/// Requests tickets for steps whose predecessors are about to end, so that their tasks can start without delay.
void requestEarlyAdvice(cell_state &state, usable_workers &usable, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
