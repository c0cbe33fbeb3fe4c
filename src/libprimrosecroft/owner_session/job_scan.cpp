#include "owner_session/job_scan.h"

#include "owner_session/store_timing.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto scanRetryDelay = 400ms; ///< between a scan of which a read failed and the next one

} // namespace

job_scan::job_scan(const runner_context &context, job_scan_links links, instant knownAt)
    : m_context(context)
    , m_links(std::move(links))
    , m_knownAt(knownAt)
{
}

void job_scan::start()
{
    schedule(m_knownAt + jobScanInterval);
}

instant job_scan::knownAt() const
{
    return m_knownAt;
}

void job_scan::stop()
{
    m_timer.stop();
}

void job_scan::schedule(instant at)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(at - bootNow());
    m_timer.once(std::max<std::chrono::milliseconds>(wait, 0ms), [this] {
        m_startedAt = bootNow();
        m_readsLeft = 0;
        m_hasFailed = false;
        readPage({});
    });
}

void job_scan::readPage(const std::string &from)
{
    ++m_readsLeft;
    const auto sentAt = bootNow();
    m_context.rows.read({jobTable, shardPartition, from, "", m_paging.rows}, readTimeout,
                        m_context.guard.wrap([this, sentAt](const range_result &result) {
                            const bool isRead = result.outcome == store_outcome::done;
                            recordPage(m_paging, sentAt, isRead, bootNow());
                            if (isRead) {
                                std::ranges::for_each(result.rows, [this](const store_row &row) { checkRow(row); });
                            }
                            if (isRead && result.hasMore && !result.rows.empty()) {
                                readPage(keyAfter(result.rows.back().place.key));
                            }
                            finishRead(isRead);
                        }));
}

void job_scan::checkRow(const store_row &row)
{
    const auto &state = m_context.state;
    const auto key = parseLiveKey(row.place.key);
    if (!key || state.finishedJobs.contains(key->id)) {
        return;
    }
    const auto job = state.jobs.find(key->id);
    const bool isJobMissed = key->kind == live_row::job && job == state.jobs.end() && !m_links.isBeingAccepted(key->id);
    const bool isCancelMissed = key->kind == live_row::cancel && job != state.jobs.end() && !job->second.isCancelled;
    if (!isJobMissed && !isCancelMissed) {
        return;
    }
    if (!m_links.isSetAside(key->id)) {
        m_context.log.write(
            "cell", "reconciled",
            {{"id", key->id}, {"version", std::to_string(row.version)}, {"cancel", isCancelMissed ? "1" : "0"}});
    }
    ++m_readsLeft;
    m_links.readJob(key->id, [this](bool isRead) { finishRead(isRead); });
}

/// Called after each read of a scan. After the last one the jobs that were stored before the scan are known, unless
/// a read has failed.
void job_scan::finishRead(bool isRead)
{
    m_hasFailed = m_hasFailed || !isRead;
    if (--m_readsLeft > 0) {
        return;
    }
    const auto now = bootNow();
    if (m_hasFailed) {
        schedule(now + pauseAfterScan(now - m_startedAt, scanRetryDelay));
        return;
    }
    m_knownAt = m_startedAt;
    schedule(now + pauseAfterScan(now - m_startedAt, jobScanInterval));
}

} // namespace primrosecroft
