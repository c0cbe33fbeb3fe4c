#pragma once

#include "core/types.h"
#include "core/vm_capacity.h"
#include "io/peer_hub.h"
#include "store/store.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * Election of the process that owns a shard. A row in the store names the owner. The version
 * of the take-over's write is the owner's fencing token, and each write of the owner has this
 * version as its condition. A second row, which the owner rewrites at intervals, shows the
 * other processes that it still runs. Safety depends only on the conditions: a wrong suspicion
 * causes a needless take-over, but breaks no guarantee.
 *
 * step() makes all decisions, without I/O and without reading a clock.
 */
namespace primrosecroft
{

/// Value of the row that names the owner.
struct owner_row
{
    process_id process;
    std::int64_t incarnation = 0; ///< differs between two runs of the same process
    peer_address address;
    std::int64_t term = 0; ///< number of take-overs before this one
    bool hasResigned = false; ///< the owner gave up ownership; any process may take over without a timeout
    vm_capacity capacity; ///< of the owner's VM; unknown in the row of an earlier build
    std::chrono::milliseconds takenAt {
        0}; ///< on the store's steady clock; 0 if unknown, as in the row of an earlier build
    /// Number of take-overs before this one, each soon after the one before, from owners that hadn't ended. They show
    /// that an owner seems to have failed for a cause that the next one shares, such as a narrow link.
    std::int32_t doubtfulTakeOvers = 0;

    friend bool operator==(const owner_row &, const owner_row &) = default;
};

/// Factor for the time without a sign of life after which the owner of @p row counts as failed or cut off. A take-over
/// reads all jobs and asks all workers, so each that brought nothing makes the next one wait longer; otherwise owners
/// that are busy with their own take-over would be replaced for ever.
int patienceWith(const owner_row &row);

row_place ownerPlace();

/// Row that the owner rewrites at intervals.
row_place renewalPlace();

/// An earlier build reads the encoded row as well: it ignores what it doesn't know.
std::string encodeOwner(const owner_row &row);

/// Inverse of encodeOwner. Throws error if @p row is no encoded owner's row.
owner_row decodeOwner(const std::string &row);

struct leadership_settings
{
    process_id process;
    std::int64_t incarnation = 0;
    peer_address address;
    vm_capacity capacity; ///< of the VM that the process runs on
    /// The owner is suspected if it hasn't answered for this long.
    std::chrono::milliseconds suspicionTimeout {600};
    /// A suspected owner counts as failed if its renewal row hasn't changed for this long.
    std::chrono::milliseconds renewalTimeout {500};
    std::chrono::milliseconds suspicionPollInterval {150}; ///< between two polls while the owner is suspected
    std::chrono::milliseconds pollInterval {3'000}; ///< between two polls while the owner answers
    std::chrono::milliseconds retryDelay {200}; ///< between a failed poll and the next one
};

// --- input messages

/// Result of poll_owner: the owner's row and the version of its renewal row.
struct owner_poll_answered
{
    store_outcome outcome = store_outcome::lost;
    std::optional<owner_row> row; ///< unset if no process has taken over yet
    row_version version = 0; ///< of the owner's row
    row_version renewal = 0; ///< of the renewal row; 0 if there is none
    std::chrono::milliseconds storeRoundTrip {0}; ///< duration of the read
    std::string fault = {}; ///< why the owner's row can't be read; empty if it can
};

/// A process answered that it is the owner under @p token.
struct owner_answer_received
{
    process_id process;
    row_version token = 0;
};

/// The owner's address refused a connection, which shows that its process has ended.
struct owner_connection_refused
{
};

/// A peer sent the owner's row.
struct owner_reported
{
    owner_row row;
    row_version version = 0;
};

/// The owner requests that this process takes over.
struct handover_requested
{
    row_version token = 0; ///< the sender's fencing token; no effect unless it is the known owner's
};

/// The store's answer to take_ownership.
struct take_over_answered
{
    store_outcome outcome = store_outcome::lost;
    row_version version = 0;
};

/// A write or a read of this owner found another owner's row, or a worker obeys a later owner.
struct ownership_lost
{
};

/// The process is about to stop. From now on it doesn't take over.
struct leave_requested
{
};

/// The process has to give up ownership although no other process has taken over.
struct resign_requested
{
};

/// Sent at short intervals, so that timeouts are detected.
struct leadership_ticked
{
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock; 0 while it is not known
};

using leadership_message = std::variant<owner_poll_answered, owner_answer_received, owner_connection_refused,
                                        owner_reported, handover_requested, take_over_answered, ownership_lost,
                                        leave_requested, resign_requested, leadership_ticked>;

/// Returns the message for the store's answer to a read of the owner's row and the renewal row. A row that can't be
/// read counts as a failed poll: nobody may take over from an owner that isn't known, and a later valid row is adopted.
owner_poll_answered ownerPollOf(const range_result &result, std::chrono::milliseconds storeRoundTrip);

// --- output actions

/// Read the owner's row and the renewal row, and answer with owner_poll_answered.
struct poll_owner
{
};

/// Write the owner's row, and answer with take_over_answered.
struct take_ownership
{
    row_version expected = 0; ///< version that the owner's row must have; 0 if it must not exist
    owner_row row;
};

/// This process is the owner now: start the cell.
struct begin_ownership
{
    row_version token = 0; ///< the fencing token
    std::int64_t term = 0;
};

/// This process is no longer the owner: stop the cell.
struct end_ownership
{
    std::string reason; ///< for the log
};

/// Write the owner's row with hasResigned set. Ownership has ended already, so no answer is needed.
struct write_resignation
{
    row_version expected = 0; ///< version that the owner's row must have
    owner_row row;
};

/// A newer version of the owner's row became known, under which this process isn't the owner.
struct report_owner
{
    owner_row row;
    row_version version = 0;
};

using leadership_action =
    std::variant<poll_owner, take_ownership, begin_ownership, end_ownership, write_resignation, report_owner>;

/// The renewal row as polls of the store have shown it.
struct observed_renewal
{
    row_version version = 0;
    instant firstSeenAt; ///< when the first answer with this version arrived
    instant unchangedUntil; ///< the store still held this version then, or later
};

/// State of leadership in one process. Changed only by step().
struct leadership_state
{
    leadership_settings settings;
    std::optional<owner_row> owner; ///< latest known row; unset before one was read or reported
    row_version version = 0; ///< of that row; the owner's fencing token unless the owner resigned
    bool hasPolled = false; ///< a poll has succeeded, after the last take-over that failed
    bool owns = false; ///< this process is the owner
    bool isLeaving = false;
    bool isPolling = false; ///< a poll hasn't been answered yet
    bool isTakingOver = false; ///< a take-over hasn't been answered yet
    bool isConnectionRefused = false; ///< the owner's process has ended
    bool isHandoverRequested = false; ///< the owner requested that this process takes over
    instant lastContactAt; ///< last answer of the owner, or when its row became known
    instant nextPollAt;
    std::optional<instant> takeOverAt; ///< when this process takes over, unless the owner answers before
    std::optional<observed_renewal> renewal; ///< unset before the first poll since the owner became suspected
    std::chrono::milliseconds storeTime {0}; ///< the store's steady clock at the last tick; 0 while it is not known
    bool isOwnerSuspected = false; ///< no answer for suspicionTimeout, so that renewals are polled more often
    /// Duration of the shortest recent poll: a shorter poll replaces it, a longer one at most doubles it. 0 before the
    /// first poll.
    std::chrono::milliseconds storeRoundTrip {0};
};

/// Returns for how long the store has shown the same renewal, since the owner became suspected.
std::chrono::milliseconds unrenewedTime(const leadership_state &state);

/// Returns the state of a process that started at @p now, without a known owner.
leadership_state makeLeadership(const leadership_settings &settings, instant now);

/// Handles one message at time @p now and returns the actions to carry out.
std::vector<leadership_action> step(leadership_state &state, const leadership_message &message, instant now);

} // namespace primrosecroft
