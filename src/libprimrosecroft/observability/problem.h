#pragma once

#include "io/http.h"

#include <chrono>
#include <optional>
#include <string>

namespace primrosecroft
{

/// Outcome of a failed request as reported to its caller.
enum class request_outcome
{
    refused, ///< the request did not run
    unknown, ///< the request may have run
};

/// Problem details for callers (RFC 9457), extended by outcome, step and peer.
struct problem
{
    unsigned status = 500;
    request_outcome outcome = request_outcome::refused;
    std::string step; ///< step that failed
    std::string peer; ///< peer with which it failed; empty if none was involved
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter; ///< set if a later attempt can help
    std::string askAt; ///< where the caller can query the outcome later, if it is unknown; empty for none
};

/// Encodes the problem as a response of type application/problem+json.
http_response toResponse(const problem &fault);

/// Returns a response of type application/json.
http_response jsonResponse(unsigned status, std::string body);

} // namespace primrosecroft
