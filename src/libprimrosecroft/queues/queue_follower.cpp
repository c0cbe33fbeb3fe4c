#include "queues/queue_follower.h"

#include "core/clock.h"
#include "core/error.h"
#include "core/overloaded.h"
#include "protocol/frame.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto readTimeout = 700ms;
constexpr auto pollTimeout = 500ms; ///< in addition to the time for which the store waits for a change
constexpr std::chrono::milliseconds maxAnswerWait = 2s;
constexpr std::size_t maxValueBytes = maxFrameBytes - 4'096; ///< the rest of a message takes less than the difference

/// Name of a place for logs.
std::string nameOf(const std::optional<peer_address> &source)
{
    return source ? toString(*source) : "store";
}

} // namespace

queue_follower::queue_follower(store &source, queue_source where, decision_log &log, source_call askSource)
    : m_store(source)
    , m_source(std::move(where))
    , m_log(log)
    , m_askSource(std::move(askSource))
{
}

void queue_follower::start(std::function<void(const queue_table &)> applied)
{
    m_applied = std::move(applied);
    advance(following_due {});
}

const std::optional<queue_table> &queue_follower::current() const
{
    return m_current;
}

instant queue_follower::confirmedAt() const
{
    return m_state.confirmedAt;
}

void queue_follower::tellSource(const std::optional<peer_address> &source, instant sentAt)
{
    if (m_askSource) {
        primrosecroft::tellSource(m_state, source, sentAt);
    }
}

void queue_follower::tellWord(const owner_word &word)
{
    if (m_askSource) {
        advanceBeside(owner_told {word});
    }
}

std::optional<owner_word> queue_follower::ownWord(instant askedAt) const
{
    const auto news = primrosecroft::newsFor(m_state, askedAt);
    if (!m_current || !m_current->workspaces || !news.confirmedAge) {
        return std::nullopt;
    }
    return owner_word {{}, askedAt, news.rowVersion, *news.confirmedAge};
}

bool queue_follower::isStoreOutForAll() const
{
    return primrosecroft::isStoreOutForAll(m_state, bootNow());
}

void queue_follower::answer(row_version known, std::chrono::milliseconds wait,
                            std::function<void(configuration_news)> reply)
{
    const auto now = bootNow();
    noteQuestion(m_state, now);
    question asked {known, now, std::move(reply)};
    if (m_state.rowVersion > known || wait <= 0ms) {
        asked.reply(newsFor(asked));
        return;
    }
    m_questions.push_back(std::move(asked));
    if (!m_answerTimer.isRunning()) {
        m_answerTimer.once(std::min(wait, maxAnswerWait), [this] { answerQuestions(); });
    }
}

void queue_follower::advance(const following_message &message)
{
    const auto confirmedBefore = m_state.confirmedAt;
    const auto rowBefore = m_state.rowVersion;
    const auto actions = step(m_state, message, bootNow());
    // The last action may lead to the next message before it returns, so the news is told before it.
    for (auto action = actions.begin(); action != actions.end(); ++action) {
        const bool hasNews = m_state.confirmedAt != confirmedBefore || m_state.rowVersion != rowBefore;
        if (std::next(action) == actions.end() && hasNews) {
            answerQuestions();
        }
        perform(*action);
    }
}

/// Handles a message that doesn't end the call in flight, so that none of its actions leads to the next message.
void queue_follower::advanceBeside(const following_message &message)
{
    const auto rowBefore = m_state.rowVersion;
    for (const auto &action : step(m_state, message, bootNow())) {
        perform(action);
    }
    if (m_state.rowVersion != rowBefore) {
        answerQuestions();
    }
}

void queue_follower::perform(const following_action &action)
{
    std::visit(
        overloaded {
            [this](const read_store &) { read(); },
            [this](const poll_store &call) { poll(call); },
            [this](const probe_store &) { probe(); },
            [this](const ask_source &call) { ask(call); },
            [this](const ask_owner &call) { askOwner(call); },
            [this](const pause_following &pause) { m_retry.once(pause.delay, [this] { advance(following_due {}); }); },
            [this](const apply_row &received) { apply(received); },
            [this](const report_store_lost &) {
                m_log.writeAlways("queues", "store-lost",
                                  {{"version", std::to_string(m_current ? m_current->version : 0)}});
            },
            [this](const report_store_regained &) { m_log.writeAlways("queues", "store-regained", {}); },
            [this](const report_history_gone &gone) {
                m_log.write("queues", "history-gone", {{"after", std::to_string(gone.after)}});
            },
            [this](const report_place &place) { m_log.write("queues", "follows", {{"source", nameOf(place.source)}}); },
            [this](const report_source_lost &lost) {
                m_log.write("queues", "source-lost",
                            {{"source", toString(lost.source)},
                             {"reason", lost.reason},
                             {"pause_ms", std::to_string(lost.pause.count())}});
            },
        },
        action);
}

void queue_follower::read()
{
    const auto sentAt = bootNow();
    auto range = rangeOf({m_source.table, "", m_source.key});
    range.isLarge = true;
    m_store.read(range, readTimeout, [this, sentAt](const range_result &result) {
        advance(
            store_answered {sentAt, result.outcome == store_outcome::done, false, result.version, rowsOf(result.rows)});
    });
}

void queue_follower::poll(const poll_store &call)
{
    const auto sentAt = bootNow();
    m_store.pollChanges(m_source.table, call.after, call.wait, pollTimeout, [this, sentAt](const feed_result &result) {
        advance(store_answered {sentAt, result.outcome == store_outcome::done, result.isHistoryTruncated,
                                result.version, rowsOf(result.rows)});
    });
}

void queue_follower::probe()
{
    // There is no row at this place, so the answer is small whatever the configuration holds.
    const auto range = rangeOf({m_source.table, "", keyAfter(m_source.key)});
    m_store.read(range, readTimeout, [this](const range_result &) { advance(probe_ended {}); });
}

void queue_follower::ask(const ask_source &call)
{
    const auto sentAt = bootNow();
    m_askSource(call, [this, sentAt, source = call.source](std::optional<configuration_news> news) {
        advance(source_answered {sentAt, source, std::move(news)});
    });
}

void queue_follower::askOwner(const ask_owner &call)
{
    const auto sentAt = bootNow();
    m_askSource({call.owner, call.rowVersion, 0ms, call.timeout},
                [this, sentAt, owner = call.owner](std::optional<configuration_news> news) {
                    advanceBeside(owner_answered {sentAt, owner, std::move(news)});
                });
}

void queue_follower::apply(const apply_row &received)
{
    const auto &row = received.row;
    if (row.version == m_state.rowVersion) {
        m_value = row.value;
    }
    try {
        auto table = m_source.decode(row.value);
        if (m_current && table.version <= m_current->version) {
            return;
        }
        m_current = std::move(table);
        m_log.writeAlways("queues", "in-force",
                          {{"version", std::to_string(m_current->version)},
                           {"routes", std::to_string(m_current->routes.size())},
                           {"row", std::to_string(row.version)},
                           {"source", nameOf(received.source)}});
        m_applied(*m_current);
    } catch (const error &fault) {
        m_log.writeAlways(
            "queues", "refused",
            {{"row", std::to_string(row.version)}, {"source", nameOf(received.source)}, {"reason", fault.what()}});
    }
}

/// Returns those of @p rows that hold the configuration.
std::vector<store_row> queue_follower::rowsOf(const std::vector<store_row> &rows) const
{
    std::vector<store_row> result;
    std::ranges::copy_if(rows, std::back_inserter(result),
                         [this](const store_row &row) { return row.place.key == m_source.key && !row.isRemoved; });
    return result;
}

void queue_follower::answerQuestions()
{
    m_answerTimer.stop();
    for (const auto &asked : std::exchange(m_questions, {})) {
        asked.reply(newsFor(asked));
    }
}

configuration_news queue_follower::newsFor(const question &asked) const
{
    auto news = primrosecroft::newsFor(m_state, asked.askedAt);
    if (news.rowVersion > asked.known) {
        news.isTooLarge = m_value.size() > maxValueBytes;
        if (!news.isTooLarge) {
            news.value = m_value;
        }
    }
    return news;
}

} // namespace primrosecroft
