#pragma once

#include "owned_cell.h"

#include <catch2/catch.hpp>

namespace primrosecroft
{

/// A cell of two equal workers, a and b, with a task whose start was sent to one of them. They list nothing by
/// themselves.
struct started_task_cell
{
    static constexpr resources wholeWorker {8'000, 16'000, 0};

    started_task_cell()
    {
        cell.addWorker(owned_cell::makeWorker("a", "r", wholeWorker));
        cell.addWorker(owned_cell::makeWorker("b", "r", wholeWorker));
        step_spec spec;
        spec.count = 1;
        spec.size = {1'000, 1'000, 0};
        spec.estimate = std::chrono::milliseconds(800);
        cell.addJob(owned_cell::makeJob("job", {spec}));
        const auto starts = cell.runSchedulingPass();
        REQUIRE(starts.size() == 1);
        start = starts.front();
    }

    void answerStart(order_result result)
    {
        step(cell.state, start_answered {start.worker, start.boot, start.run, result, cell.now}, cell.now,
             cell.actions);
    }

    /// The worker to which the start wasn't sent.
    worker_id other() const
    {
        return start.worker == "a" ? "b" : "a";
    }

    owned_cell cell;
    send_start start;
};

} // namespace primrosecroft
