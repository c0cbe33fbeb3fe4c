#include "owner_session/observed_workers.h"

#include "core/clock.h"

#include <string>
#include <utility>

namespace primrosecroft
{

observed_workers::observed_workers(worker_gateway &workers, decision_log &log, metrics &measures)
    : m_workers(workers)
    , m_log(log)
    , m_measures(measures)
{
}

template<typename answer>
std::function<void(answer)> observed_workers::observe(const char *kind, std::function<void(answer)> done)
{
    return [this, kind, done = std::move(done)](const answer &result) {
        if (result.result == order_result::lost || result.result == order_result::unreachable) {
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - result.sentAt);
            m_measures.count("primrosecroft_orders_unanswered", "kind", kind);
            m_log.write("workers", "unanswered",
                        {{"kind", kind},
                         {"task", toString(result.run.task)},
                         {"attempt", std::to_string(result.run.attempt)},
                         {"worker", result.worker},
                         {"stage", result.silence},
                         {"ms", std::to_string(waited.count())}});
        }
        done(result);
    };
}

void observed_workers::start(const send_start &order, row_version token, std::chrono::milliseconds timeout,
                             std::function<void(start_answered)> done)
{
    m_workers.start(order, token, timeout, observe("start", std::move(done)));
}

void observed_workers::stop(const send_stop &order, row_version token, std::chrono::milliseconds timeout,
                            std::function<void(stop_answered)> done)
{
    m_workers.stop(order, token, timeout, observe("stop", std::move(done)));
}

void observed_workers::list(const send_list &order, row_version token, std::chrono::milliseconds timeout,
                            std::function<void(list_answered)> done)
{
    m_workers.list(order, token, timeout, std::move(done));
}

} // namespace primrosecroft
