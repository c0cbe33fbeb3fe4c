#pragma once

#include "workers/worker_messages.h"

#include <map>
#include <set>

/**
 * A platform worker as the project assumes it, without I/O: holder lease, tasks under
 * leases, capacity. The stand-in process and the tests in virtual time share it.
 */
namespace primrosecroft::standins
{

struct running_attempt
{
    start_order order;
    instant leaseUntil;
    instant endsAt;
    bool saved = false; ///< ends as stopped, by a checkpoint order
};

struct worker_model
{
    resources total;
    std::chrono::milliseconds startLife {8'000}; ///< a start with an older stamp is refused
    std::chrono::milliseconds barLife {8'000}; ///< no shorter than startLife
    instant bootedAt; ///< stamps count from here
    bool barsForgotten = true; ///< off only to show what it is for
    bool failsEveryTask = false;
    std::set<std::string> failingDemands; ///< whose tasks fail here
    std::chrono::milliseconds checkpointTime {300}; ///< from the order to the end of the task
    double runTimeFactor = 1.0; ///< real over declared run time

    fencing_token token = 0;
    bool isHeld = false;
    instant heldUntil;
    std::map<attempt_id, running_attempt> running;
    std::map<attempt_id, ended_attempt> ended; ///< until forgotten
    std::map<attempt_id, instant> barred; ///< until a start sent before is too old anyway

    std::uint64_t checkpoints = 0;
    std::uint64_t overcommitRefusals = 0;
};

/// Ends what has run out. Call it before looking at the model at @p now.
void advance(worker_model &worker, instant now);

claim_answer claim(worker_model &worker, const claim_request &request, instant now);
exchange_answer exchange(worker_model &worker, const exchange_request &request, instant now);
void release(worker_model &worker, fencing_token token, instant now);

/// The worker's clock as it travels in messages.
worker_stamp stampAt(const worker_model &worker, instant now);

/// What runs now, in total.
resources inUse(const worker_model &worker);

} // namespace primrosecroft::standins
