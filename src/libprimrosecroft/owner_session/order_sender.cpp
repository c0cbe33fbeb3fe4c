#include "owner_session/order_sender.h"

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto startTimeout = 600ms; ///< for a worker's answer to a start order
constexpr auto stopTimeout = 600ms; ///< likewise to an order to stop a run or to change its pace

} // namespace

order_sender::order_sender(const runner_context &context, worker_gateway &workers, const advice_call &askAdvice)
    : m_context(context)
    , m_workers(workers)
    , m_askAdvice(askAdvice)
{
}

row_version order_sender::token() const
{
    return m_context.state.takeOver.token;
}

void order_sender::send(const send_start &order)
{
    m_workers.start(order, token(), startTimeout, forwardAnswer<start_answered>());
}

void order_sender::send(const send_stop &order)
{
    m_workers.stop(order, token(), stopTimeout, forwardAnswer<stop_answered>());
}

void order_sender::send(const send_list &order)
{
    m_workers.list(order, token(), order.timeout, forwardAnswer<list_answered>());
}

void order_sender::send(const ask_advice &request)
{
    m_askAdvice(request, forwardAnswer<advice_answered>());
}

} // namespace primrosecroft
