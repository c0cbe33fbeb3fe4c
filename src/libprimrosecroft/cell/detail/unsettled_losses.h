#pragma once

#include "cell/detail/cell_parts.h"

/**
 * Losses of workers that fell silent until their leases had expired. Such a worker may have ended or be cut off; only
 * its next answer, or that of another worker at its address, tells. Until then the loss is kept, also by the next owner
 * and after the platform has dropped the worker's entry.
 */
namespace primrosecroft::detail
{

/// Keeps a loss of the task until it is settled.
void keepUnsettledLoss(cell_state &state, const task_ref &ref, const task_view &view, const unsettled_loss &loss,
                       instant now);

/// Counts of an earlier owner, with what was unsettled then.
loss_record restoredLosses(const lost_workers &counts, const std::vector<unsettled_loss> &unsettled);

/// Called for a job with stored progress, so that its unsettled losses are settled by the answers of their workers.
void awaitUnsettledLosses(cell_state &state, const job_state &job, instant now);

/// Called when a run of the task has passed a short trial, so that its losses soon after the start count as later ones.
void recountAsLater(loss_record &losses);

/// Called when a run of the task has lasted: losses later in its runs speak no more against it.
void dropLaterLosses(loss_record &losses);

/// Called when the worker has answered in its present boot, before that is recorded. Takes back the losses in the same
/// boot, since it was up. Those in another boot, and of other workers that had its address, are proven.
void settleLosses(cell_state &state, const worker_state &worker, instant now, cell_actions &actions);

/// Called when the worker has surely ended.
void proveLosses(cell_state &state, const worker_id &worker, instant now, cell_actions &actions);

} // namespace primrosecroft::detail
