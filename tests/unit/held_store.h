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

/// Calls are carried out at once; their answers wait while `holds` is set.
class held_store : public store
{
public:
    void commit(const store_transaction &transaction, std::chrono::milliseconds /*timeout*/,
                std::function<void(commit_result)> done) override
    {
        ++commits;
        if (swallowsCommits) {
            return;
        }
        if (isOut) {
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
        if (isOut) {
            result = {};
            result.outcome = store_outcome::refused;
        }
        answer([done = std::move(done), result] { done(result); });
    }

    void pollChanges(const std::string &table, row_version after, std::chrono::milliseconds /*wait*/,
                     std::chrono::milliseconds /*timeout*/, std::function<void(feed_result)> done) override
    {
        m_following.emplace_back([this, table, after, done = std::move(done)] { done(rows.follow(table, after)); });
        m_feedTimer.every(std::chrono::milliseconds(5), [this] { serveFeeds(); });
    }

    void release()
    {
        holds = false;
        while (!m_held.empty()) {
            const auto next = std::move(m_held.front());
            m_held.pop_front();
            next();
        }
    }

    store_emulator rows;
    bool holds = false;
    bool follows = false; ///< feeds are answered; without it what is tested has to work without them
    bool isOut = false; ///< every call is refused
    bool swallowsCommits = false; ///< they are neither carried out nor answered
    int commits = 0;
    int reads = 0;

private:
    void answer(std::function<void()> next)
    {
        if (holds) {
            m_held.push_back(std::move(next));
        } else {
            next();
        }
    }

    void serveFeeds()
    {
        if (follows) {
            for (const auto &feed : std::exchange(m_following, {})) {
                feed();
            }
        }
    }

    std::deque<std::function<void()>> m_held;
    std::vector<std::function<void()>> m_following;
    timer m_feedTimer;
};

} // namespace primrosecroft
