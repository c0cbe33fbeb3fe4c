#pragma once

#include "cell/detail/candidates.h"
#include "cell/detail/cell_parts.h"

/// Placement of gangs, whose members all start in the same pass or not at all.
namespace primrosecroft::detail
{

/// Starts all members of the gang at once, or none. Those that may crash their workers start in trials. @p options are
/// the workers that may take members.
void placeGang(cell_state &state, usable_workers &usable, const waiting_step &waiting, step_candidates &options,
               instant now, cell_actions &actions);

} // namespace primrosecroft::detail
