#pragma once

#include "cell/detail/waiting_step.h"

#include <map>
#include <optional>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

/// The workers that may take new tasks in one scheduling pass. The pass computes once, not for each step, what it needs
/// to know about them.
namespace primrosecroft::detail
{

/// A worker that may take new tasks, with the capacity that it has left for them.
struct usable_worker
{
    worker_state *worker = nullptr; ///< not null
    resources available; ///< capacity that is not reserved
    /// Processor time that is left if the best-effort tasks get what their steps ask for, although none is reserved for
    /// them. In thousandths of a core; negative if they ask for more than the other tasks leave.
    std::int64_t unclaimedCores = 0;
    bool hasLatencySensitive = false; ///< runs tasks that a best-effort task would slow down
    bool hasSurvivedAll = false; ///< it has survived all its runs, so a trial may begin there
    bool isInTrial = false; ///< it takes no tasks until it has survived one
};

/// Number of tasks of the step that the worker could take now. @p tasksOfStep is the number of the step's runs there,
/// which only counts for steps with a limit per worker.
std::int32_t capacityFor(const step_spec &spec, const usable_worker &worker, std::int32_t tasksOfStep);

/// The usable workers of a cell, each with a position. Positions are in the order of the workers' ids.
class usable_workers
{
public:
    using position = std::size_t;

    /// The workers that have the pool, failure domain and label which some steps require.
    struct group
    {
        std::vector<position> workers; ///< in ascending order
        std::vector<bool> isMember; ///< by position
        std::vector<step_spec> unmet; ///< steps of which no worker can take a task any more
    };

    usable_workers(cell_state &state, instant now);

    std::size_t size() const;
    const usable_worker &at(position worker) const;

    /// Returns std::nullopt if the worker isn't usable.
    std::optional<position> find(const worker_id &id) const;

    /// Returns the workers that may run the step, whatever their free capacity.
    group &groupOf(const waiting_step &waiting);

    /// Returns whether a worker of the group has capacity for a task of the step, without regard to its limit per
    /// worker. No capacity becomes free during a pass, so a need that isn't met is remembered.
    bool mayFit(group &workers, const step_spec &spec) const;

    /// Updates the free capacity of a worker after something was reserved there.
    void refresh(position worker);

    /// Number of the step's runs on each usable worker, by position.
    std::vector<std::int32_t> countRuns(const step_state &step) const;

private:
    std::vector<usable_worker> m_workers;
    std::unordered_map<std::string_view, position> m_positions;
    std::map<std::tuple<std::string_view, std::string_view, std::string_view>, group> m_groups;
};

} // namespace primrosecroft::detail
