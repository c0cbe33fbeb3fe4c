#pragma once

#include "io/timer.h"
#include "owner_session/read_paging.h"
#include "owner_session/runner_context.h"

#include <functional>
#include <string>

namespace primrosecroft
{

/// Between the starts of two scans for stored jobs of which no notice has arrived.
inline constexpr std::chrono::milliseconds jobScanInterval {2'000};

/// Calls by which job_scan uses the other parts of its session.
struct job_scan_links
{
    std::function<void(const job_id &id, std::function<void(bool isRead)> done)> readJob;
    std::function<bool(const job_id &id)> isBeingAccepted; ///< the job's acceptance is in flight
    std::function<bool(const job_id &id)> isSetAside; ///< the job's rows couldn't be read when they were last read
};

/// Scans the live jobs, one scan after another, for jobs and cancellations of which no notice has reached this process.
class job_scan
{
public:
    /// The jobs stored before @p knownAt are known once start() is called.
    job_scan(const runner_context &context, job_scan_links links, instant knownAt);

    /// Schedules the scans.
    void start();

    /// The jobs stored before this moment are known.
    instant knownAt() const;

    void stop();

private:
    void schedule(instant at);
    void readPage(const std::string &from);
    void checkRow(const store_row &row);
    void finishRead(bool isRead);

    const runner_context &m_context;
    job_scan_links m_links;
    instant m_knownAt;
    instant m_startedAt; ///< of the running scan, or the last one
    int m_readsLeft = 0; ///< of the running scan, which is over when all have ended
    bool m_hasFailed = false; ///< a read has failed, so some jobs may still be unknown
    read_paging m_paging;
    timer m_timer;
};

} // namespace primrosecroft
