#pragma once

#include "demands/demand_row.h"
#include "store/store.h"

#include <chrono>
#include <optional>
#include <variant>

/**
 * Decides how one demand is accepted: commits its row, reads the row back by its key after a
 * conflict or a lost answer, and retries. Does no I/O and reads no clock; the demand service
 * carries the actions out.
 */
namespace primrosecroft
{

/// State of the acceptance of one demand.
struct acceptance_state
{
    demand_row row;
    instant deadline; ///< no retry starts after it, so that the caller is answered soon after it at the latest
    std::chrono::milliseconds retryDelay {250};
    bool mayExist = false; ///< a commit of this row, by this or an earlier request, may have taken effect
};

/// The store's answer to a commit of the row. The commit is conditional on there being no row under the key.
struct acceptance_answered
{
    store_outcome outcome = store_outcome::lost;
};

/// The result of reading the row under the key.
struct key_read
{
    std::optional<std::optional<demand_row>> row; ///< outer std::nullopt: the read failed; inner: there is no row
};

/// The pause before the next attempt is over.
struct retry_due
{
};

using acceptance_message = std::variant<acceptance_answered, key_read, retry_due>;

struct send_commit
{
};

struct read_key
{
};

struct wait_before_retry
{
    std::chrono::milliseconds pause;
};

/// The row is committed, by this request or by an earlier one with the same demand.
struct answer_accepted
{
};

/// The key belongs to another demand; nothing was written.
struct answer_conflict
{
};

/// The store can't be reached, and no commit of this row can have taken effect.
struct answer_not_run
{
};

/// A commit may have taken effect. The answer names the path for asking for the state of the demand.
struct answer_unknown
{
};

using acceptance_action = std::variant<send_commit, read_key, wait_before_retry, answer_accepted, answer_conflict,
                                       answer_not_run, answer_unknown>;

/// Returns the next action after @p message.
acceptance_action step(acceptance_state &state, const acceptance_message &message, instant now);

} // namespace primrosecroft
