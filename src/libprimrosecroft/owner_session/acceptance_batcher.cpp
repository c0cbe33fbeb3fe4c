#include "owner_session/acceptance_batcher.h"

#include "core/clock.h"
#include "jobs/job_rows.h"
#include "leadership/owned_commit.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto acceptTimeout = 2'400ms; ///< after this a job isn't sent again; its outcome is reported as lost
constexpr auto retryDelay = 100ms; ///< after a failed transaction

/// A direct acceptance that is sent before the bar is written doesn't take effect later than this.
constexpr auto barTime = 60s;

void answerAll(const std::vector<stored_handler> &handlers, const submit_result &result)
{
    std::ranges::for_each(handlers, [&result](const auto &done) { done(result); });
}

store_transaction barredAcceptances()
{
    return {{}, {{acceptanceBarPlace(), "1"}}, {}};
}

} // namespace

acceptance_batcher::acceptance_batcher(acceptance_links links, decision_log &log)
    : m_links(std::move(links))
    , m_log(log)
{
}

void acceptance_batcher::add(const job_id &id, const std::string &row, stored_handler done)
{
    if (join(id, done)) {
        return;
    }
    if (!limited_transaction(ownershipSize() + sizeOf(barredAcceptances())).fitsAlone(acceptance(id, row))) {
        done(store_outcome::refused); // the store would never take it
        return;
    }
    enqueue(id, {row, std::nullopt, bootNow(), {std::move(done)}});
}

void acceptance_batcher::turnAway(const job_id &id, std::chrono::milliseconds retryAfter, stored_handler done)
{
    if (!join(id, done)) {
        enqueue(id, {"", retryAfter, bootNow(), {std::move(done)}});
    }
}

/// Adds the handler to a submission of the job that is pending. Returns false if there is none.
bool acceptance_batcher::join(const job_id &id, const stored_handler &done)
{
    for (auto *each : {&m_waiting, &m_sending}) {
        if (const auto found = each->find(id); found != each->end()) {
            found->second.handlers.push_back(done);
            return true;
        }
    }
    return false;
}

void acceptance_batcher::enqueue(const job_id &id, submission entry)
{
    m_waiting.emplace(id, std::move(entry));
    sendNext();
}

bool acceptance_batcher::isPending(const job_id &id) const
{
    return m_waiting.contains(id) || m_sending.contains(id);
}

bool acceptance_batcher::isSending(const job_id &id) const
{
    return m_sending.contains(id);
}

void acceptance_batcher::close()
{
    m_retry.stop();
    for (auto *each : {&m_waiting, &m_sending}) {
        for (const auto &[id, entry] : std::exchange(*each, {})) {
            answerAll(entry.handlers, store_outcome::lost);
        }
    }
}

/// Moves the oldest waiting jobs, as many as fit into one transaction, to those that are being sent. Returns the
/// transaction that accepts them.
store_transaction acceptance_batcher::takeOldest()
{
    std::vector<batch::iterator> order;
    for (auto each = m_waiting.begin(); each != m_waiting.end(); ++each) {
        order.push_back(each);
    }
    std::ranges::sort(order, {}, [](const auto &each) { return each->second.submittedAt; });
    limited_transaction transaction(ownershipSize() + sizeOf(barredAcceptances()));
    bool isRejecting = false;
    for (const auto &each : order) {
        const bool isRejection = each->second.retryAfter.has_value();
        if (!transaction.add(isRejection ? rejection(each->first) : acceptance(each->first, each->second.row))) {
            break;
        }
        isRejecting = isRejecting || isRejection;
        m_sending.insert(m_waiting.extract(each));
    }
    auto result = transaction.entries();
    if (isRejecting) {
        m_lastRejectionAt = bootNow();
        std::ranges::copy(barredAcceptances().writes, std::back_inserter(result.writes));
    }
    return result;
}

void acceptance_batcher::sendNext()
{
    if (!m_sending.empty() || m_waiting.empty() || m_retry.isRunning()) {
        return;
    }
    liftBarWhenUnused();
    auto transaction = takeOldest();
    m_sentAt = bootNow();
    m_links.commit(std::move(transaction), [this](const commit_result &result) { handleAnswer(result); });
}

/// Lets processes accept jobs directly again when no job has been turned away for a while. At first that counts from
/// the first submission to this owner, because an earlier one may have written the bar.
void acceptance_batcher::liftBarWhenUnused()
{
    if (m_lastRejectionAt == instant {}) {
        m_lastRejectionAt = bootNow();
    }
    auto &bar = *m_links.acceptanceBar;
    if (bar == row_condition::absent || m_isLiftingBar || bootNow() < m_lastRejectionAt + barTime) {
        return;
    }
    m_isLiftingBar = true;
    m_links.commit({{{acceptanceBarPlace(), bar}}, {}, {acceptanceBarPlace()}},
                   [this, &bar, lifted = bar](const commit_result &result) {
                       m_isLiftingBar = false;
                       if (bar != lifted) {
                           return; // written again meanwhile
                       }
                       if (result.outcome == store_outcome::done) {
                           bar = row_condition::absent;
                       } else if (result.outcome == store_outcome::conflict) {
                           bar = versionOf(result.currentRows, acceptanceBarPlace());
                       }
                   });
}

void acceptance_batcher::handleAnswer(const commit_result &result)
{
    auto sent = std::exchange(m_sending, {});
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - m_sentAt);
    m_log.write("cell", "accepting",
                {{"jobs", std::to_string(sent.size())},
                 {"outcome", toString(result.outcome)},
                 {"ms", std::to_string(took.count())},
                 {"next", std::to_string(m_waiting.size())}});
    if (result.outcome == store_outcome::conflict) {
        splitConflict(sent, result.currentRows);
    } else if (result.outcome == store_outcome::done) {
        for (const auto &[id, entry] : sent) {
            if (entry.retryAfter) {
                *m_links.acceptanceBar = result.version;
                answerAll(entry.handlers, submit_result::turnedAway(*entry.retryAfter));
            } else {
                m_links.onAccepted(entry.row, result.version);
                answerAll(entry.handlers, store_outcome::done);
            }
        }
    } else {
        retryLater(sent);
    }
    sendNext();
}

/// Keeps the jobs of a failed transaction for the next one, because the store is slow or refuses calls. If the requests
/// were failed instead, the processes that took them would write each job alone and add to the store's load.
void acceptance_batcher::retryLater(batch &failed)
{
    const auto now = bootNow();
    for (auto &[id, entry] : failed) {
        if (now >= entry.submittedAt + acceptTimeout) {
            answerAll(entry.handlers, store_outcome::lost);
        } else {
            m_waiting[id] = std::move(entry);
        }
    }
    m_retry.once(retryDelay, [this] { sendNext(); });
}

/// Handles a transaction that conflicted: jobs that are stored already are answered, the others go into the next
/// transaction. If the answer shows none of the jobs as stored, all of them are answered as lost.
void acceptance_batcher::splitConflict(batch &conflicted, const std::vector<store_row> &found)
{
    std::set<job_id> known;
    for (const auto &row : found) {
        if (row.version == row_condition::absent) {
            continue;
        }
        if (row.place.table == endedTable) {
            known.insert(row.place.key);
        } else if (const auto key = parseLiveKey(row.place.key); key && row.place.table == jobTable) {
            known.insert(key->id);
            m_links.onAlreadyStored(key->id);
        }
    }
    for (auto &[id, entry] : conflicted) {
        if (known.contains(id)) {
            answerAll(entry.handlers, store_outcome::conflict);
        } else if (known.empty()) {
            answerAll(entry.handlers, store_outcome::lost);
        } else {
            m_waiting[id] = std::move(entry);
        }
    }
}

} // namespace primrosecroft
