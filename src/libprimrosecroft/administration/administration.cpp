#include "administration/administration.h"

#include "core/checksum.h"
#include "observability/problem.h"

#include <functional>
#include <numeric>

namespace primrosecroft
{

namespace
{

constexpr std::string_view bearer = "Bearer ";

} // namespace

bool equalInConstantTime(const std::string &left, const std::string &right)
{
    // Hashes all have one length, so the time doesn't reveal the token's length either.
    const auto first = sha256(left);
    const auto second = sha256(right);
    const auto differing = std::transform_reduce(
        first.begin(), first.end(), second.begin(), 0U, std::bit_or<> {},
        [](char one, char other) { return static_cast<unsigned>(static_cast<unsigned char>(one ^ other)); });
    return differing == 0;
}

std::optional<http_response> refuseUnlessAdministrator(const administration_settings &settings,
                                                       const std::string &authorization)
{
    if (settings.isOpen) {
        return std::nullopt;
    }
    if (settings.token.empty()) {
        return toResponse({statusForbidden, request_outcome::refused, "check token", "",
                           "administration is closed by this process's settings", std::nullopt, ""});
    }
    if (authorization.starts_with(bearer) && equalInConstantTime(authorization.substr(bearer.size()), settings.token)) {
        return std::nullopt;
    }
    auto answer = toResponse({statusUnauthorized, request_outcome::refused, "check token", "",
                              "this path needs the administration's bearer token", std::nullopt, ""});
    answer.headers.push_back({"WWW-Authenticate", "Bearer"});
    return answer;
}

bool requiresAdministrator(const std::string &method, const std::string &path)
{
    return path == "/v1/sheet" || path.starts_with("/v1/sheet/") || (path == "/v1/demands" && method == "GET");
}

} // namespace primrosecroft
