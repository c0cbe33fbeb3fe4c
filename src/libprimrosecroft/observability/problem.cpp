#include "observability/problem.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

http_response toResponse(const problem &fault)
{
    nlohmann::json body {{"outcome", fault.outcome == request_outcome::refused ? "refused" : "unknown"},
                         {"status", fault.status},
                         {"step", fault.step},
                         {"detail", fault.detail}};
    http_response answer {fault.status, {{"Content-Type", "application/problem+json"}}, {}};
    if (!fault.peer.empty()) {
        body["peer"] = fault.peer;
    }
    if (!fault.askAt.empty()) {
        body["askAt"] = fault.askAt;
    }
    if (fault.retryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*fault.retryAfter);
        answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
        body["retryAfterMs"] = fault.retryAfter->count();
    }
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

http_response jsonResponse(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace primrosecroft
