#pragma once

#include "cell/detail/cell_parts.h"

/// Gangs that lack members. The members of a gang work only together, and a worker ends one that has waited for the
/// others for too long. So a gang is stopped as a whole once one of its members can't be expected to run.
namespace primrosecroft::detail
{

/// Stops all members of the gang. @p member is the one that doesn't run.
void stopGang(cell_state &state, const task_ref &member, step_state &step, instant now, cell_actions &actions);

/// Stops the gangs of which a member has no run, or none that has begun in time, while others have.
void stopIncompleteGangs(cell_state &state, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
