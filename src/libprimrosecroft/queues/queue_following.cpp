#include "queues/queue_following.h"

#include "core/overloaded.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// How long a poll waits for a change. Limits how long it goes unnoticed that polls are no longer answered.
constexpr milliseconds pollWait = 800ms;

/// How long a poll of a process that others ask waits. Their confirmations are as old as its own when they arrive, and
/// must stay younger than maxSourceAge until the next one.
constexpr milliseconds sharedPollWait = 400ms;

constexpr milliseconds shortPollWait = 100ms; ///< of a poll whose purpose is a confirmation
constexpr milliseconds retryDelay = 150ms; ///< after a failed call of the store
/// Between two calls of the store while the source is asked. The store then counts as reachable all the time.
constexpr milliseconds probeInterval = 700ms;

constexpr milliseconds sourceTimeout = 500ms; ///< in addition to pollWait

/// The source is given up before the confirmation is older than this, so that the store can still confirm the row
/// before the process counts as not ready.
constexpr milliseconds maxSourceAge = 1'800ms;
constexpr milliseconds minSourceTime = 500ms; ///< the source isn't asked if it has less time than this to answer

constexpr milliseconds sourceLifetime = 5s; ///< after the last word of an owner; a take-over doesn't last as long
constexpr milliseconds askedLifetime = 2s; ///< a process that others ask is asked at least this often
constexpr milliseconds minSourcePause = 3s; ///< after the first failure; doubles with each further one in a row
constexpr milliseconds maxSourcePause = 30s;

/// A process that is behind the owner asks it at once if it doesn't reach the store. Otherwise the change is on its
/// way, and a second transfer would delay it: the owner is asked when the confirmation gets this old, shortly before a
/// source is given up, or without a source after this time, if that is sooner.
constexpr milliseconds ownerAskAge = 1'600ms;
constexpr milliseconds ownerAskDelay = 700ms;
constexpr milliseconds ownerAskTimeout = 1s; ///< then the next word of the owner leads to another question

constexpr milliseconds ownerContactTimeout = 1'200ms; ///< since the last word
constexpr milliseconds maxConfirmedAge = 1'500ms; ///< of a row that is followed in a store which answers

using action_list = std::vector<following_action>;

bool isFreshEnoughToAsk(const following_state &state, instant now)
{
    return state.confirmedAt + maxSourceAge - minSourceTime >= now;
}

bool hasUsableSource(const following_state &state, instant now)
{
    return state.source && state.sourceToldAt + sourceLifetime > now && state.sourcePausedUntil <= now;
}

void setPlace(following_state &state, bool isSource, action_list &actions)
{
    if (std::exchange(state.isSourceAsked, isSource) != isSource) {
        actions.emplace_back(report_place {isSource ? state.source : std::nullopt});
    }
}

milliseconds timeoutOfSource(const following_state &state, instant now)
{
    const auto longest = pollWait + sourceTimeout;
    if (!isFreshEnoughToAsk(state, now)) {
        return longest; // the store doesn't answer, so there is no better way to a confirmation
    }
    return std::min(longest, std::chrono::duration_cast<milliseconds>(state.confirmedAt + maxSourceAge - now));
}

milliseconds waitOfStore(const following_state &state, bool isConfirmationDue, instant now)
{
    if (isConfirmationDue) {
        return shortPollWait;
    }
    return state.sharedUntil > now ? sharedPollWait : pollWait;
}

void probe(following_state &state, instant now, action_list &actions)
{
    if (!state.isProbing && state.storeCalledAt + probeInterval <= now) {
        state.isProbing = true;
        state.storeCalledAt = now;
        actions.emplace_back(probe_store {});
    }
}

/// Adds the next call, to the source or to the store.
void proceed(following_state &state, instant now, action_list &actions)
{
    const bool hasSource = hasUsableSource(state, now);
    if (hasSource && (isFreshEnoughToAsk(state, now) || state.isStoreLost)) {
        setPlace(state, true, actions);
        probe(state, now, actions);
        actions.emplace_back(ask_source {*state.source, state.rowVersion, pollWait, timeoutOfSource(state, now)});
        return;
    }
    setPlace(state, false, actions);
    state.storeCalledAt = now;
    if (state.isReadDue) {
        actions.emplace_back(read_store {});
        return;
    }
    // With a source, the process only lacks a recent confirmation to begin with.
    const bool isConfirmationDue = std::exchange(state.isConfirmationDue, false) || hasSource;
    actions.emplace_back(poll_store {state.checkedVersion, waitOfStore(state, isConfirmationDue, now)});
}

void confirm(following_state &state, instant confirmedAt, action_list &actions)
{
    state.confirmedAt = std::max(state.confirmedAt, confirmedAt);
    if (std::exchange(state.isStoreLost, false)) {
        actions.emplace_back(report_store_regained {});
    }
}

void handleStoreAnswer(following_state &state, const store_answered &answer, instant now, action_list &actions)
{
    if (!answer.isDone) {
        if (!std::exchange(state.isStoreLost, true)) {
            actions.emplace_back(report_store_lost {});
        }
        actions.emplace_back(pause_following {retryDelay});
        return;
    }
    if (answer.isHistoryTruncated) {
        actions.emplace_back(report_history_gone {state.checkedVersion});
        state.isReadDue = true;
        proceed(state, now, actions);
        return;
    }
    confirm(state, answer.sentAt, actions);
    state.isReadDue = false;
    state.checkedVersion = std::max(state.checkedVersion, answer.version);
    for (const auto &row : answer.rows) {
        state.rowVersion = std::max(state.rowVersion, row.version);
        actions.emplace_back(apply_row {row, std::nullopt});
    }
    proceed(state, now, actions);
}

/// Takes what the process @p from tells. Returns false if this process still lacks its row.
bool takeNews(following_state &state, const configuration_news &news, const peer_address &from, action_list &actions)
{
    if (news.rowVersion > state.rowVersion) {
        if (!news.value) {
            return false;
        }
        state.rowVersion = news.rowVersion;
        apply_row received;
        received.row.value = *news.value;
        received.row.version = news.rowVersion;
        received.source = from;
        actions.emplace_back(std::move(received));
    }
    state.checkedVersion = std::max(state.checkedVersion, news.checkedVersion);
    return true;
}

/// Takes the source's answer. Returns why the source is of no use for now, or nullptr if it is.
const char *faultOf(following_state &state, const source_answered &answer, instant now, action_list &actions)
{
    if (!answer.news) {
        return "no-answer";
    }
    if (!takeNews(state, *answer.news, answer.source, actions)) {
        return answer.news->isTooLarge ? "too-large" : "no-value";
    }
    if (!answer.news->confirmedAge) {
        return "unconfirmed";
    }
    // The source got the question after it was sent, so its confirmation is no older than this.
    const auto confirmedAt = std::min<instant>(answer.sentAt - *answer.news->confirmedAge, now);
    if (confirmedAt + maxSourceAge - minSourceTime < now) {
        state.confirmedAt = std::max(state.confirmedAt, confirmedAt);
        return "old";
    }
    state.isReadDue = false; // the source has read the row
    confirm(state, confirmedAt, actions);
    return nullptr;
}

void handleSourceAnswer(following_state &state, const source_answered &answer, instant now, action_list &actions)
{
    const auto *fault = faultOf(state, answer, now, actions);
    if (fault == nullptr) {
        state.sourcePause = 0ms;
        proceed(state, now, actions);
        return;
    }
    state.sourcePause = std::clamp(2 * state.sourcePause, minSourcePause, maxSourcePause);
    state.sourcePausedUntil = now + state.sourcePause;
    state.isConfirmationDue = true;
    actions.emplace_back(report_source_lost {answer.source, fault, state.sourcePause});
    proceed(state, now, actions);
}

/// When a process that is behind is to ask the owner.
instant ownerQuestionDueAt(const following_state &state, instant now)
{
    const instant latest = state.confirmedAt + ownerAskAge;
    if (hasUsableSource(state, now)) {
        return latest;
    }
    return std::min<instant>(latest, *state.behindSince + (state.isStoreLost ? 0ms : ownerAskDelay));
}

/// Takes the owner's word: it confirms this process's row, or shows that this process is behind.
void handleOwnerWord(following_state &state, const owner_word &word, instant now, action_list &actions)
{
    if (state.word && word.sentAt < state.word->sentAt) {
        return;
    }
    state.word = word;
    if (word.rowVersion <= state.rowVersion) {
        // The owner got the question after it was sent, so its confirmation is no older than this.
        state.confirmedAt = std::max(state.confirmedAt, std::min<instant>(word.sentAt - word.confirmedAge, now));
        state.behindSince.reset();
        return;
    }
    state.behindSince = state.behindSince.value_or(now);
    if (!state.isOwnerAsked && ownerQuestionDueAt(state, now) <= now) {
        state.isOwnerAsked = true;
        actions.emplace_back(ask_owner {word.owner, state.rowVersion, ownerAskTimeout});
    }
}

void handleOwnerAnswer(following_state &state, const owner_answered &answer, instant now, action_list &actions)
{
    state.isOwnerAsked = false;
    if (!answer.news || !takeNews(state, *answer.news, answer.owner, actions)) {
        return;
    }
    state.behindSince.reset();
    if (answer.news->confirmedAge) {
        state.isReadDue = false; // the owner, or whoever it has the row from, has read it
        state.confirmedAt =
            std::max(state.confirmedAt, std::min<instant>(answer.sentAt - *answer.news->confirmedAge, now));
    }
}

} // namespace

std::vector<following_action> step(following_state &state, const following_message &message, instant now)
{
    action_list actions;
    std::visit(overloaded {
                   [&](const following_due &) { proceed(state, now, actions); },
                   [&](const store_answered &answer) { handleStoreAnswer(state, answer, now, actions); },
                   [&](const source_answered &answer) { handleSourceAnswer(state, answer, now, actions); },
                   [&](const probe_ended &) { state.isProbing = false; },
                   [&](const owner_told &told) { handleOwnerWord(state, told.word, now, actions); },
                   [&](const owner_answered &answer) { handleOwnerAnswer(state, answer, now, actions); },
               },
               message);
    return actions;
}

void tellSource(following_state &state, const std::optional<peer_address> &source, instant sentAt)
{
    state.source = source;
    state.sourceToldAt = sentAt;
    if (!source) {
        state.sharedUntil = std::max<instant>(state.sharedUntil, sentAt + sourceLifetime);
    }
}

void noteQuestion(following_state &state, instant now)
{
    state.sharedUntil = std::max<instant>(state.sharedUntil, now + askedLifetime);
}

bool isStoreOutForAll(const following_state &state, instant now)
{
    return state.isStoreLost && state.word && state.word->sentAt + ownerContactTimeout > now
        && state.word->confirmedAge > maxConfirmedAge;
}

configuration_news newsFor(const following_state &state, instant askedAt)
{
    configuration_news result;
    result.rowVersion = state.rowVersion;
    result.checkedVersion = state.checkedVersion;
    if (state.confirmedAt != instant {}) {
        // Rounded up, so that the asker never counts the row as confirmed later than it was.
        result.confirmedAge = std::chrono::ceil<milliseconds>(askedAt - state.confirmedAt);
    }
    return result;
}

} // namespace primrosecroft
