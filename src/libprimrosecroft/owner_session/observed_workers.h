#pragma once

#include "observability/decision_log.h"
#include "observability/metrics.h"
#include "owner_session/worker_gateway.h"

namespace primrosecroft
{

/// Passes orders on, and logs and counts those to start or to stop a run that get no answer, in the process that sends
/// them to the worker: at the owner or at a relay.
class observed_workers : public worker_gateway
{
public:
    observed_workers(worker_gateway &workers, decision_log &log, metrics &measures);

    void start(const send_start &order, row_version token, std::chrono::milliseconds timeout,
               std::function<void(start_answered)> done) override;
    void stop(const send_stop &order, row_version token, std::chrono::milliseconds timeout,
              std::function<void(stop_answered)> done) override;
    void list(const send_list &order, row_version token, std::chrono::milliseconds timeout,
              std::function<void(list_answered)> done) override;

private:
    template<typename answer>
    std::function<void(answer)> observe(const char *kind, std::function<void(answer)> done);

    worker_gateway &m_workers;
    decision_log &m_log;
    metrics &m_measures;
};

} // namespace primrosecroft
