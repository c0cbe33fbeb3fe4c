#include "owner_session/worker_feed.h"

#include "owner_session/store_timing.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto pollInterval = 250ms; ///< between two polls of the workers' table

} // namespace

worker_feed::worker_feed(const runner_context &context, const worker_source &source)
    : m_context(context)
    , m_source(source)
{
}

void worker_feed::load(std::function<void()> done)
{
    m_loaded = std::move(done);
    readAll();
}

void worker_feed::follow()
{
    m_pollTimer.once(pollInterval, [this] { poll(); });
}

void worker_feed::stop()
{
    m_pollTimer.stop();
    m_readTimer.stop();
}

/// Reads the whole workers' table page by page. Known workers that aren't in it are no longer listed.
void worker_feed::readAll()
{
    readPage({}, std::make_shared<std::set<worker_id>>(), std::nullopt);
}

/// Reads the page of the workers' table that begins at @p from. @p firstVersion is the store's version at the read of
/// the first page, and unset for that page. Changes are polled from it, since they may have been made while the later
/// pages were read.
void worker_feed::readPage(const std::string &from, const std::shared_ptr<std::set<worker_id>> &seen,
                           std::optional<row_version> firstVersion)
{
    m_context.rows.read({m_source.table, "", from, "", 500}, readTimeout,
                        m_context.guard.wrap([this, seen, firstVersion](const range_result &result) {
                            if (result.outcome != store_outcome::done) {
                                m_readTimer.once(readRetryDelay, [this] { readAll(); });
                                return;
                            }
                            for (const auto &row : result.rows) {
                                seen->insert(row.place.key);
                                applyRow(row);
                            }
                            const auto version = firstVersion.value_or(result.version);
                            if (result.hasMore && !result.rows.empty()) {
                                readPage(keyAfter(result.rows.back().place.key), seen, version);
                                return;
                            }
                            finishReading(*seen, version);
                        }));
}

void worker_feed::finishReading(const std::set<worker_id> &seen, row_version version)
{
    m_after = version;
    std::vector<worker_id> missing;
    std::ranges::copy_if(std::views::keys(m_context.state.workers), std::back_inserter(missing),
                         [&seen](const worker_id &id) { return !seen.contains(id); });
    std::ranges::for_each(missing, [this](const worker_id &id) { m_context.apply(worker_unlisted {id}); });
    if (const auto loaded = std::exchange(m_loaded, {})) {
        loaded();
    } else {
        follow();
    }
}

void worker_feed::poll()
{
    m_context.rows.pollChanges(
        m_source.table, m_after, 0ms, pollTimeout, m_context.guard.wrap([this](const feed_result &result) {
            if (result.isHistoryTruncated) {
                readAll();
                return;
            }
            if (result.outcome == store_outcome::done) {
                m_after = std::max(m_after, result.version);
                std::ranges::for_each(result.rows, [this](const store_row &row) { applyRow(row); });
                m_context.requestPass();
            }
            follow();
        }));
}

void worker_feed::applyRow(const store_row &row)
{
    if (row.isRemoved) {
        m_context.apply(worker_unlisted {row.place.key});
        return;
    }
    if (const auto worker = m_source.decode(row.place.key, row.value)) {
        m_context.apply(worker_listed {*worker});
        return;
    }
    m_context.measures.count("primrosecroft_worker_entries", "kind", "unreadable");
    m_context.log.write("cell", "worker-unreadable",
                        {{"worker", row.place.key}, {"version", std::to_string(row.version)}});
}

} // namespace primrosecroft
