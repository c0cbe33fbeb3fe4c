#include "store/guarded_store.h"

#include "core/clock.h"

#include <random>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxQueuedCalls = 2'000; ///< further calls fail at once, as while the store is unreachable

} // namespace

guarded_store::guarded_store(store &rows, object_store &objects, std::chrono::milliseconds timeout)
    : m_rows(rows)
    , m_objects(objects)
    , m_timeout(timeout)
{
    m_breaker.seed = std::random_device {}();
}

bool guarded_store::isReachable() const
{
    return m_breaker.isReachable;
}

void guarded_store::setRecoveryRate(double callsPerSecond)
{
    m_breaker.operationsPerSecond = callsPerSecond;
}

void guarded_store::recordOutcome(store_outcome outcome)
{
    const bool isAnswered = outcome == store_outcome::done || outcome == store_outcome::conflict;
    recordStoreResult(m_breaker, isAnswered, bootNow());
}

void guarded_store::enqueue(queued_call call)
{
    if (!m_breaker.isReachable || m_queue.size() >= maxQueuedCalls) {
        call.refuse();
        return;
    }
    m_queue.push_back(std::move(call));
    sendQueued();
}

void guarded_store::sendQueued()
{
    while (!m_queue.empty() && !m_budgetTimer.isRunning()) {
        const auto wait = m_breaker.isReachable ? takeOperation(m_breaker, bootNow()) : std::chrono::milliseconds(0);
        if (wait.count() > 0) {
            m_budgetTimer.once(wait, [this] { sendQueued(); });
            return;
        }
        const auto next = std::move(m_queue.front());
        m_queue.pop_front();
        (m_breaker.isReachable ? next.send : next.refuse)();
    }
}

/// While the store is unreachable, reads also serve as the probes that detect its return.
void guarded_store::probeOrEnqueue(queued_call call)
{
    if (!m_breaker.isReachable && takeProbe(m_breaker, bootNow())) {
        call.send();
        return;
    }
    enqueue(std::move(call));
}

void guarded_store::commit(const store_transaction &transaction, const std::function<void(commit_result)> &done)
{
    const auto answer = [this, done](const commit_result &result) {
        recordOutcome(result.outcome);
        done(result);
    };
    enqueue({[this, transaction, answer] { m_rows.commit(transaction, m_timeout, answer); },
             [done] {
                 commit_result result;
                 result.outcome = store_outcome::refused;
                 done(result);
             }});
}

void guarded_store::readRow(const row_place &place, std::function<void(row_result)> done)
{
    readAll(rangeOf(place), [place, done = std::move(done)](const rows_result &rows) {
        if (!rows) {
            done(std::nullopt);
        } else if (rows->empty() || rows->front().place.key != place.key) {
            done(row_result {std::optional<store_row> {}});
        } else {
            done(row_result {rows->front()});
        }
    });
}

void guarded_store::readAll(const row_range &range, const std::function<void(rows_result)> &done)
{
    readPage(range, {}, done);
}

void guarded_store::readPage(const row_range &range, std::vector<store_row> gathered,
                             const std::function<void(rows_result)> &done)
{
    const auto answer = [this, range, gathered = std::move(gathered), done](const range_result &result) mutable {
        recordOutcome(result.outcome);
        if (result.outcome != store_outcome::done) {
            done(std::nullopt);
            return;
        }
        gathered.insert(gathered.end(), result.rows.begin(), result.rows.end());
        // A limit of 1 comes from rangeOf(), whose range holds one row at most.
        if (!result.hasMore || result.rows.empty() || range.limit == 1) {
            done(std::move(gathered));
            return;
        }
        auto rest = range;
        rest.from = keyAfter(result.rows.back().place.key);
        readPage(rest, std::move(gathered), done);
    };
    probeOrEnqueue({[this, range, answer] { m_rows.read(range, m_timeout, answer); }, [done] { done(std::nullopt); }});
}

void guarded_store::putObject(const std::string &name, const std::string &bytes, const std::function<void(bool)> &done)
{
    const auto answer = [this, done](store_outcome outcome) {
        recordOutcome(outcome);
        done(outcome == store_outcome::done);
    };
    enqueue({[this, name, bytes, answer] { m_objects.put(name, bytes, m_timeout, answer); }, [done] { done(false); }});
}

void guarded_store::getObject(const std::string &name, const std::function<void(std::optional<std::string>)> &done)
{
    const auto answer = [this, done](store_outcome outcome, std::optional<std::string> bytes) {
        recordOutcome(outcome);
        done(std::move(bytes));
    };
    probeOrEnqueue({[this, name, answer] { m_objects.get(name, m_timeout, answer); }, [done] { done(std::nullopt); }});
}

} // namespace primrosecroft
