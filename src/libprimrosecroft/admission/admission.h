#pragma once

#include "jobs/job.h"

#include <chrono>

/**
 * Admission: whether a job is accepted, or turned away at once because it can't be done in time. A backlog that is
 * longer than what callers wait for serves nobody, and what it holds of half-done jobs is lost.
 */
namespace primrosecroft
{

/// A job that isn't done after this many times its objective is worth nothing to its caller.
inline constexpr int maxObjectives = 3;

/// What admission has to know of a job.
struct admission_request
{
    job_id id;
    std::chrono::milliseconds objective {0}; ///< time within which it should end if its tasks are among the longest
    std::chrono::milliseconds criticalPath {0}; ///< time that it then takes if none of its tasks has to wait
    std::chrono::milliseconds waited {0}; ///< since the first attempt of its caller, if that was turned away
};

/// What the cell has to do before the job's tasks start.
struct work_ahead
{
    double coreSeconds = 0; ///< estimated processor time of the tasks that wait and are served before
    double laterCoreSeconds = 0; ///< the same of tasks that still wait for the steps before theirs
    std::chrono::milliseconds laterIn {0}; ///< about when those are ready
    double rate = 0; ///< core-seconds of such work that the cell does in a second; 0 if unknown
    double cores = 0; ///< that the tasks ahead and those of the job's first step need to start
    double freeCores = 0; ///< that no run holds
    double freedCores = 0; ///< cores a second that running tasks free for this work; 0 if unknown
};

struct admission_verdict
{
    bool isAccepted = true;
    std::chrono::milliseconds wait {0}; ///< expected time until the job's tasks start
    std::chrono::milliseconds mayWait {0}; ///< the longest wait after which the job is still done in time
    std::chrono::milliseconds retryAfter {0}; ///< when the caller should come back; 0 if the job is accepted
};

/// Decides without regard to anything but its arguments. Jobs that are turned away together come back at different
/// times: the excess of their wait is stretched by up to two, depending on their ids.
admission_verdict decideAdmission(const admission_request &request, const work_ahead &ahead);

} // namespace primrosecroft
