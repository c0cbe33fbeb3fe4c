#pragma once

#include "io/timer.h"
#include "owner_session/runner_context.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace primrosecroft
{

/// Table of the store in which workers register, and the decoder of its rows.
struct worker_source
{
    std::string table;
    /// Returns std::nullopt if the text is invalid.
    std::function<std::optional<worker_description>(const worker_id &, const std::string &text)> decode;
};

/// Reads the workers' table of the store and follows its changes.
class worker_feed
{
public:
    worker_feed(const runner_context &context, const worker_source &source);

    /// Reads the whole table, repeatedly until it succeeds, and then calls @p done.
    void load(std::function<void()> done);

    /// Follows the changes since load().
    void follow();

    void stop();

private:
    void readAll();
    void readPage(const std::string &from, const std::shared_ptr<std::set<worker_id>> &seen,
                  std::optional<row_version> firstVersion);
    void finishReading(const std::set<worker_id> &seen, row_version version);
    void poll();
    void applyRow(const store_row &row);

    const runner_context &m_context;
    const worker_source &m_source;
    std::function<void()> m_loaded; ///< empty once load() is complete
    row_version m_after = 0; ///< changes up to this version have been read
    timer m_pollTimer;
    timer m_readTimer;
};

} // namespace primrosecroft
