#pragma once

#include "cell/runner_context.h"
#include "io/timer.h"

#include <functional>

namespace primrosecroft
{

/// Calls by which inbox_reader uses the other parts of its session.
struct inbox_links
{
    std::function<void(const job_id &id, std::function<void(bool isRead)> done)> readJob;
    std::function<void(std::function<void(bool isRead)> done)> readRules;
    std::function<void(store_transaction transaction)> commit; ///< under the condition of ownership
};

/// Follows the owner's inbox: ids of jobs whose notice could not be sent to the owner, and the notice of changed rules.
class inbox_reader
{
public:
    inbox_reader(const runner_context &context, inbox_links links);

    /// Follows the changes after the version @p after. The stored state has been read at that version or later.
    void follow(row_version after);

    /// Called when a read of a job has failed: reads the whole inbox again.
    void readAgain();

    void stop();

private:
    void poll();
    void readAll();
    void handleRow(const store_row &row);
    void clear(const store_row &row);

    const runner_context &m_context;
    inbox_links m_links;
    row_version m_after = 0; ///< changes up to this version have been read; 0: the whole inbox is read again
    timer m_timer;
};

} // namespace primrosecroft
