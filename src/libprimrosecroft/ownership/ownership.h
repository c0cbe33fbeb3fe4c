#pragma once

#include "core/types.h"
#include "workers/worker_messages.h"

#include <map>
#include <optional>
#include <vector>

/**
 * Holder leases on a failure domain's workers. One scheduler may start tasks only
 * while it holds a majority of them; no store and no consensus group takes part.
 *
 * All times are the scheduler's own monotonic clock; a worker's stamp is only
 * echoed. See docs/design/ownership.md for the argument.
 */
namespace primrosecroft
{

struct ownership_settings
{
    std::chrono::milliseconds holderTerm {12'000};
    std::chrono::milliseconds taskTerm {30'000};
    std::chrono::milliseconds margin {1'000}; ///< for drift between clocks
    std::chrono::milliseconds exchangeInterval {3'000};
    std::chrono::milliseconds requestTimeout {2'000};
    std::chrono::milliseconds configurationLag {10'000}; ///< between two schedulers' learning of a new worker set
    std::chrono::milliseconds claimInterval {1'500}; ///< pause before a worker is claimed again
    std::chrono::milliseconds backoffStep {700}; ///< per rank, between candidacies
};

/// What this scheduler knows of one worker's holder lease.
struct held_worker
{
    bool votes = true; ///< false when the configuration no longer has it; it is neither claimed nor renewed
    instant retiredUntil; ///< without a vote: until then it may run tasks of some scheduler
    bool claimed = false; ///< a claim was granted and not yet refused, lapsed or released
    fencing_token token = 0;
    worker_stamp stamp {0};
    instant stampRequestedAt; ///< when the request was sent whose answer gave the stamp
    instant heldUntil; ///< by this scheduler's clock, margin taken off
    instant tasksDeadBy; ///< no task started from here lives longer unless renewed
    std::optional<std::uint64_t> request; ///< outstanding request
    instant requestSentAt;
    instant nextRequest; ///< when a request is due even without orders
    instant notBefore; ///< pause after a lost request
};

struct ownership_state
{
    ownership_settings settings;
    std::uint32_t rank = 0; ///< among the failure domain's schedulers; the lowest tries first
    std::map<worker_id, held_worker> workers;
    bool placing = false; ///< had the majority at the last step
    instant doubtUntil; ///< until then a task may run on a worker not reached since the take-over
    instant candidacyEnds;
    instant nextCandidacy;
    std::uint64_t lastRequest = 0;
};

/// True while the lease on @p worker is surely in force.
bool holds(const held_worker &worker, instant now);

bool holdsMajority(const ownership_state &state, instant now);

/// True when every worker of the failure domain is held.
bool holdsAll(const ownership_state &state, instant now);

/// Replaces the set of workers that the majority is counted over. Removed ones stay without a vote.
void setWorkers(ownership_state &state, const std::vector<worker_id> &workers, instant now);

/// After so long without renewal by the old holder, no task of it runs anywhere.
std::chrono::milliseconds doubtTerm(const ownership_settings &settings);

/// Marks a request as sent; its number tells late answers from current ones.
std::uint64_t beginRequest(ownership_state &state, held_worker &worker, instant now);

/// True, and the request ends, when @p request is the outstanding one.
bool endRequest(held_worker &worker, std::uint64_t request);

void claimGranted(const ownership_state &state, held_worker &worker, const claim_answer &answer, instant now);
void exchangeAccepted(const ownership_state &state, held_worker &worker, const exchange_answer &answer, instant now);

/// The token is not used again.
void dropClaim(held_worker &worker);

} // namespace primrosecroft
