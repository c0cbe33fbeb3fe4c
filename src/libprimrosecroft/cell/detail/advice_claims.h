#pragma once

#include "cell/cell.h"

#include <map>

/**
 * What pending calls for advice are expected to use of the workers' free capacity. While a call is under way, other
 * steps ask about other workers: all would otherwise ask about those with the most room, which only the first gets.
 */
namespace primrosecroft::detail
{

/// Share of the worker's free capacity that no pending call of this priority, or of an earlier one, is expected to use.
double unclaimedShare(const worker_state &worker, std::int32_t priority);

/// Records that the step's call is expected to use these shares of the workers' free capacity. Replaces its earlier
/// ones.
void claim(cell_state &state, const step_ref &step, std::int32_t priority, std::map<worker_id, double> shares);

/// Called at the end of the step's call.
void releaseClaims(cell_state &state, const step_ref &step);

} // namespace primrosecroft::detail
