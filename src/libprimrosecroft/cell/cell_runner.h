#pragma once

#include "cell/acceptance_batcher.h"
#include "cell/cell.h"
#include "cell/worker_gateway.h"
#include "io/timer.h"
#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "store/monitored_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Where workers announce themselves, and how an entry is read.
struct worker_source
{
    std::string table;
    std::function<std::optional<worker_description>(const worker_id &, const std::string &text)> decode;
};

struct runner_links
{
    std::function<void(const ask_advice &question, std::function<void(advice_answered)> done)> askAdvice;
    std::function<std::int32_t()> adviceDispatchers; ///< processes that can ask for advice
    std::function<void(const std::string &reason)> ownershipLost;
};

/**
 * Runs the cell's core while this process owns the shard: loads what is stored, feeds the core
 * with answers and changes, and carries out what it asks for.
 */
class cell_runner
{
public:
    cell_runner(monitored_store &rows, worker_gateway &workers, worker_source source, runner_links links,
                const cell_settings &settings, decision_log &log, metrics &measures);
    ~cell_runner();
    cell_runner(const cell_runner &) = delete;
    cell_runner &operator=(const cell_runner &) = delete;

    /// Takes up ownership that the store acknowledged just now, to a call sent at @p confirmedAt.
    void begin(row_version token, std::int64_t term, instant confirmedAt);

    /// No order and no write leaves after this.
    void end();

    /// True once what is stored has been loaded.
    bool isServing() const;

    /// The news that a job was accepted or cancelled. It may be old: a job that isn't known is read from its rows.
    void notice(const job_id &id, bool cancelled);

    /// Accepts a job, many in one transaction. Conflict: it was accepted before. Refused at once where nothing is
    /// known yet.
    void submit(const job_id &id, const std::string &row, stored_handler done);

    /// Cancels a job that is live here. Done once that is stored; refused when the job isn't known.
    void cancel(const job_id &id, stored_handler done);

    const cell_state *state() const;

    /// When ownership was last confirmed.
    instant confirmedAt() const;

private:
    struct session;

    monitored_store &m_store;
    worker_gateway &m_workers;
    worker_source m_source;
    runner_links m_links;
    cell_settings m_settings;
    decision_log &m_log;
    metrics &m_measures;
    std::shared_ptr<session> m_session;
};

} // namespace primrosecroft
