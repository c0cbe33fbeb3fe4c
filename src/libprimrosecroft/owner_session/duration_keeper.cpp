#include "owner_session/duration_keeper.h"

#include "durations/duration_row.h"

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto minInterval = 10s; ///< between two writes, however much is new
constexpr auto maxInterval = 60s; ///< if anything is new
constexpr std::int64_t newPart = 10; ///< much is new if it is more than one part in this many of all runs
constexpr auto maxCommitTime = 250ms; ///< in a slower store the row would delay the commits of jobs

} // namespace

duration_keeper::duration_keeper(const runner_context &context, owned_commits &commits)
    : m_context(context)
    , m_commits(commits)
    , m_storedAt(context.state.takeOver.takenAt)
{
}

void duration_keeper::storeIfDue(instant now)
{
    if (!isDue(now)) {
        return;
    }
    m_isPending = true;
    m_storedAt = now;
    const auto runs = m_context.state.durations.runs;
    auto row = encodeDurations(m_context.state.durations);
    m_context.log.write("cell", "durations-stored",
                        {{"runs", std::to_string(runs)}, {"bytes", std::to_string(row.size())}});
    m_commits.commit({{}, {{durationsPlace(), std::move(row)}}, {}}, [this, runs](const commit_result &result) {
        m_isPending = false;
        if (result.outcome == store_outcome::done) {
            m_storedRuns = runs;
        }
    });
}

bool duration_keeper::isDue(instant now) const
{
    const auto runs = m_context.state.durations.runs;
    const auto newRuns = runs - m_storedRuns;
    if (m_isPending || newRuns <= 0 || now < m_storedAt + minInterval
        || m_context.rows.smoothedCommitTime() > maxCommitTime) {
        return false;
    }
    return newRuns * newPart > runs || now >= m_storedAt + maxInterval;
}

} // namespace primrosecroft
