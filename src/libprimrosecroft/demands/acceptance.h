#pragma once

#include "demands/demand_row.h"
#include "store/store.h"

#include <chrono>
#include <optional>
#include <variant>

/**
 * How one demand comes to be accepted: commit, a lost answer, and the retry by its
 * key. Pure decisions; the demand service carries the actions out.
 */
namespace primrosecroft
{

/// Where the acceptance of one demand stands.
struct acceptance_state
{
    demand_row row;
    instant deadline; ///< the caller has its answer by then
    std::chrono::milliseconds retryInterval {250};
    bool mayExist = false; ///< a commit of this row may have taken effect
};

/// The store answered a commit of the row, which is conditional on there being none.
struct acceptance_answered
{
    store_outcome outcome = store_outcome::lost;
};

/// The store answered a read of the key. No value: it could not be read.
struct key_read
{
    std::optional<std::optional<demand_row>> row;
};

/// The pause before another try is over.
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

/// Another demand has the key; nothing was written.
struct answer_conflict
{
};

/// The store is out of reach and no commit of this request was sent.
struct answer_not_run
{
};

/// A commit may have taken effect; the caller is told where to ask.
struct answer_unknown
{
};

using acceptance_action = std::variant<send_commit, read_key, wait_before_retry, answer_accepted, answer_conflict,
                                       answer_not_run, answer_unknown>;

/// The one next action after @p message.
acceptance_action step(acceptance_state &state, const acceptance_message &message, instant now);

} // namespace primrosecroft
