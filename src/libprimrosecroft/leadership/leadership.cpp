#include "leadership/leadership.h"

#include "core/error.h"
#include "core/overloaded.h"
#include "core/row_value.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

/// Round trips to the store that a process waits before it takes over, so that one nearer to the store comes first.
constexpr int roundTripFactor = 3;
constexpr std::size_t maxJitter = 40; ///< milliseconds over which processes with equal round trips spread take-overs
/// Longer than the interval between the messages that show a refused connection, so that a strong process comes first.
constexpr auto weakSuccessorDelay = 250ms;
constexpr std::int64_t maxTerm = 4'000'000; ///< of a row that is read; the numbers of attempts grow by 1000 each term
/// An ownership that lasted for this long wasn't in vain, so the take-over after it is a first one.
constexpr auto minOwnershipTime = 10s;
constexpr std::int32_t maxDoubtfulTakeOvers = 2; ///< that make the next one wait longer
constexpr auto maxRoundTripDelay = 250ms; ///< limit on that wait, without the jitter

/// True if this run of the process wrote the row.
bool isOwn(const leadership_state &state, const owner_row &row)
{
    return row.process == state.settings.process && row.incarnation == state.settings.incarnation;
}

/// True if this process can't carry what the owner of the latest known row could.
bool isWeakSuccessor(const leadership_state &state)
{
    return state.owner && isMuchWeaker(state.settings.capacity, state.owner->capacity);
}

std::chrono::milliseconds takeOverDelay(const leadership_state &state)
{
    const auto jitter = std::hash<std::string> {}(state.settings.process) % maxJitter;
    return std::min<std::chrono::milliseconds>(maxRoundTripDelay, roundTripFactor * state.storeRoundTrip)
        + std::chrono::milliseconds(jitter) + (isWeakSuccessor(state) ? weakSuccessorDelay : 0ms);
}

/// True if the owner of the latest row has ended or given up the ownership for certain.
bool hasEndedForCertain(const leadership_state &state)
{
    return state.owner->process == state.settings.process || state.isConnectionRefused || state.owner->hasResigned;
}

std::int32_t doubtfulTakeOvers(const leadership_state &state)
{
    if (!state.owner || state.owner->takenAt.count() == 0
        || state.storeTime >= state.owner->takenAt + minOwnershipTime) {
        return 0;
    }
    return std::min(state.owner->doubtfulTakeOvers + (hasEndedForCertain(state) ? 0 : 1), maxDoubtfulTakeOvers);
}

owner_row makeOwnRow(const leadership_state &state)
{
    owner_row row;
    row.process = state.settings.process;
    row.incarnation = state.settings.incarnation;
    row.address = state.settings.address;
    row.term = state.owner ? state.owner->term + 1 : 0;
    row.capacity = state.settings.capacity;
    row.takenAt = state.storeTime;
    row.doubtfulTakeOvers = doubtfulTakeOvers(state);
    return row;
}

void poll(leadership_state &state, std::vector<leadership_action> &actions)
{
    if (!state.isPolling) {
        state.isPolling = true;
        actions.emplace_back(poll_owner {});
    }
}

void takeOver(leadership_state &state, std::vector<leadership_action> &actions)
{
    if (state.isTakingOver || state.owns || state.isLeaving) {
        return;
    }
    state.isTakingOver = true;
    state.takeOverAt.reset();
    actions.emplace_back(take_ownership {state.version, makeOwnRow(state)});
}

void beginOwnership(leadership_state &state, const owner_row &row, row_version version,
                    std::vector<leadership_action> &actions)
{
    state.owns = true;
    state.takeOverAt.reset();
    state.owner = row;
    state.version = version;
    actions.emplace_back(begin_ownership {version, row.term});
}

/// Ends the ownership if this process has it.
void endOwnership(leadership_state &state, const std::string &reason, std::vector<leadership_action> &actions)
{
    if (state.owns) {
        state.owns = false;
        actions.emplace_back(end_ownership {reason});
    }
}

/// Makes a newer row the known one. Its owner gets the full suspicionTimeout to answer.
void adopt(leadership_state &state, const owner_row &row, row_version version, instant now,
           std::vector<leadership_action> &actions)
{
    if (version <= state.version) {
        return;
    }
    endOwnership(state, "another process has taken over", actions);
    state.owner = row;
    state.version = version;
    state.isConnectionRefused = false;
    state.isHandoverRequested = false;
    state.isOwnerSuspected = false;
    state.takeOverAt.reset();
    state.lastContactAt = now;
    if (isOwn(state, row) && !row.hasResigned && !state.isLeaving) {
        beginOwnership(state, row, version, actions);
        return;
    }
    actions.emplace_back(report_owner {row, version});
}

/// The store read the renewal between the sending of the poll and its answer. So it was unchanged at least from the
/// first answer that showed it until the latest poll was sent, however long the answers took.
void recordRenewal(leadership_state &state, const owner_poll_answered &answer, instant now)
{
    if (!state.renewal || state.renewal->version != answer.renewal) {
        state.renewal = observed_renewal {answer.renewal, now, now};
        return;
    }
    state.renewal->unchangedUntil = std::max(state.renewal->unchangedUntil, now - answer.storeRoundTrip);
}

void handlePoll(leadership_state &state, const owner_poll_answered &answer, instant now,
                std::vector<leadership_action> &actions)
{
    state.isPolling = false;
    if (answer.outcome != store_outcome::done) {
        state.nextPollAt = now + state.settings.retryDelay;
        return;
    }
    state.storeRoundTrip = state.storeRoundTrip.count() == 0
        ? answer.storeRoundTrip
        : std::min(state.storeRoundTrip * 2, answer.storeRoundTrip);
    state.hasPolled = true;
    state.nextPollAt =
        now + (state.isOwnerSuspected ? state.settings.suspicionPollInterval : state.settings.pollInterval);
    if (!answer.row) {
        if (!state.owner && !state.takeOverAt) {
            state.takeOverAt = now + takeOverDelay(state);
        }
        return;
    }
    adopt(state, *answer.row, answer.version, now, actions);
    recordRenewal(state, answer, now);
}

/// True if the store has shown that the owner didn't renew for long enough. Polls without an answer show nothing.
bool hasOwnerFailed(const leadership_state &state)
{
    return state.isOwnerSuspected && unrenewedTime(state) >= patienceWith(*state.owner) * state.settings.renewalTimeout;
}

void tick(leadership_state &state, instant now, std::vector<leadership_action> &actions)
{
    if (state.owns) {
        return;
    }
    // A leaving process also keeps track of the owner, because it forwards requests to the next one.
    if (state.hasPolled && state.owner) {
        const bool isOverdue =
            now >= state.lastContactAt + patienceWith(*state.owner) * state.settings.suspicionTimeout;
        if (isOverdue && !state.isOwnerSuspected) {
            state.isOwnerSuspected = true;
            state.renewal.reset();
            state.nextPollAt = now;
        } else if (!isOverdue) {
            state.isOwnerSuspected = false;
        }
        // The row names an earlier run of this process, which has ended for certain: there is nothing to wait for,
        // unless its VM has been replaced by a much weaker one.
        const bool isFormerSelf = state.owner->process == state.settings.process && !isOwn(state, *state.owner);
        const bool hasEnded =
            isFormerSelf || state.isConnectionRefused || state.owner->hasResigned || hasOwnerFailed(state);
        if (state.isHandoverRequested || (isFormerSelf && !isWeakSuccessor(state))) {
            takeOver(state, actions);
        } else if (hasEnded && !state.takeOverAt) {
            state.takeOverAt = now + takeOverDelay(state);
        } else if (!hasEnded) {
            state.takeOverAt.reset(); // the owner has answered or renewed again
        }
    }
    if (state.takeOverAt && now >= *state.takeOverAt) {
        takeOver(state, actions);
    }
    if (now >= state.nextPollAt && !state.isTakingOver) {
        poll(state, actions);
    }
}

json encodeAmount(const std::optional<std::int64_t> &amount)
{
    return amount ? json(*amount) : json();
}

/// Returns std::nullopt if the writer didn't know the amount, or is of an earlier build and wrote no such element.
std::optional<std::int64_t> decodeAmount(const json &row, std::size_t index)
{
    if (index >= row.size() || row.at(index).is_null()) {
        return std::nullopt;
    }
    return row.at(index).get<std::int64_t>();
}

} // namespace

int patienceWith(const owner_row &row)
{
    return 1 << row.doubtfulTakeOvers;
}

row_place ownerPlace()
{
    return {cellTable, shardPartition, "owner"};
}

row_place renewalPlace()
{
    return {cellTable, shardPartition, "renewal"};
}

std::string encodeOwner(const owner_row &row)
{
    std::string result;
    // New elements go to the end: an earlier build reads those that it knows by their place.
    json::to_cbor(json::array({row.process, row.incarnation, row.address.address, row.address.port, row.term,
                               row.hasResigned, encodeAmount(row.capacity.milliCores),
                               encodeAmount(row.capacity.linkMbps), row.takenAt.count(), row.doubtfulTakeOvers}),
                  result);
    return result;
}

owner_row decodeOwner(const std::string &row)
{
    try {
        const auto parsed = json::from_cbor(row);
        owner_row result;
        result.process = rowValue<std::string>(parsed.at(0));
        result.incarnation = rowValue<std::int64_t>(parsed.at(1));
        result.address = {rowValue<std::string>(parsed.at(2)), rowValue<std::uint16_t>(parsed.at(3))};
        result.term = rowNumber<std::int64_t>(parsed.at(4), 0, maxTerm);
        result.hasResigned = rowValue<bool>(parsed.at(5));
        result.capacity = {decodeAmount(parsed, 6), decodeAmount(parsed, 7)};
        if (parsed.size() > 9) { // the row of an earlier build is shorter
            result.takenAt = std::chrono::milliseconds(
                rowNumber<std::int64_t>(parsed.at(8), 0, std::numeric_limits<std::int64_t>::max()));
            result.doubtfulTakeOvers = rowNumber<std::int32_t>(parsed.at(9), 0, maxDoubtfulTakeOvers);
        }
        return result;
    } catch (const json::exception &fault) {
        throw error("decode owner row", "", fault.what());
    }
}

owner_poll_answered ownerPollOf(const range_result &result, std::chrono::milliseconds storeRoundTrip)
{
    owner_poll_answered answer;
    answer.outcome = result.outcome;
    answer.storeRoundTrip = storeRoundTrip;
    answer.renewal = versionOf(result.rows, renewalPlace());
    const auto owner = std::ranges::find(result.rows, ownerPlace(), &store_row::place);
    if (owner == result.rows.end()) {
        return answer;
    }
    try {
        answer.row = decodeOwner(owner->value);
        answer.version = owner->version;
    } catch (const error &fault) {
        answer.outcome = store_outcome::lost;
        answer.fault = fault.what();
    }
    return answer;
}

std::chrono::milliseconds unrenewedTime(const leadership_state &state)
{
    if (!state.renewal) {
        return 0ms;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(state.renewal->unchangedUntil
                                                                 - state.renewal->firstSeenAt);
}

leadership_state makeLeadership(const leadership_settings &settings, instant now)
{
    leadership_state state;
    state.settings = settings;
    state.lastContactAt = now;
    state.nextPollAt = now;
    return state;
}

std::vector<leadership_action> step(leadership_state &state, const leadership_message &message, instant now)
{
    std::vector<leadership_action> actions;
    std::visit(
        overloaded {
            [&](const owner_poll_answered &answer) { handlePoll(state, answer, now, actions); },
            [&](const owner_answer_received &answer) {
                if (state.owner && answer.process == state.owner->process && answer.token == state.version) {
                    state.lastContactAt = now;
                    state.isConnectionRefused = false;
                }
            },
            [&](const owner_connection_refused &) { state.isConnectionRefused = !state.owns; },
            [&](const owner_reported &report) { adopt(state, report.row, report.version, now, actions); },
            [&](const handover_requested &request) { state.isHandoverRequested = request.token == state.version; },
            [&](const take_over_answered &answer) {
                state.isTakingOver = false;
                state.isHandoverRequested = false;
                if (answer.outcome == store_outcome::done) {
                    if (answer.version > state.version) {
                        beginOwnership(state, makeOwnRow(state), answer.version, actions);
                    }
                    return;
                }
                state.takeOverAt.reset();
                state.hasPolled = false;
                state.nextPollAt = now;
            },
            [&](const ownership_lost &) {
                endOwnership(state, "another owner's row or a worker that obeys a later owner was found", actions);
                state.nextPollAt = now;
                state.lastContactAt = now;
            },
            [&](const leave_requested &) { state.isLeaving = true; },
            [&](const resign_requested &) {
                if (state.owns) {
                    auto row = *state.owner;
                    row.hasResigned = true;
                    endOwnership(state, "this process resigns", actions);
                    actions.emplace_back(write_resignation {state.version, row});
                }
                state.isLeaving = true;
            },
            [&](const leadership_ticked &tick) { state.storeTime = tick.storeTime; },
        },
        message);
    tick(state, now, actions);
    return actions;
}

} // namespace primrosecroft
