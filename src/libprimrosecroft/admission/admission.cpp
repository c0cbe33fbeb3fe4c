#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds maxWait = 1h; ///< longer waits are not told apart
constexpr milliseconds minRetryAfter = 1s; ///< the header counts whole seconds
constexpr milliseconds maxRetryAfter = 30s;

/// A value from 0 to below 1 that is the same at each attempt of a job, and spread evenly over all jobs (FNV-1a).
double spreadOf(const job_id &id)
{
    std::uint32_t hash = 2'166'136'261U;
    for (const unsigned char each : id) {
        hash = (hash ^ each) * 16'777'619U;
    }
    // Ids that differ in their last characters only have to differ in the upper bits too.
    hash = (hash ^ (hash >> 16U)) * 2'246'822'507U;
    hash = (hash ^ (hash >> 13U)) * 3'266'489'909U;
    hash ^= hash >> 16U;
    constexpr double values = 4'294'967'296.0;
    return hash / values;
}

/// Time until the work ahead has started. Work that is ready only later counts as far as it is ready by then.
milliseconds waitForWork(const work_ahead &ahead)
{
    if (ahead.rate <= 0) {
        return 0ms;
    }
    constexpr int rounds = 10; ///< each counts what has become ready in the wait of the one before
    const auto laterIn = std::max(1.0, static_cast<double>(ahead.laterIn.count()));
    double wait = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto later = ahead.laterCoreSeconds * std::min(1.0, wait / laterIn);
        wait = std::min((ahead.coreSeconds + later) / ahead.rate * 1'000, static_cast<double>(maxWait.count()));
    }
    return milliseconds(std::llround(wait));
}

/// Time until running tasks have freed the cores for the work ahead. It is the longer one where short tasks wait for
/// long ones.
milliseconds waitForCores(const work_ahead &ahead)
{
    if (ahead.freedCores <= 0 || ahead.cores <= ahead.freeCores) {
        return 0ms;
    }
    const auto wait = (ahead.cores - ahead.freeCores) / ahead.freedCores * 1'000;
    return milliseconds(std::llround(std::min(wait, static_cast<double>(maxWait.count()))));
}

} // namespace

admission_verdict decideAdmission(const admission_request &request, const work_ahead &ahead)
{
    admission_verdict result;
    result.wait = std::max(waitForWork(ahead), waitForCores(ahead));
    // A critical path beyond the limit is no reason to turn a job away from a cell that has room.
    result.mayWait =
        std::max(request.objective, maxObjectives * request.objective - request.criticalPath) - request.waited;
    result.isAccepted = result.wait <= std::max(result.mayWait, 0ms);
    if (!result.isAccepted) {
        const auto excess = static_cast<double>((result.wait - std::max(result.mayWait, 0ms)).count());
        const milliseconds stretched(std::llround(excess * (1 + spreadOf(request.id))));
        result.retryAfter = std::clamp(stretched + milliseconds(std::llround(spreadOf(request.id) * 1'000)),
                                       minRetryAfter, maxRetryAfter);
    }
    return result;
}

} // namespace primrosecroft
