#pragma once

#include "io/timer.h"
#include "observability/decision_log.h"
#include "queues/queue_following.h"
#include "queues/queue_table.h"
#include "store/store.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace primrosecroft
{

/// Place of the configuration in the store, and its decoder.
struct queue_source
{
    std::string table;
    std::string key;
    std::function<queue_table(const std::string &text)> decode; ///< throws error if the text is invalid
};

/// Asks the source for news. Calls @p done once, with std::nullopt if no answer arrived before the timeout.
using source_call =
    std::function<void(const ask_source &question, std::function<void(std::optional<configuration_news>)> done)>;

/**
 * Keeps this process's copy of the configuration up to date: reads it once and then polls its table for changes, or
 * asks another process of its region that does. A version that is in force is never replaced by an older or invalid
 * one.
 */
class queue_follower
{
public:
    /// Without @p askSource, the process never asks another one.
    queue_follower(store &source, queue_source where, decision_log &log, source_call askSource = {});

    /// Starts reading. @p applied is called with each new version when it comes into force.
    void start(std::function<void(const queue_table &)> applied);

    /// The version in force. Returns std::nullopt before the first valid version.
    const std::optional<queue_table> &current() const;

    /// A moment at which the version in force was the newest one in the store.
    instant confirmedAt() const;

    /// Takes note of the source that an owner tells in the answer to a message sent at @p sentAt; unset if it is this
    /// process itself.
    void tellSource(const std::optional<peer_address> &source, instant sentAt);

    /// Takes what the owner tells of its row. Asks it if its row is newer.
    void tellWord(const owner_word &word);

    /// This process's row, as it tells it to others while it is the owner. Returns std::nullopt if the configuration
    /// has no workspaces or was never confirmed.
    std::optional<owner_word> ownWord(instant askedAt) const;

    /// True if the store confirms the configuration to no process.
    bool isStoreOutForAll() const;

    /// Answers the question of another process that has the row of version @p known: at once if this process has a
    /// newer one, otherwise when its row is confirmed again, at the latest after @p wait.
    void answer(row_version known, std::chrono::milliseconds wait, std::function<void(configuration_news)> reply);

private:
    struct question
    {
        row_version known = 0;
        instant askedAt;
        std::function<void(configuration_news)> reply;
    };

    void advance(const following_message &message);
    void advanceBeside(const following_message &message);
    void perform(const following_action &action);
    void read();
    void poll(const poll_store &call);
    void probe();
    void ask(const ask_source &call);
    void askOwner(const ask_owner &call);
    void apply(const apply_row &received);
    std::vector<store_row> rowsOf(const std::vector<store_row> &rows) const;
    void answerQuestions();
    configuration_news newsFor(const question &asked) const;

    store &m_store;
    queue_source m_source;
    decision_log &m_log;
    source_call m_askSource;
    std::function<void(const queue_table &)> m_applied;
    std::optional<queue_table> m_current;
    following_state m_state;
    std::string m_value; ///< of the newest row received, for other processes
    std::vector<question> m_questions; ///< that wait for news
    timer m_retry;
    timer m_answerTimer;
};

} // namespace primrosecroft
