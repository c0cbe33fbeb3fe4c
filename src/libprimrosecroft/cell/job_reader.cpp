#include "cell/job_reader.h"

#include "cell/store_timing.h"
#include "core/error.h"

#include <algorithm>
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
    m_context.rows.read({jobTable, shardPartition, from, "", 500}, readTimeout,
                        m_context.guard.wrap([this, from](const range_result &result) {
                            if (result.outcome != store_outcome::done) {
                                m_context.log.write("cell", "load-retry", {});
                                m_loadTimer.once(readRetryDelay, [this, from] { loadPage(from); });
                                return;
                            }
                            std::ranges::for_each(result.rows, [this](const store_row &row) { collect(row); });
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
    for (auto &[id, job] : m_jobs) {
        job.progress = std::move(m_progress[id]);
        job.isCancelled = m_cancellations.contains(id);
        m_context.apply(job);
    }
    clear();
}

void job_reader::collect(const store_row &row)
{
    const auto key = parseLiveKey(row.place.key);
    if (!key) {
        return;
    }
    try {
        switch (key->kind) {
        case live_row::job:
            m_jobs[key->id] = {decodeJobOf(key->id, row.value), {}, row.version, false};
            break;
        case live_row::cancel:
            m_cancellations.insert(key->id);
            break;
        case live_row::progress:
            m_progress[key->id] = decodeProgress(row.value);
            break;
        }
    } catch (const error &fault) {
        m_context.log.write("cell", "row-unreadable", {{"id", key->id}, {"reason", fault.what()}});
    }
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
    std::ranges::for_each(rows, [this](const store_row &row) { collect(row); });
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end()) {
        found->second.progress = std::move(m_progress[id]);
        found->second.isCancelled = m_cancellations.contains(id);
        m_context.apply(found->second);
        if (found->second.isCancelled) {
            m_context.apply(job_cancelled {id});
        }
    }
    clear();
    m_context.requestPass();
}

void job_reader::clear()
{
    m_jobs.clear();
    m_cancellations.clear();
    m_progress.clear();
}

void job_reader::stop()
{
    m_loadTimer.stop();
}

} // namespace primrosecroft
