#pragma once

#include "io/timer.h"
#include "store/store.h"
#include "store_emulator.h"

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace primrosecroft
{

/// Store in memory that tests control. Calls take effect at once; answers are held back while `delaysAnswers` is set.
class fake_store : public store
{
public:
    void commit(const store_transaction &transaction, std::chrono::milliseconds /*timeout*/,
                std::function<void(commit_result)> done) override
    {
        ++commits;
        if (beforeCommit) {
            beforeCommit();
        }
        if (ignoresCommits) {
            return;
        }
        if (isUnreachable) {
            commit_result refused;
            refused.outcome = store_outcome::refused;
            answer([done = std::move(done), refused] { done(refused); });
            return;
        }
        const auto result = rows.commit(transaction);
        answer([done = std::move(done), result] { done(result); });
    }

    void read(const row_range &range, std::chrono::milliseconds /*timeout*/,
              std::function<void(range_result)> done) override
    {
        ++reads;
        auto result = rows.read(range);
        if (isUnreachable || refusesReads || range.table == refusedTable) {
            result = {};
            result.outcome = store_outcome::refused;
        }
        if (range.table == heldTable) {
            m_held.emplace_back([done = std::move(done), result] { done(result); });
            return;
        }
        answer([done = std::move(done), result] { done(result); });
    }

    void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds /*wait*/,
                     std::chrono::milliseconds /*timeout*/, std::function<void(feed_result)> done) override
    {
        m_polls.emplace_back([this, table, after, done = std::move(done)] { done(rows.follow(table, after)); });
        m_pollTimer.every(std::chrono::milliseconds(5), [this] { answerPolls(); });
    }

    /// Stops holding back answers and delivers those held back so far, in order.
    void release()
    {
        delaysAnswers = false;
        while (!m_delayed.empty()) {
            const auto next = std::move(m_delayed.front());
            m_delayed.pop_front();
            next();
        }
    }

    /// Stops holding back reads of heldTable and delivers those held back so far.
    void releaseHeldTable()
    {
        heldTable.clear();
        for (const auto &next : std::exchange(m_held, {})) {
            next();
        }
    }

    store_emulator rows;
    std::string heldTable; ///< reads of its rows get no answer before releaseHeldTable(); empty for none
    std::string refusedTable; ///< reads of its rows are refused; empty for none
    bool delaysAnswers = false;
    bool answersPolls = false; ///< if false, polls for changes get no answer, and the code under test must cope
    bool isUnreachable = false; ///< every commit and read is refused
    bool refusesReads = false; ///< every read is refused
    std::function<void()> beforeCommit; ///< called before each commit is carried out, if set
    bool ignoresCommits = false; ///< commits are neither carried out nor answered
    int commits = 0;
    int reads = 0;

private:
    void answer(std::function<void()> next)
    {
        if (delaysAnswers) {
            m_delayed.push_back(std::move(next));
        } else {
            next();
        }
    }

    void answerPolls()
    {
        if (answersPolls) {
            for (const auto &poll : std::exchange(m_polls, {})) {
                poll();
            }
        }
    }

    std::deque<std::function<void()>> m_delayed;
    std::vector<std::function<void()>> m_held;
    std::vector<std::function<void()>> m_polls;
    timer m_pollTimer;
};

} // namespace primrosecroft
