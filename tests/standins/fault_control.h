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
 * The faults that a stand-in injects. POST /control sets all of them from a JSON object with the keys delayMs, out,
 * freeze, loseAnswers, leave and failTasks; a key that is missing resets its fault.
 */
struct injected_faults
{
    std::chrono::milliseconds delay {0}; ///< by which answers are late
    bool isUnavailable = false; ///< answers requests with 503 and doesn't handle them
    bool isFrozen = false; ///< accepts requests, but neither handles nor answers them
    bool losesAnswers = false; ///< handles a request, then closes the connection without an answer
    bool isLeaving = false; ///< announces that it leaves, and refuses work
    bool failsTasks = false; ///< answers work with 500
};

/// Serves requests under the faults that are set, and the path /control, which sets them.
class fault_control
{
public:
    using handler = std::function<http_response(const http_request &request)>;

    /// @p onChange, which may be empty, is called after each change of the faults.
    explicit fault_control(std::function<void(const injected_faults &)> onChange);

    /// Handles a request with @p handle and answers it, unless a fault prevents or delays that.
    void serve(const std::shared_ptr<http_request> &request, const handler &handle);

    const injected_faults &faults() const;

private:
    void setFaults(const std::shared_ptr<http_request> &request);

    injected_faults m_faults;
    std::function<void(const injected_faults &)> m_onChange;
    std::vector<std::shared_ptr<http_request>> m_frozen; ///< kept open until the freeze ends
};

/// Runs a stand-in's main loop until SIGTERM.
void runLoop();

} // namespace primrosecroft::standins
