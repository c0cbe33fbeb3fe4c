#pragma once

#include "cell/cell_messages.h"

#include <functional>

namespace primrosecroft
{

/// Sends orders to workers. @p done is called exactly once for each call, with order_result::lost if the worker doesn't
/// answer within @p timeout. No order is sent later than that, or than a second after the call, however long a
/// process on its way stood still: only then does a stop that the worker confirms bar a start. @p token is the owner's
/// fencing token.
class worker_gateway
{
public:
    worker_gateway() = default;
    virtual ~worker_gateway() = default;
    worker_gateway(const worker_gateway &) = delete;
    worker_gateway &operator=(const worker_gateway &) = delete;

    virtual void start(const send_start &order, row_version token, std::chrono::milliseconds timeout,
                       std::function<void(start_answered)> done) = 0;
    virtual void stop(const send_stop &order, row_version token, std::chrono::milliseconds timeout,
                      std::function<void(stop_answered)> done) = 0;
    virtual void list(const send_list &order, row_version token, std::chrono::milliseconds timeout,
                      std::function<void(list_answered)> done) = 0;
};

/// Sends requests to the advice service, which decides which workers may run a step.
class advice_gateway
{
public:
    advice_gateway() = default;
    virtual ~advice_gateway() = default;
    advice_gateway(const advice_gateway &) = delete;
    advice_gateway &operator=(const advice_gateway &) = delete;

    virtual void ask(const step_ref &step, const std::vector<worker_id> &workers, std::chrono::milliseconds timeout,
                     std::function<void(advice_answered)> done) = 0;
};

} // namespace primrosecroft
