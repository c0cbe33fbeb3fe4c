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
    std::chrono::milliseconds silence {600}; ///< without a word of the owner its renewals are watched
    std::chrono::milliseconds stillness {500}; ///< watched for so long without a renewal, it is taken for gone
    std::chrono::milliseconds watchInterval {150}; ///< between two looks at its renewals
    std::chrono::milliseconds lookInterval {3'000}; ///< between two looks while all is well
    std::chrono::milliseconds retryInterval {200}; ///< after a store call that failed
};

// --- what the core is told

/// The owner's row and its renewal, as read from the store.
struct owner_seen
{
    store_outcome outcome = store_outcome::lost;
    std::optional<owner_row> row;
    row_version version = 0;
    row_version renewal = 0;
    std::chrono::milliseconds took {0}; ///< the store's distance
};

/// The owner has answered.
struct owner_heard
{
    process_id process;
    row_version token = 0;
};

/// Nobody listens at the owner's address: its process has ended.
struct owner_refuses
{
};

/// A peer says who owns.
struct owner_told
{
    owner_row row;
    row_version version = 0;
};

/// The owner asks this process to take over.
struct handover_asked
{
    row_version token = 0;
};

struct take_answered
{
    store_outcome outcome = store_outcome::lost;
    row_version version = 0;
};

/// One of the owner's writes met another owner's row, or a worker obeys a later one.
struct ownership_lost
{
};

/// The process is about to leave: it takes nothing over any more.
struct leave_asked
{
};

/// Ownership is to be given up, though nobody has taken over.
struct resign_asked
{
};

struct leadership_tick
{
};

using leadership_message = std::variant<owner_seen, owner_heard, owner_refuses, owner_told, handover_asked,
                                        take_answered, ownership_lost, leave_asked, resign_asked, leadership_tick>;

// --- what it asks for

struct look_at_owner
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
    std::variant<look_at_owner, take_ownership, begin_ownership, end_ownership, write_resignation, report_owner>;

struct leadership_state
{
    leadership_settings settings;
    std::optional<owner_row> owner; ///< as known; none before the first look
    row_version version = 0; ///< of that row
    bool hasLooked = false;
    bool owns = false;
    bool leaving = false;
    bool looking = false;
    bool taking = false;
    bool refused = false; ///< the owner's process has ended
    bool handedOver = false;
    instant heardAt;
    instant nextLook;
    std::optional<instant> takeAt;
    row_version renewal = 0;
    instant renewalSince; ///< the renewal has been the same since, as far as watched
    bool isWatching = false;
    std::chrono::milliseconds storeDistance {0};
};

leadership_state makeLeadership(const leadership_settings &settings, instant now);

std::vector<leadership_action> step(leadership_state &state, const leadership_message &message, instant now);

} // namespace primrosecroft
