#pragma once

#include "core/types.h"

#include <string>
#include <vector>

/**
 * Messages of the platform's workers, as this project assumes them: a holder lease
 * under a fencing token, tasks under leases of their own, and one exchange that
 * carries every order for a worker at once.
 */
namespace primrosecroft
{

/// A task attempt as a worker lists it.
struct task_listing
{
    task_id task;
    attempt_id attempt = 0;
    resources size;

    friend bool operator==(const task_listing &, const task_listing &) = default;
};

/// Why an attempt no longer runs.
enum class attempt_end
{
    succeeded,
    failed,
    stopped, ///< by order
    lapsed, ///< its lease was not renewed
};

struct ended_attempt
{
    task_id task;
    attempt_id attempt = 0;
    attempt_end end = attempt_end::succeeded;
};

struct start_order
{
    task_id task;
    attempt_id attempt = 0;
    resources size;
    std::chrono::milliseconds runTime {0};
    bool endless = false;
};

struct claim_request
{
    std::string holder;
    std::chrono::milliseconds term {0};
};

struct claim_answer
{
    bool granted = false;
    fencing_token token = 0;
    worker_stamp stamp {0};
    resources total;
    std::vector<task_listing> running;
    std::vector<ended_attempt> ended;
};

/// Renews the holder lease to @ref stamp plus term, and with it all tasks' leases.
struct exchange_request
{
    fencing_token token = 0;
    worker_stamp stamp {0};
    std::chrono::milliseconds holderTerm {0};
    std::chrono::milliseconds taskTerm {0};
    std::vector<start_order> starts;
    std::vector<attempt_id> stops; ///< also bars an attempt that has not arrived yet
    std::vector<attempt_id> forgets;
    std::vector<attempt_id> checkpoints {}; ///< each is saved, then ends as stopped; a later answer lists it
};

enum class start_result
{
    running, ///< also when this attempt ran already
    stale, ///< the stamp was too old; try again with a newer one
    full, ///< capacity isn't free
    barred, ///< stopped before, or already ended
};

struct start_answer
{
    attempt_id attempt = 0;
    start_result result = start_result::running;
};

struct exchange_answer
{
    bool accepted = false; ///< false: token is not current or the lease has lapsed
    worker_stamp stamp {0};
    std::vector<start_answer> starts;
    std::vector<ended_attempt> ended; ///< repeated until forgotten
};

std::string toJson(const claim_request &request);
std::string toJson(const claim_answer &answer);
std::string toJson(const exchange_request &request);
std::string toJson(const exchange_answer &answer);

/// The readers throw error when the text is not such a message.
claim_request claimRequestFromJson(const std::string &text);
claim_answer claimAnswerFromJson(const std::string &text);
exchange_request exchangeRequestFromJson(const std::string &text);
exchange_answer exchangeAnswerFromJson(const std::string &text);

} // namespace primrosecroft
