#pragma once

#include "core/types.h"
#include "io/peer_hub.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Who owns a shard. One row in the store says so; the version under which it was last taken
 * is the owner's fencing token, and each of the owner's writes names that version as its
 * condition. A second row, renewed by the owner, shows others that it is alive. Nothing here
 * is needed for safety but the conditions: a wrong suspicion costs a take-over, no promise.
 *
 * Decided by step(), without I/O or clock.
 */
namespace primrosecroft
{

struct owner_row
{
    process_id process;
    std::int64_t incarnation = 0; ///< of the process, so that its restart is told apart
    peer_address address;
    std::int64_t term = 0; ///< number of take-overs before
    bool resigned = false; ///< anybody may take it at once

    friend bool operator==(const owner_row &, const owner_row &) = default;
};

row_place ownerPlace();
row_place renewalPlace();
std::string encodeOwner(const owner_row &row);

/// Throws error when @p row is no such text.
owner_row decodeOwner(const std::string &row);

struct leadership_settings
{
    process_id process;
    std::int64_t incarnation = 0;
    peer_address address;
    std::chrono::milliseconds suspicionTimeout {600}; ///< without a word of the owner its renewals are watched
    std::chrono::milliseconds renewalTimeout {500}; ///< watched for so long without a renewal, it is taken for gone
    std::chrono::milliseconds suspicionPollInterval {150}; ///< between two looks at its renewals
    std::chrono::milliseconds pollInterval {3'000}; ///< between two looks while all is well
    std::chrono::milliseconds retryInterval {200}; ///< after a store call that failed
};

// --- what the core is told

/// The owner's row and its renewal, as read from the store.
struct owner_poll_answered
{
    store_outcome outcome = store_outcome::lost;
    std::optional<owner_row> row;
    row_version version = 0;
    row_version renewal = 0;
    std::chrono::milliseconds storeRoundTrip {0}; ///< the store's distance
};

/// The owner has answered.
struct owner_answer_received
{
    process_id process;
    row_version token = 0;
};

/// Nobody listens at the owner's address: its process has ended.
struct owner_connection_refused
{
};

/// A peer says who owns.
struct owner_reported
{
    owner_row row;
    row_version version = 0;
};

/// The owner asks this process to take over.
struct handover_requested
{
    row_version token = 0;
};

struct take_over_answered
{
    store_outcome outcome = store_outcome::lost;
    row_version version = 0;
};

/// One of the owner's writes met another owner's row, or a worker obeys a later one.
struct ownership_lost
{
};

/// The process is about to leave: it takes nothing over any more.
struct leave_requested
{
};

/// Ownership is to be given up, though nobody has taken over.
struct resign_requested
{
};

struct leadership_tick
{
};

using leadership_message = std::variant<owner_poll_answered, owner_answer_received, owner_connection_refused,
                                        owner_reported, handover_requested, take_over_answered, ownership_lost,
                                        leave_requested, resign_requested, leadership_tick>;

// --- what it asks for

struct poll_owner
{
};

struct take_ownership
{
    row_version expected = 0; ///< version that the row must have; 0 when there is none
    owner_row row;
};

struct begin_ownership
{
    row_version token = 0;
    std::int64_t term = 0;
};

struct end_ownership
{
    std::string reason;
};

struct write_resignation
{
    row_version expected = 0;
    owner_row row;
};

struct report_owner
{
    owner_row row;
    row_version version = 0;
};

using leadership_action =
    std::variant<poll_owner, take_ownership, begin_ownership, end_ownership, write_resignation, report_owner>;

struct leadership_state
{
    leadership_settings settings;
    std::optional<owner_row> owner; ///< as known; none before the first look
    row_version version = 0; ///< of that row
    bool hasPolled = false;
    bool owns = false;
    bool isLeaving = false;
    bool isPolling = false;
    bool isTaking = false;
    bool isConnectionRefused = false; ///< the owner's process has ended
    bool isHandoverRequested = false;
    instant lastContactAt;
    instant nextPoll;
    std::optional<instant> takeOverAt;
    row_version renewal = 0;
    instant renewalUnchangedSince; ///< the renewal has been the same since, as far as watched
    bool isOwnerSuspected = false;
    std::chrono::milliseconds storeRoundTrip {0};
};

leadership_state makeLeadership(const leadership_settings &settings, instant now);

std::vector<leadership_action> step(leadership_state &state, const leadership_message &message, instant now);

} // namespace primrosecroft
