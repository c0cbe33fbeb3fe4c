#pragma once

#include "core/types.h"

#include <chrono>
#include <cstdint>

namespace primrosecroft
{

/// What the recent calls through one daemon tell of the next one.
struct advice_route_evidence
{
    duration delay {0}; ///< smoothed time of the answers beyond the expected one
    duration deviation {0}; ///< smoothed difference of a call's delay from @ref delay
    instant freeAt; ///< when the calls sent are expected to be answered
    instant issuedAt; ///< lower bound of when the service answered the last answered call, on the owner's clock
    std::uint64_t lastAnswered = 0; ///< highest number of an answered call
    instant pausedUntil; ///< after a call without an answer, the next trial isn't made before
    int failures = 0; ///< calls without an answer since the last answered one
    int openCalls = 0;
    int lateCalls = 0; ///< open calls that have taken longer than the patience with this route
    bool isTested = false; ///< a call has ended
};

/// Returns the evidence of a route without a call. @p expectedDelay is what is known of the way to the daemon.
advice_route_evidence untestedRoute(duration expectedDelay);

/// Notes that a call was answered @p beyond its expected time.
void noteAnswer(advice_route_evidence &evidence, duration beyond);

/// Notes that a call got no answer.
void noteFailure(advice_route_evidence &evidence, instant now);

/// Returns whether the next call is believed to be answered.
bool isBelieved(const advice_route_evidence &evidence, instant now);

/// Returns whether a call should be made to learn whether the route answers.
bool isDueForTrial(const advice_route_evidence &evidence, instant now);

/// Returns whether a call through the first route is expected to be answered sooner than through the second one.
bool isBetterRoute(const advice_route_evidence &left, const advice_route_evidence &right, instant now);

/// Returns how long after its expected time an answer of this route counts as late.
duration patienceWith(const advice_route_evidence &evidence);

/// Lower bound of the moment at which the service answered this call, on the owner's clock. The answer may have come
/// late, but one route's calls are answered one after the other, in the order of their @p number.
instant issuedSince(advice_route_evidence &evidence, std::uint64_t number, instant sentAt, duration cost);

} // namespace primrosecroft
