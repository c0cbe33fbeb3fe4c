#pragma once

#include "core/types.h"
#include "io/peer_hub.h"
#include "store/store.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Decides where a process follows the configuration, in the store or at another process of its region, which reads it
 * from the store for all of them. queue_follower carries the actions out.
 */
namespace primrosecroft
{

/// What the owner told of the configuration's row last.
struct owner_word
{
    peer_address owner;
    instant sentAt; ///< when the question was sent to which this is the answer
    row_version rowVersion = 0; ///< that the owner has
    std::chrono::milliseconds confirmedAge {0}; ///< from the moment for which its row is confirmed to the question
};

/// What is known of the configuration's row and where it is followed. Changed only by the functions below.
struct following_state
{
    bool isReadDue = true; ///< the store's history doesn't reach back far enough for a poll, so the row has to be read
    row_version checkedVersion = 0; ///< all changes up to this version of the store are known
    row_version rowVersion = 0; ///< of the newest row received; 0 if there is none
    instant confirmedAt; ///< latest moment for which the newest row received is known to have been the store's newest
    std::optional<peer_address> source; ///< the process to ask, as an owner told; unset: the store
    instant sourceToldAt; ///< when the message was sent in whose answer an owner last told it
    instant sourcePausedUntil; ///< the source isn't asked before this moment
    std::chrono::milliseconds sourcePause {0}; ///< the latest one; 0 once the source has answered well
    bool isSourceAsked = false; ///< the latest call went to the source
    instant storeCalledAt; ///< when the latest call was sent to the store
    bool isProbing = false; ///< a probe of the store is in flight
    bool isStoreLost = false; ///< the latest call of the store failed, and nothing has been confirmed since
    bool isConfirmationDue = false; ///< the next poll of the store is to be answered soon
    instant sharedUntil; ///< until then other processes may ask this one, so its row is confirmed more often
    std::optional<owner_word> word; ///< the latest one
    std::optional<instant> behindSince; ///< when an owner first told a newer row than this process has
    bool isOwnerAsked = false; ///< a question to the owner is in flight
};

/// What a process tells another that asks it.
struct configuration_news
{
    row_version rowVersion = 0; ///< of the newest row that it has; 0 if it has none
    row_version checkedVersion = 0;
    /// From the moment for which its row is confirmed to the arrival of the question; negative if it was confirmed
    /// later than that. Unset if it never was.
    std::optional<std::chrono::milliseconds> confirmedAge;
    std::optional<std::string> value; ///< of the row; unset if the asker has it
    bool isTooLarge = false; ///< the row doesn't fit a message
};

/// The process starts to follow, or the pause after a failed call of the store is over.
struct following_due
{
};

/// A read or a poll of the store ended.
struct store_answered
{
    instant sentAt;
    bool isDone = false;
    bool isHistoryTruncated = false;
    row_version version = 0; ///< up to which the answer contains all changes
    std::vector<store_row> rows; ///< of the configuration, not removed
};

/// A call to the source ended.
struct source_answered
{
    instant sentAt;
    peer_address source;
    std::optional<configuration_news> news; ///< unset if there was no answer in time
};

/// A probe of the store ended.
struct probe_ended
{
};

/// The owner told which row it has.
struct owner_told
{
    owner_word word;
};

/// A call to the owner ended.
struct owner_answered
{
    instant sentAt;
    peer_address owner;
    std::optional<configuration_news> news; ///< unset if there was no answer in time
};

using following_message =
    std::variant<following_due, store_answered, source_answered, probe_ended, owner_told, owner_answered>;

struct read_store
{
};

struct poll_store
{
    row_version after = 0;
    std::chrono::milliseconds wait {0}; ///< for which the store waits for a change
};

/// Send the store a small read, by which this process learns whether it reaches the store. Others rely on that: the
/// owner in the choice of a successor, and this process in what it answers callers while there is no owner.
struct probe_store
{
};

struct ask_source
{
    peer_address source;
    row_version rowVersion = 0; ///< that this process has
    std::chrono::milliseconds wait {0}; ///< for which the source waits for news
    std::chrono::milliseconds timeout {0}; ///< for its answer
};

/// Ask the owner for its newer row, beside the call that is in flight.
struct ask_owner
{
    peer_address owner;
    row_version rowVersion = 0; ///< that this process has
    std::chrono::milliseconds timeout {0};
};

/// Send a following_due after this delay.
struct pause_following
{
    std::chrono::milliseconds delay {0};
};

struct apply_row
{
    store_row row;
    std::optional<peer_address> source; ///< the process that sent it; unset if it came from the store
};

struct report_store_lost
{
};

struct report_store_regained
{
};

struct report_history_gone
{
    row_version after = 0;
};

/// From now on the configuration is followed at the source, or, if that is unset, in the store.
struct report_place
{
    std::optional<peer_address> source;
};

struct report_source_lost
{
    peer_address source;
    const char *reason = "";
    std::chrono::milliseconds pause {0}; ///< for which it isn't asked again
};

using following_action =
    std::variant<read_store, poll_store, probe_store, ask_source, ask_owner, pause_following, apply_row,
                 report_store_lost, report_store_regained, report_history_gone, report_place, report_source_lost>;

/// Handles one message at time @p now. Returns the actions in their order; after a following_due, store_answered or
/// source_answered the last one leads to the next of these messages.
std::vector<following_action> step(following_state &state, const following_message &message, instant now);

/// Takes note of the source that an owner tells in the answer to a message sent at @p sentAt; unset if it is this
/// process itself. It is forgotten unless owners repeat it.
void tellSource(following_state &state, const std::optional<peer_address> &source, instant sentAt);

/// Takes note that another process asks this one.
void noteQuestion(following_state &state, instant now);

/// True if the store confirms the configuration to no process: this one can't reach it, and the owner is in contact but
/// has no recent confirmation either. An owner that the store turns away alone hands over.
bool isStoreOutForAll(const following_state &state, instant now);

/// Returns what this process tells another that asked at @p askedAt, without the value of the row.
configuration_news newsFor(const following_state &state, instant askedAt);

} // namespace primrosecroft
