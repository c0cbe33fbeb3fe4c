#include "cell/inbox_reader.h"

#include "cell/store_timing.h"

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

void inbox_reader::readAgain()
{
    m_after = 0;
}

void inbox_reader::stop()
{
    m_timer.stop();
}

void inbox_reader::poll()
{
    m_context.rows.pollChanges(
        inboxTable, m_after, pollWait, pollTimeout, m_context.guard.wrap([this](const feed_result &result) {
            auto pause = 0ms;
            if (result.isHistoryTruncated) {
                readAll();
                return;
            }
            if (result.outcome == store_outcome::done) {
                m_after = std::max(m_after, result.version);
                std::ranges::for_each(result.rows, [this](const store_row &row) { handleRow(row); });
            } else {
                pause = readRetryDelay;
            }
            m_timer.once(pause, [this] { poll(); });
        }));
}

void inbox_reader::readAll()
{
    m_context.rows.read({inboxTable, shardPartition, "", "", 500}, readTimeout,
                        m_context.guard.wrap([this](const range_result &result) {
                            if (result.outcome == store_outcome::done) {
                                m_after = result.version;
                                std::ranges::for_each(result.rows, [this](const store_row &row) { handleRow(row); });
                            }
                            m_timer.once(readRetryDelay, [this] { poll(); });
                        }));
}

void inbox_reader::handleRow(const store_row &row)
{
    if (row.isRemoved) {
        return;
    }
    const auto clearIfRead = [this, row](bool isRead) {
        if (isRead) {
            clear(row);
        }
    };
    if (row.place == rulesNoticePlace()) {
        m_links.readRules([this, clearIfRead](bool isRead) {
            if (!isRead) {
                readAgain();
            }
            clearIfRead(isRead);
        });
        return;
    }
    m_links.readJob(row.place.key, clearIfRead);
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
