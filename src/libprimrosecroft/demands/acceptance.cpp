#include "demands/acceptance.h"

namespace primrosecroft
{

namespace
{

/// Retries if the caller's deadline allows it. Otherwise answers that the demand was not run, or that this is unknown
/// if a commit may have taken effect.
acceptance_action retryOrEnd(const acceptance_state &state, instant now)
{
    if (now + state.retryDelay < state.deadline) {
        return wait_before_retry {state.retryDelay};
    }
    return state.mayExist ? acceptance_action(answer_unknown {}) : acceptance_action(answer_not_run {});
}

acceptance_action afterCommit(acceptance_state &state, store_outcome outcome, instant now)
{
    switch (outcome) {
    case store_outcome::done:
        return answer_accepted {};
    case store_outcome::conflict:
        state.mayExist = true; // the row under the key may be this demand's, from an earlier request
        return read_key {};
    case store_outcome::lost:
        state.mayExist = true;
        return retryOrEnd(state, now);
    case store_outcome::refused:
        return state.mayExist ? retryOrEnd(state, now) : answer_not_run {};
    }
    return answer_unknown {};
}

acceptance_action afterRead(acceptance_state &state, const key_read &read, instant now)
{
    if (!read.row) {
        return retryOrEnd(state, now);
    }
    if (!*read.row) {
        // An earlier commit without an answer may still take effect. A new one has the same condition, so only one of
        // the two can succeed, and the answer to the new one shows whether the row exists.
        return now < state.deadline ? acceptance_action(send_commit {}) : retryOrEnd(state, now);
    }
    const auto &found = **read.row;
    if (found.spec != state.row.spec) {
        return answer_conflict {};
    }
    state.row = found;
    return answer_accepted {};
}

} // namespace

acceptance_action step(acceptance_state &state, const acceptance_message &message, instant now)
{
    if (const auto *answered = std::get_if<acceptance_answered>(&message)) {
        return afterCommit(state, answered->outcome, now);
    }
    if (const auto *read = std::get_if<key_read>(&message)) {
        return afterRead(state, *read, now);
    }
    // A read rather than a commit, since it also shows whether the store can be reached again.
    return read_key {};
}

} // namespace primrosecroft
