#include "owner_session/inbox_reader.h"

#include "owner_session/store_timing.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto pollWait = 1'000ms; ///< how long a poll of the inbox waits for a change

} // namespace

inbox_reader::inbox_reader(const runner_context &context, inbox_links links)
    : m_context(context)
    , m_links(std::move(links))
{
}

void inbox_reader::follow(row_version after)
{
    m_after = after;
    poll();
}

void inbox_reader::readJob(const job_id &id)
{
    read(inboxPlace(id).key, std::nullopt);
}

void inbox_reader::stop()
{
    m_pollTimer.stop();
    m_repeatTimer.stop();
}

void inbox_reader::poll()
{
    m_context.rows.pollChanges(
        inboxTable, m_after, pollWait, pollTimeout, m_context.guard.wrap([this](const feed_result &result) {
            if (result.isHistoryTruncated) {
                readPage({}, std::nullopt);
                return;
            }
            const bool isDone = result.outcome == store_outcome::done;
            if (isDone) {
                m_after = std::max(m_after, result.version);
                std::ranges::for_each(result.rows, [this](const store_row &row) { handleRow(row); });
            }
            m_pollTimer.once(isDone ? 0ms : readRetryDelay, [this] { poll(); });
        }));
}

/// Reads the page of the inbox that begins at @p from. @p firstVersion is the store's version at the read of the first
/// page, and unset for that page.
void inbox_reader::readPage(const std::string &from, std::optional<row_version> firstVersion)
{
    m_context.rows.read({inboxTable, shardPartition, from, "", 500}, readTimeout,
                        m_context.guard.wrap([this, firstVersion](const range_result &result) {
                            if (result.outcome != store_outcome::done) {
                                // The next poll finds the history truncated again, so the first page is read again.
                                m_pollTimer.once(readRetryDelay, [this] { poll(); });
                                return;
                            }
                            std::ranges::for_each(result.rows, [this](const store_row &row) { handleRow(row); });
                            const auto version = firstVersion.value_or(result.version);
                            if (result.hasMore && !result.rows.empty()) {
                                readPage(keyAfter(result.rows.back().place.key), version);
                                return;
                            }
                            m_after = version;
                            m_pollTimer.once(readRetryDelay, [this] { poll(); });
                        }));
}

void inbox_reader::handleRow(const store_row &row)
{
    if (!row.isRemoved) {
        read(row.place.key, row);
    }
}

/// Reads what a notice names. @p key is the one that the notice has in an inbox.
void inbox_reader::read(const std::string &key, const inbox_row &row)
{
    auto done = [this, key, row](bool isRead) { finishRead(key, row, isRead); };
    if (key == rulesNoticePlace().key) {
        m_links.readRules(std::move(done));
    } else {
        m_links.readJob(key, std::move(done));
    }
}

void inbox_reader::finishRead(const std::string &key, const inbox_row &row, bool isRead)
{
    m_isRepeating = m_isRepeating && key != m_lastRepeated;
    if (!isRead) {
        auto &kept = m_failedReads[key];
        if (row && (!kept || kept->version < row->version)) {
            kept = row;
        }
        if (!m_repeatTimer.isRunning()) {
            m_repeatTimer.once(readRetryDelay, [this] { repeatRead(); });
        }
        return;
    }
    if (row) {
        clear(*row);
    }
    if (!m_repeatTimer.isRunning()) {
        repeatRead();
    }
}

/// Repeats one of the failed reads. The others follow once it succeeds, so that a store that fails gets only one of
/// them at a time.
void inbox_reader::repeatRead()
{
    if (m_isRepeating || m_failedReads.empty()) {
        return;
    }
    auto next = m_failedReads.upper_bound(m_lastRepeated);
    if (next == m_failedReads.end()) {
        next = m_failedReads.begin();
    }
    const auto node = m_failedReads.extract(next);
    m_lastRepeated = node.key();
    m_isRepeating = true;
    read(node.key(), node.mapped());
}

/// Removes an inbox row that has been handled. A newer version of the row stays.
void inbox_reader::clear(const store_row &row)
{
    store_transaction removal;
    removal.conditions.push_back({row.place, row.version});
    removal.removals.push_back(row.place);
    m_links.commit(std::move(removal));
}

} // namespace primrosecroft
