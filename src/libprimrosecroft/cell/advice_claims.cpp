#include "cell/detail/advice_claims.h"

#include <algorithm>
#include <utility>

namespace primrosecroft::detail
{

namespace
{

constexpr double leastClaim = 1e-6; ///< a smaller sum is the rounding error of claims that have ended

/// Adds to the claims on the worker, if it is still there. A negative @p share ends a claim.
void add(cell_state &state, const worker_id &id, std::int32_t priority, double share)
{
    const auto worker = state.workers.find(id);
    if (worker == state.workers.end()) {
        return;
    }
    auto &claims = worker->second.adviceClaims;
    auto &claimed = claims[priority];
    claimed += share;
    if (claimed < leastClaim) {
        claims.erase(priority);
    }
}

} // namespace

double unclaimedShare(const worker_state &worker, std::int32_t priority)
{
    double result = 1;
    for (const auto &[each, claimed] : worker.adviceClaims) {
        result -= each <= priority ? claimed : 0;
    }
    return std::max(0.0, result);
}

void claim(cell_state &state, const step_ref &step, std::int32_t priority, std::map<worker_id, double> shares)
{
    releaseClaims(state, step);
    for (const auto &[worker, share] : shares) {
        add(state, worker, priority, share);
    }
    state.adviceClaims[step] = {priority, std::move(shares)};
}

void releaseClaims(cell_state &state, const step_ref &step)
{
    const auto ended = state.adviceClaims.extract(step);
    if (ended.empty()) {
        return;
    }
    for (const auto &[worker, share] : ended.mapped().shares) {
        add(state, worker, ended.mapped().priority, -share);
    }
}

} // namespace primrosecroft::detail
