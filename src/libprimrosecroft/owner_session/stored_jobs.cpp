#include "owner_session/stored_jobs.h"

#include "core/error.h"

#include <utility>

namespace primrosecroft
{

void stored_job_collector::add(const store_row &row)
{
    const auto key = parseLiveKey(row.place.key);
    if (!key) {
        m_unreadable.push_back({"", row.place, row.version, "it is no key of a live job's row"});
        return;
    }
    auto &collected = m_jobs[key->id];
    switch (key->kind) {
    case live_row::job:
        try {
            collected.job = {decodeJobOf(key->id, row.value), {}, row.version, false};
        } catch (const error &fault) {
            setAside(collected, key->id, row, fault.what());
        }
        break;
    case live_row::cancel:
        collected.isCancelled = true;
        break;
    case live_row::progress:
        collected.progress = row; // decoded with its job, which it has to match
        break;
    }
}

void stored_job_collector::setAside(collected_job &job, const job_id &id, const store_row &row,
                                    const std::string &reason)
{
    job.isUnreadable = true;
    m_unreadable.push_back({id, row.place, row.version, reason});
}

stored_jobs stored_job_collector::take()
{
    stored_jobs result;
    for (auto &[id, collected] : std::exchange(m_jobs, {})) {
        if (!collected.job) {
            continue; // the job has ended since, or can't be read
        }
        try {
            if (collected.progress) {
                collected.job->progress = decodeProgress(collected.progress->value);
                checkProgress(collected.job->job.spec, collected.job->progress);
            }
        } catch (const error &fault) {
            setAside(collected, id, *collected.progress, fault.what());
        }
        if (!collected.isUnreadable) {
            collected.job->isCancelled = collected.isCancelled;
            result.jobs.push_back(std::move(*collected.job));
        }
    }
    result.unreadable = std::exchange(m_unreadable, {});
    return result;
}

} // namespace primrosecroft
