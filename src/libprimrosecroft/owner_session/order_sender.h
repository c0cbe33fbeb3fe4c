#pragma once

#include "owner_session/runner_context.h"
#include "owner_session/worker_gateway.h"

#include <functional>

namespace primrosecroft
{

/// Sends the core's orders to workers and its requests to the advice service, and passes the answers to the core.
class order_sender
{
public:
    using advice_call = std::function<void(const ask_advice &request, std::function<void(advice_answered)> done)>;

    order_sender(const runner_context &context, worker_gateway &workers, const advice_call &askAdvice);

    void send(const send_start &order);
    void send(const send_stop &order);
    void send(const send_list &order);
    void send(const ask_advice &request);

private:
    /// Returns a callback that passes an answer to the core.
    template<typename message>
    auto forwardAnswer()
    {
        return m_context.guard.wrap([this](const message &answer) {
            m_context.apply(answer);
            m_context.requestPass();
        });
    }

    row_version token() const;

    const runner_context &m_context;
    worker_gateway &m_workers;
    const advice_call &m_askAdvice;
};

} // namespace primrosecroft
