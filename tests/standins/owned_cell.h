#pragma once

#include "cell/cell.h"

#include <string>
#include <vector>

namespace primrosecroft
{

/// One owner's core with workers that are in touch, for scenes that need neither store nor network.
class owned_cell
{
public:
    owned_cell();

    /// A worker that has announced itself and answered its first list. Its rack is the last label.
    void addWorker(const worker_description &worker);
    static worker_description makeWorker(const worker_id &id, const std::string &rack, const resources &capacity);

    void addJob(const accepted_job &job);
    static accepted_job makeJob(const job_id &id, const std::vector<step_spec> &steps, std::int32_t priority = 0);

    /// Lets the core act; returns the starts that it sent, in their order.
    std::vector<send_start> runSchedulingPass();

    /// Answers the commit under way, if there is one, as stored.
    void confirmCommit();

    /// Lists @p runs as running there, and @p ends as ended.
    void answerList(const worker_id &worker, const std::vector<listed_run> &runs,
                    const std::vector<listed_end> &ends = {}, worker_boot boot = 1);

    void advance(std::chrono::milliseconds time);

    cell_state state;
    instant now {std::chrono::hours(1)};
    std::chrono::milliseconds timeOfDay {1'700'000'000'000};
    std::vector<cell_action> actions; ///< of the last settle()

private:
    void apply(const cell_message &message);
    std::optional<std::uint64_t> m_pendingCommit;
};

} // namespace primrosecroft
