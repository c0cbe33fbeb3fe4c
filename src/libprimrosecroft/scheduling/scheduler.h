#pragma once

#include "demands/demand_row.h"
#include "ownership/ownership.h"
#include "placement/placement.h"
#include "scheduling/scheduler_messages.h"

#include <map>
#include <set>
#include <vector>

/**
 * The scheduler of one failure domain: takes over its workers, places tasks of
 * accepted demands, keeps them running, and records how they ended.
 *
 * Everything is decided by step(), without I/O, clock or global state. The program
 * around it carries out the actions and feeds back what came of them.
 */
namespace primrosecroft
{

struct scheduler_settings
{
    process_id process;
    ownership_settings ownership;
    placement_policy policy;
    std::uint32_t rank = 0;
    std::uint64_t seed = 0;
    std::int32_t workersBeforeFailing = 3; ///< a task that failed on so many is given up
    std::chrono::milliseconds scanInterval {30'000};
    std::chrono::milliseconds storeRetryInterval {1'000}; ///< between probes while the store doesn't answer
    std::chrono::milliseconds storeCatchUpInterval {100}; ///< between retries once it answers again
    std::chrono::milliseconds peerSilence {5'000}; ///< a placing peer unheard for so long is taken for gone
};

enum class task_phase
{
    waiting, ///< to be placed
    doubtful, ///< may run on a worker that was not reached since the take-over
    recording, ///< its start is being written to the table, as it must not be repeated
    starting, ///< sent; counts as taken until the worker says otherwise
    running,
    stopping,
    ended,
};

struct task_record
{
    task_phase phase = task_phase::waiting;
    worker_id worker; ///< from recording to stopping
    attempt_id attempt = 0; ///< from recording to stopping
    std::set<worker_id> failedOn;
};

struct demand_record
{
    demand_row wanted; ///< what the row is to say
    demand_row committed; ///< what the table is known to hold
    demand_row sent; ///< what an outstanding write carries
    std::int64_t version = 0;
    std::uint64_t writing = 0; ///< number of the outstanding write, 0 without one
    bool verified = false; ///< the row was read since the take-over, and no write was refused since
    instant learnedAt;
    std::uint64_t sequence = 0;
    std::vector<task_record> tasks;
    std::vector<std::pair<worker_id, attempt_id>> forgetWhenCommitted;
};

/// An attempt that takes up a worker's capacity.
struct occupation
{
    task_id task;
    resources size;
};

/// What this scheduler believes of one worker, and what it has to tell it.
struct worker_record
{
    std::string rack;
    std::map<attempt_id, occupation> occupied;
    std::optional<claim_answer> listing; ///< read before the majority was gained
    std::map<attempt_id, ended_attempt> unclaimedEnds; ///< of demands not read yet
    std::vector<start_order> starts;
    std::set<attempt_id> stops;
    std::set<attempt_id> forgets;
    std::optional<exchange_request> sent;
    bool draining = false;
};

/// A demand that ended a short while ago.
struct closed_demand
{
    std::int64_t version = 0;
    instant forgetAt;
};

/// Order in which demands are placed.
struct waiting_rank
{
    bool normal = true; ///< urgent sorts first
    std::uint64_t sequence = 0;
    demand_key key;

    friend auto operator<=>(const waiting_rank &, const waiting_rank &) = default;
};

struct scheduler_state
{
    scheduler_settings settings;
    ownership_state ownership;
    cell workers;
    std::map<worker_id, worker_record> records;
    std::map<demand_key, demand_record> demands;
    std::map<demand_key, closed_demand> closed;
    std::set<waiting_rank> waiting;
    std::set<demand_key> retryStore; ///< whose write or read was lost, or waits for the store
    bool storeFailing = false; ///< its last answer was lost
    instant nextStoreRetry;
    std::set<demand_key> touched; ///< demands to look at again in this step
    std::set<worker_id> unreached; ///< since the take-over
    bool inDoubt = false;
    bool placementDue = false;
    bool leaving = false;
    bool scanning = false;
    bool scanned = false; ///< since the take-over
    instant nextScan;
    instant otherPlacingUntil;
    std::uint64_t takeover = 0; ///< number of take-overs so far
    std::uint64_t lastAttempt = 0;
    std::uint64_t lastSequence = 0;
    std::uint64_t lastScan = 0;
    std::uint64_t lastWrite = 0;
};

scheduler_state makeScheduler(const scheduler_settings &settings);

/// Takes one message at @p now and says what is to be done.
std::vector<scheduler_action> step(scheduler_state &state, const scheduler_message &message, instant now);

} // namespace primrosecroft
