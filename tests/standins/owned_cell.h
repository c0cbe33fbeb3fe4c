#pragma once

#include "cell/cell.h"

#include <string>
#include <variant>
#include <vector>

namespace primrosecroft
{

/// The scheduling core of an owner whose workers have answered, for tests that need neither a store nor a network.
class owned_cell
{
public:
    owned_cell();

    /// Adds a worker that has announced itself and answered its first list. Its rack is its last label.
    void addWorker(const worker_description &worker);
    static worker_description makeWorker(const worker_id &id, const std::string &rack, const resources &capacity);

    void addJob(const accepted_job &job);
    static accepted_job makeJob(const job_id &id, const std::vector<step_spec> &steps, std::int32_t priority = 0);

    /// Confirms the ownership, runs a scheduling pass and returns the starts that it sent, in order.
    std::vector<send_start> runSchedulingPass();

    /// Answers the pending commit, if there is one, as done.
    void confirmCommit();

    /// Answers a list of the worker with @p runs as running and @p ends as ended.
    void answerList(const worker_id &worker, const std::vector<listed_run> &runs,
                    const std::vector<listed_end> &ends = {}, worker_boot boot = 1);

    /// Advances the monotonic clock and the time of day.
    void advance(std::chrono::milliseconds time);

    cell_state state;
    instant now {std::chrono::hours(1)};
    std::chrono::milliseconds timeOfDay {1'700'000'000'000};
    std::int32_t adviceRoutes = 1; ///< processes that can call the advice service
    std::vector<cell_action> actions; ///< of the last scheduling pass and the messages after it

private:
    void apply(const cell_message &message);
    std::optional<std::uint64_t> m_pendingCommit;
};

/// Returns the actions of one type, in order.
template<typename action>
std::vector<action> actionsOf(const std::vector<cell_action> &actions)
{
    std::vector<action> result;
    for (const auto &each : actions) {
        if (const auto *found = std::get_if<action>(&each)) {
            result.push_back(*found);
        }
    }
    return result;
}

/// Returns the runs that the actions stop, in order.
std::vector<run_id> stopsIn(const std::vector<cell_action> &actions);

} // namespace primrosecroft
