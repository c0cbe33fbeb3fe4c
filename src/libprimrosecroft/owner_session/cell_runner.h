#pragma once

#include "cell/cell.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_session/acceptance_batcher.h"
#include "owner_session/worker_feed.h"
#include "owner_session/worker_gateway.h"
#include "store/monitored_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Calls by which cell_runner uses the rest of its process.
struct runner_links
{
    std::function<void(const ask_advice &request, std::function<void(advice_answered)> done)> askAdvice;
    std::function<std::int32_t()> adviceRoutes; ///< number of processes that can call the advice service
    /// May be called from within a function of the runner, so the runner's end() must not be called before it returns.
    std::function<void(const std::string &reason)> ownershipLost;
};

/**
 * Runs the cell's core while this process owns the shard: loads the stored state, passes answers
 * and changes to the core, and carries out the actions that the core requests.
 */
class cell_runner
{
public:
    cell_runner(monitored_store &rows, worker_gateway &workers, worker_source source, runner_links links,
                const cell_settings &settings, decision_log &log, metrics &measures);
    ~cell_runner();
    cell_runner(const cell_runner &) = delete;
    cell_runner &operator=(const cell_runner &) = delete;

    /// Begins an ownership that the store has just confirmed by its answer to a call sent at @p confirmedAt.
    void begin(row_version token, std::int64_t term, instant confirmedAt);

    /// Ends the ownership. No order and no write is sent after this.
    void end();

    /// Passes the workspaces of a configuration that has come into force to the core, also for later ownerships.
    void setWorkspaces(workspace_policies workspaces);

    /// True once the stored state has been loaded.
    bool isServing() const;

    /// Handles the notice that a job was accepted or cancelled. A notice may be outdated, so a job that isn't known is
    /// read from its rows.
    void notice(const job_id &id, bool cancelled);

    /// Accepts a job, together with others in one transaction. The outcome is conflict if the job has been accepted
    /// before, and refused, without a call to the store, if @p row can't be read or unless isServing().
    void submit(const job_id &id, const std::string &row, stored_handler done);

    /// Cancels a live job. The outcome is done once the cancellation is stored, conflict if the job has ended before,
    /// and refused if the job isn't known or the stored state hasn't been loaded.
    void cancel(const job_id &id, stored_handler done);

    /// Returns nullptr unless isServing().
    const cell_state *state() const;

    /// When the last call was sent by which the store confirmed the ownership. Returns instant {} without an ownership.
    instant confirmedAt() const;

    /// The moment as of which the counts of waiting jobs in state() hold. Returns instant {} without an ownership.
    instant countsHoldAsOf() const;

private:
    struct session;

    monitored_store &m_store;
    worker_gateway &m_workers;
    worker_source m_source;
    runner_links m_links;
    cell_settings m_settings;
    std::optional<workspace_policies> m_workspaces; ///< std::nullopt until a configuration has told them
    decision_log &m_log;
    metrics &m_measures;
    std::shared_ptr<session> m_session;
};

} // namespace primrosecroft
