#include "owner_session/owned_commits.h"

#include "leadership/leadership.h"
#include "leadership/owned_commit.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto renewalInterval = 300ms; ///< between two writes of the renewal row
constexpr auto confirmInterval = 450ms; ///< after this time without a successful commit a read confirms the ownership
constexpr auto confirmTimeout = 400ms; ///< longer than a read takes in a store that is 60 times slower than usual
constexpr auto minCommitTimeout = 1'200ms;

/// A commit counts as lost if a read that was sent at least this long after it is answered first. The span is longer
/// while commits are slow.
constexpr auto unansweredCommitTimeout = 250ms;

constexpr auto maxCommitTimeout = 3'000ms;
constexpr int commitTimeFactor = 4; ///< timeouts of commits are this multiple of the smoothed commit time

std::string millisecondsText(duration amount)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(amount).count());
}

} // namespace

owned_commits::owned_commits(const runner_context &context,
                             std::function<void(const std::string &reason)> ownershipLost)
    : m_context(context)
    , m_ownershipLost(std::move(ownershipLost))
{
}

void owned_commits::commit(store_transaction transaction, commit_handler done)
{
    const auto sentAt = bootNow();
    const bool isRenewal = sentAt >= m_renewedAt + renewalInterval || transaction.writes.empty();
    m_renewedAt = isRenewal ? sentAt : m_renewedAt;
    addOwnership(transaction, m_context.state.takeOver.token, isRenewal);
    // The timeout grows with the commit time, so that a slow store doesn't get a commit for the second time while
    // the first one still waits in its queue.
    const auto timeout = std::clamp<std::chrono::milliseconds>(m_context.rows.smoothedCommitTime() * commitTimeFactor,
                                                               minCommitTimeout, maxCommitTimeout);
    const auto number = ++m_lastNumber;
    m_pending[number] = {sentAt, std::move(done)};
    m_context.rows.commit(transaction, timeout, m_context.guard.wrap([this, number](const commit_result &result) {
        finish(number, result);
    }));
}

void owned_commits::keepOwnership(instant now)
{
    if (now >= m_renewedAt + renewalInterval && m_pending.empty()) {
        renew();
    }
    if (now >= m_context.state.confirmedAt + confirmInterval && !m_isConfirming) {
        confirm();
    }
}

/// Commits nothing but the renewal row, under the condition of ownership. This confirms the ownership, and shows
/// the other processes that this one still runs.
void owned_commits::renew()
{
    commit({}, [](const commit_result &) { });
}

/// Confirms the ownership by a read of the owner's row. Unlike a commit, a read doesn't wait in the partition's
/// queue of writes.
void owned_commits::confirm()
{
    m_isConfirming = true;
    const auto sentAt = bootNow();
    const auto place = ownerPlace();
    m_context.rows.read(rangeOf(place), confirmTimeout,
                        m_context.guard.wrap([this, sentAt](const range_result &result) {
                            m_isConfirming = false;
                            if (result.outcome != store_outcome::done) {
                                return;
                            }
                            if (!hasOwnRow(result.rows)) {
                                m_ownershipLost("a read found another owner's row");
                                return;
                            }
                            m_context.apply(ownership_confirmed {sentAt, result.version});
                            abandonUnanswered(sentAt);
                        }));
}

/// Handles the answer to a commit, unless the commit has been abandoned before.
void owned_commits::finish(std::uint64_t number, const commit_result &result)
{
    const auto node = m_pending.extract(number);
    if (node.empty()) {
        return;
    }
    if (result.outcome == store_outcome::conflict && !hasOwnRow(result.currentRows)) {
        m_ownershipLost("a write found another owner's row");
        return;
    }
    if (result.outcome == store_outcome::done) {
        m_context.apply(ownership_confirmed {node.mapped().sentAt, result.version});
    }
    node.mapped().done(result);
}

/// Called when a read that was sent at @p answeredSince has been answered. Unanswered commits that were sent long
/// before it end as lost, since no answer to them is expected any more. All commits can safely be sent again
/// because of their conditions.
void owned_commits::abandonUnanswered(instant answeredSince)
{
    const auto timeout = std::max<std::chrono::milliseconds>(unansweredCommitTimeout,
                                                             m_context.rows.smoothedCommitTime() * commitTimeFactor);
    std::vector<std::uint64_t> unanswered;
    for (const auto &[number, commit] : m_pending) {
        if (commit.sentAt + timeout <= answeredSince) {
            unanswered.push_back(number);
        }
    }
    for (const auto number : unanswered) {
        m_context.log.write("cell", "commit-silent",
                            {{"ms", millisecondsText(bootNow() - m_pending.at(number).sentAt)}});
        finish(number, {});
    }
}

/// True if @p rows contains the owner's row with the version under which this ownership began.
bool owned_commits::hasOwnRow(const std::vector<store_row> &rows) const
{
    const auto row = std::ranges::find(rows, ownerPlace(), &store_row::place);
    return row != rows.end() && row->version == m_context.state.takeOver.token;
}

} // namespace primrosecroft
