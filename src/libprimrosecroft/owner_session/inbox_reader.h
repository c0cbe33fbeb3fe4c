#pragma once

#include "io/timer.h"
#include "owner_session/runner_context.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Calls by which inbox_reader uses the other parts of its session.
struct inbox_links
{
    std::function<void(const job_id &id, std::function<void(bool isRead)> done)> readJob;
    std::function<void(std::function<void(bool isRead)> done)> readRules;
    std::function<void(store_transaction transaction)> commit; ///< under the condition of ownership
};

/**
 * Reads the jobs that notices name, and the rules if they have changed. Notices arrive as messages
 * or, if none could be sent to the owner, as rows in its inbox. A read that fails is repeated.
 */
class inbox_reader
{
public:
    inbox_reader(const runner_context &context, inbox_links links);

    /// Follows the changes of the inbox after the version @p after. The stored state has been read at that version or
    /// later.
    void follow(row_version after);

    /// Reads a job.
    void readJob(const job_id &id);

    void stop();

private:
    /// The row of a notice that came through the inbox. It is removed once its notice has been handled.
    using inbox_row = std::optional<store_row>;

    void poll();
    void readPage(const std::string &from, std::optional<row_version> firstVersion);
    void handleRow(const store_row &row);
    void read(const std::string &key, const inbox_row &row);
    void finishRead(const std::string &key, const inbox_row &row, bool isRead);
    void repeatRead();
    void clear(const store_row &row);

    const runner_context &m_context;
    inbox_links m_links;
    row_version m_after = 0; ///< changes up to this version have been read
    std::map<std::string, inbox_row>
        m_failedReads; ///< reads to be repeated, by the key that the notice has in an inbox
    std::string m_lastRepeated; ///< key of the read that was repeated last
    bool m_isRepeating = false; ///< that read is pending
    timer m_pollTimer;
    timer m_repeatTimer;
};

} // namespace primrosecroft
