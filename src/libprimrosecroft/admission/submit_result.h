#pragma once

#include "store/store.h"

#include <chrono>
#include <functional>
#include <optional>

namespace primrosecroft
{

/// Outcome of a request that the owner stores a job or its cancellation. It converts from and to the outcome, because
/// only who answers a caller has to know more.
struct submit_result
{
    submit_result(store_outcome ownOutcome)
        : outcome(ownOutcome)
    {
    }

    operator store_outcome() const
    {
        return outcome;
    }

    static submit_result turnedAway(std::chrono::milliseconds retryAfter)
    {
        submit_result result(store_outcome::refused);
        result.retryAfter = retryAfter;
        return result;
    }

    store_outcome outcome;
    /// Set if the job was turned away: it isn't stored and never runs, and its caller may try again after this time.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Called with the outcome of a request to store a job or its cancellation.
using stored_handler = std::function<void(const submit_result &)>;

} // namespace primrosecroft
