#pragma once

#include "io/http.h"

#include <chrono>
#include <optional>
#include <string>

namespace primrosecroft
{

/// What became of a request, as its caller is told.
enum class request_outcome
{
    refused, ///< it did not run
    unknown, ///< it may have run
};

/// A problem as callers get it (RFC 9457), with outcome, step and peer.
struct problem
{
    unsigned status = 500;
    request_outcome outcome = request_outcome::refused;
    std::string step;
    std::string peer;
    std::string detail;
    std::optional<std::chrono::milliseconds> retryAfter; ///< when a later try can help
    std::string askAt; ///< where to ask later, for unknown outcomes
};

http_response toResponse(const problem &fault);

/// 200 or another status with a JSON text.
http_response jsonResponse(unsigned status, std::string body);

} // namespace primrosecroft
