#include "owner_session/job_reader.h"

#include "owner_session/store_timing.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace primrosecroft
{

job_reader::job_reader(const runner_context &context)
    : m_context(context)
{
}

void job_reader::load(std::function<void(row_version firstVersion)> done)
{
    m_loaded = std::move(done);
    loadPage({});
}

void job_reader::loadPage(const std::string &from)
{
    const auto sentAt = bootNow();
    m_context.rows.read({jobTable, shardPartition, from, "", m_paging.rows}, readTimeout,
                        m_context.guard.wrap([this, from, sentAt](const range_result &result) {
                            recordPage(m_paging, sentAt, result.outcome == store_outcome::done, bootNow());
                            if (result.outcome != store_outcome::done) {
                                m_context.log.write("cell", "load-retry", {{"rows", std::to_string(m_paging.rows)}});
                                m_loadTimer.once(readRetryDelay, [this, from] { loadPage(from); });
                                return;
                            }
                            std::ranges::for_each(result.rows, [this](const store_row &row) { m_loadedJobs.add(row); });
                            m_firstVersion = m_firstVersion.value_or(result.version);
                            if (result.hasMore && !result.rows.empty()) {
                                loadPage(keyAfter(result.rows.back().place.key));
                                return;
                            }
                            m_loaded(*m_firstVersion);
                        }));
}

void job_reader::addLoaded()
{
    auto loaded = m_loadedJobs.take();
    // In the order in which they were sent, by which the rates of workspaces are counted.
    std::ranges::sort(loaded.jobs, {}, [](const job_arrived &job) { return std::tie(job.job.acceptedAt, job.job.id); });
    std::ranges::for_each(loaded.jobs, [this](const job_arrived &job) { m_context.apply(job); });
    setAside(loaded.unreadable);
}

void job_reader::read(const job_id &id, read_handler done)
{
    m_context.rows.read(liveRows(id), readTimeout,
                        m_context.guard.wrap([this, id, done = std::move(done)](const range_result &result) {
                            const bool isRead = result.outcome == store_outcome::done;
                            if (isRead) {
                                applyRows(id, result.rows);
                            }
                            done(isRead);
                        }));
}

void job_reader::applyRows(const job_id &id, const std::vector<store_row> &rows)
{
    stored_job_collector collector;
    std::ranges::for_each(rows, [&collector](const store_row &row) { collector.add(row); });
    const auto stored = collector.take();
    for (const auto &job : stored.jobs) {
        m_context.apply(job);
        if (job.isCancelled) {
            m_context.apply(job_cancelled {id});
        }
    }
    if (stored.unreadable.empty()) {
        m_setAside.erase(id);
    }
    setAside(stored.unreadable);
    m_context.requestPass();
}

/// Logs the unreadable rows that haven't been logged before in this version.
void job_reader::setAside(const std::vector<unreadable_row> &rows)
{
    for (const auto &row : rows) {
        auto &logged = m_setAside[row.job];
        if (row.version <= logged) {
            continue;
        }
        logged = row.version;
        m_context.log.writeAlways(
            "cell", "row-unreadable",
            {{"key", row.place.key}, {"version", std::to_string(row.version)}, {"reason", row.reason}});
    }
}

bool job_reader::isSetAside(const job_id &id) const
{
    return m_setAside.contains(id);
}

void job_reader::stop()
{
    m_loadTimer.stop();
}

} // namespace primrosecroft
