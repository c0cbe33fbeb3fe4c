#pragma once

#include "owned_cell.h"

#include <algorithm>
#include <initializer_list>
#include <iterator>
#include <set>
#include <string>
#include <vector>

/// Cells of equal workers and steps for them, for the tests of where tasks start.
namespace primrosecroft
{

inline constexpr resources wholeWorker {8'000, 16'000, 0};

inline step_spec makeStep(std::int32_t count, std::int64_t milliCores = 1'000)
{
    step_spec step;
    step.count = count;
    step.size = {milliCores, 1'000, 0};
    step.estimate = std::chrono::seconds(1);
    return step;
}

inline owned_cell makeCellOf(std::initializer_list<const char *> workers)
{
    owned_cell cell;
    for (const auto *id : workers) {
        cell.addWorker(owned_cell::makeWorker(id, std::string("r-") + id, wholeWorker));
    }
    return cell;
}

inline std::set<worker_id> workersOf(const std::vector<send_start> &starts)
{
    std::set<worker_id> result;
    std::ranges::transform(starts, std::inserter(result, result.end()), &send_start::worker);
    return result;
}

} // namespace primrosecroft
