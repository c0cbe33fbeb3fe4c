#pragma once

#include "core/clock.h"
#include "fake_store.h"
#include "jobs/job_rows.h"
#include "leadership/leadership.h"
#include "owner_session/cell_runner.h"

#include <string>

/// A cell_runner with a store whose answers the test controls, and with workers that never answer.
namespace primrosecroft
{

/// Workers that never answer an order.
class unresponsive_workers : public worker_gateway
{
public:
    void start(const send_start & /*order*/, row_version /*token*/, std::chrono::milliseconds /*timeout*/,
               std::function<void(start_answered)> /*done*/) override
    {
    }
    void stop(const send_stop & /*order*/, row_version /*token*/, std::chrono::milliseconds /*timeout*/,
              std::function<void(stop_answered)> /*done*/) override
    {
    }
    void list(const send_list & /*order*/, row_version /*token*/, std::chrono::milliseconds /*timeout*/,
              std::function<void(list_answered)> /*done*/) override
    {
    }
};

/// A process that can begin the ownership, with its own store.
struct owner_process
{
    owner_process()
    {
        rows.rows.put(ownerPlace(), encodeOwner({}));
        token = rows.rows.version();
    }

    void begin()
    {
        runner.begin(token, 0, bootNow());
    }

    bool hasJob(const job_id &id) const
    {
        const auto *state = runner.state();
        return state != nullptr && state->jobs.contains(id);
    }

    fake_store rows;
    monitored_store monitored {rows};
    unresponsive_workers workers;
    decision_log log {0, -1};
    metrics measures;
    std::function<std::int32_t()> adviceRoutes = [] { return 1; }; ///< called at the start of each scheduling pass
    std::string lostReason; ///< empty while the ownership hasn't been lost
    row_version token = 0;
    cell_runner runner {monitored,
                        workers,
                        {"workers", [](const worker_id &, const std::string &) { return std::nullopt; }},
                        {[](const ask_advice &, const auto &) {}, [this] { return adviceRoutes(); },
                         [this](const std::string &reason) { lostReason = reason; }},
                        {},
                        log,
                        measures};
};

inline std::string rowOf(const job_id &id)
{
    accepted_job job;
    job.id = id;
    job.queue = {"queue", "pool", 0, 2, 1, std::chrono::milliseconds(500), std::nullopt};
    job.spec.steps.resize(1);
    job.spec.steps.front().size = {1'000, 100, 0};
    return encodeJob(job);
}

} // namespace primrosecroft
