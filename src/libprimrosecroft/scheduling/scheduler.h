#pragma once

#include "demands/demand_row.h"
#include "ownership/ownership.h"
#include "placement/placement.h"
#include "scheduling/scheduler_messages.h"

#include <map>
#include <set>
#include <tuple>
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
    std::int32_t mostEvictions = 2; ///< of one task
    std::size_t demandsBeforeQuarantine = 3; ///< unrelated ones that failed in a row at a worker
    double mostQuarantined = 0.1; ///< share of the workers, but always one
    std::chrono::milliseconds probePause {30'000}; ///< before a quarantined worker is tried again
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
    std::int32_t evictions = 0; ///< since the take-over
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
    instant queuedAs; ///< its place in the queue, by the policy in force when it was learned
    std::uint64_t sequence = 0;
    std::vector<task_record> tasks;
    std::vector<std::pair<worker_id, attempt_id>> forgetWhenCommitted;
};

/// Order in which demands are placed.
struct waiting_rank
{
    bool normal = true; ///< urgent sorts first
    instant queuedAs;
    std::uint64_t sequence = 0;
    demand_key key;
    resources size; ///< of one task; no part of the order
    bool gang = false; ///< no part of the order

    friend bool operator<(const waiting_rank &left, const waiting_rank &right)
    {
        return std::tie(left.normal, left.queuedAs, left.sequence, left.key)
            < std::tie(right.normal, right.queuedAs, right.sequence, right.key);
    }
};

/// An attempt that takes up a worker's capacity.
struct occupation
{
    task_id task;
    resources size;
    instant since {}; ///< when it was placed; unset when it was found running
};

/// Room kept for the oldest gang that waits. See docs/design/placement.md.
struct gang_reservation
{
    waiting_rank gang;
    instant readyBy; ///< by the declared run times; what ends before may use the room
    std::map<worker_id, resources> held;
};

/// Whether a worker fails what it is given.
struct worker_health
{
    std::set<demand_key> failedDemands; ///< since a task last succeeded there
    bool quarantined = false;
    instant probeAt; ///< when one task is tried again
    std::chrono::milliseconds pause {0}; ///< doubles with each failed probe
    std::optional<attempt_id> probe;
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
    bool listAgain = false; ///< it refused a start that the books had room for
    worker_health health {};
    std::set<attempt_id> checkpoints {};
};

/// A demand that ended a short while ago.
struct closed_demand
{
    std::int64_t version = 0;
    instant forgetAt;
};

/// Tasks that make room for an urgent one at a worker.
struct eviction
{
    demand_key beneficiary;
    worker_id worker;
    resources size; ///< of the urgent task
    std::set<attempt_id> victims;
    instant since;
    bool stopped = false; ///< the checkpoints took too long
};

/// Work done for placement since the start, for benchmarks and regression checks.
struct placing_counts
{
    std::uint64_t visited = 0; ///< waiting demands looked at
    std::uint64_t choices = 0; ///< times that a worker was sought
    std::uint64_t candidates = 0; ///< workers looked at for it
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
    std::set<demand_key> orphaned; ///< keys without a record here that workers may still list
    std::set<worker_id> ordered; ///< workers with starts or stops to be sent
    std::vector<resources> blocked; ///< sizes that found no worker since room was last gained for them
    std::vector<resources> blockedByHeld; ///< the same, but only for want of what is held
    std::optional<gang_reservation> reservation;
    std::vector<eviction> evictions;
    instant nextPreemption; ///< when victims are sought again after none were found
    instant nextReservation; ///< when one is tried again after no set of workers could be found
    instant nextWalk; ///< when all workers have to be looked at again
    std::set<worker_id> unreached; ///< since the take-over
    bool inDoubt = false;
    bool placementDue = false;
    bool leaving = false;
    bool scanning = false;
    bool scanned = false; ///< since the take-over
    instant nextScan;
    instant otherPlacingUntil;
    placing_counts counts;
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
