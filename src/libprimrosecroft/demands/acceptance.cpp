#include "demands/acceptance.h"

namespace primrosecroft
{

namespace
{

/// Tries again while the caller's deadline allows, else ends with what is certain.
acceptance_action retryOrEnd(const acceptance_state &state, instant now)
{
    if (now + state.retryInterval < state.deadline) {
        return wait_before_retry {state.retryInterval};
    }
    return state.mayExist ? acceptance_action(answer_unknown {}) : acceptance_action(answer_not_run {});
}

acceptance_action afterCommit(acceptance_state &state, store_outcome outcome, instant now)
{
    switch (outcome) {
    case store_outcome::done:
        return answer_accepted {};
    case store_outcome::conflict:
        state.mayExist = true; // some row has the key, perhaps this demand's from an earlier request
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
        // A lost commit may still be on its way; another one with the same condition settles it.
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
    // A read also finds out whether the store is back.
    return read_key {};
}

} // namespace primrosecroft
