#include "owner_session/stored_jobs.h"

#include "core/error.h"

#include <iterator>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

/// Returns the progress of which these are the parts. Throws error if one is missing.
std::string joined(const std::map<std::int32_t, store_row> &parts)
{
    if (parts.rbegin()->first + 1 != std::ssize(parts)) {
        throw error("read progress rows", "", "a part is missing");
    }
    std::string result;
    for (const auto &row : std::views::values(parts)) {
        result += row.value;
    }
    return result;
}

} // namespace

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
        collected.progress[key->part] = row; // decoded with its job, which it has to match
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
            if (!collected.progress.empty()) {
                collected.job->progressRows = static_cast<std::int32_t>(std::ssize(collected.progress));
                collected.job->progress = decodeProgress(joined(collected.progress));
                checkProgress(collected.job->job.spec, collected.job->progress);
            }
        } catch (const error &fault) {
            setAside(collected, id, collected.progress.begin()->second, fault.what());
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
