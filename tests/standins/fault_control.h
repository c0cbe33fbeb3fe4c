#pragma once

#include "io/http_server.h"
#include "io/timer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace primrosecroft::standins
{

/**
 * The failures that a stand-in can be told to show, set by POST /control with a JSON
 * object: delayMs, out, freeze, loseAnswers, leave, failTasks.
 */
struct fault_orders
{
    std::chrono::milliseconds delay {0};
    bool out = false; ///< answers 503 without effect
    bool freeze = false; ///< takes requests and never answers
    bool loseAnswers = false; ///< takes effect, then closes the connection
    bool leave = false;
    bool failTasks = false;
};

/// Serves requests under the orders in force, and the control path itself.
class fault_control
{
public:
    using effect = std::function<http_response(const http_request &request)>;

    explicit fault_control(std::function<void(const fault_orders &)> changed);

    /// Applies @p run, now or late, and answers as ordered.
    void serve(const std::shared_ptr<http_request> &request, const effect &run);

    const fault_orders &orders() const;

private:
    void change(const std::shared_ptr<http_request> &request);

    fault_orders m_orders;
    std::function<void(const fault_orders &)> m_changed;
    std::vector<std::shared_ptr<http_request>> m_frozen;
};

/// Runs a stand-in's main loop until SIGTERM.
void runLoop();

} // namespace primrosecroft::standins
