#pragma once

#include "cell/detail/usable_workers.h"

#include <string>
#include <vector>

/// The workers that may take tasks of a step, and the choice between them.
namespace primrosecroft::detail
{

/// A worker that may take tasks of a step.
struct candidate
{
    usable_workers::position worker = 0;
    std::int32_t tasksOfStep = 0; ///< runs of the step there; counted only if needsRunCounts
    std::int32_t capacity = 0; ///< number of tasks of the step that the worker could take now
    double cost = 0; ///< the candidate with the lowest cost is chosen
};

/// The workers that may take tasks of a step at the present moment of a pass.
struct step_candidates
{
    std::vector<usable_workers::position> allowed; ///< all of them, also those without free capacity
    /// Those with free capacity; all of them if those without matter for the cost.
    std::vector<candidate> candidates;
    std::string rack; ///< preferred rack; empty for none
};

/// Returns whether the runs of the step on each worker matter for its placement.
bool needsRunCounts(const placement_policy &policy, const step_spec &spec);

/// Returns an empty list of candidates if none has free capacity.
step_candidates candidatesFor(const placement_policy &policy, usable_workers &usable, const waiting_step &waiting,
                              instant now);

/// Computes the preferred rack and the costs.
void rateCandidates(const placement_policy &policy, const usable_workers &usable, const waiting_step &waiting,
                    step_candidates &options);

/// Which candidates a task may go to.
enum class candidate_choice : std::uint8_t
{
    all,
    forTrial, ///< only workers that have survived all their runs, rather those with few of them
    isolated, ///< likewise, only workers on which nothing runs
};

/// Returns the candidate with the lowest cost that the task does not avoid and on which it does not run, or nullptr.
candidate *chooseCandidate(const usable_workers &usable, const task_state &task, std::vector<candidate> &candidates,
                           candidate_choice choice = candidate_choice::all);

/// Updates capacity and costs after a task of the step has started on the candidate @p target.
void updateAfterStart(const placement_policy &policy, usable_workers &usable, const waiting_step &waiting,
                      step_candidates &options, candidate &target);

} // namespace primrosecroft::detail
