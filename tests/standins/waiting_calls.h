#pragma once

#include "core/types.h"
#include "io/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace primrosecroft::standins
{

/// Requests whose answers wait until there is something to report or until they are due.
class waiting_calls
{
public:
    /// Returns std::nullopt until the answer may be sent.
    using answer_source = std::function<std::optional<http_response>(bool isDue)>;

    void add(std::shared_ptr<http_request> request, instant until, answer_source answer);

    /// Calls @p action once it is due.
    void add(instant until, std::function<void()> action);

    /// Calls @p poll at each turn until it returns true.
    void addPolled(std::function<bool()> poll);

    /// Answers what may be answered, and carries out the actions that are due.
    void serve(instant now);

private:
    struct waiting_call
    {
        instant until;
        std::function<bool(bool isDue)> serve; ///< returns true once the call needs no more attention
    };

    std::vector<waiting_call> m_calls;
};

} // namespace primrosecroft::standins
