#pragma once

#include "io/http.h"

#include <optional>
#include <string>

/**
 * Authorization for the administration paths: open to holders of the bearer token from the settings, or to everybody if
 * the settings open administration explicitly. Otherwise the paths are closed.
 */
namespace primrosecroft
{

struct administration_settings
{
    std::string token; ///< empty if the settings name no token file
    bool isOpen = false; ///< no token is needed
};

/// Compares in constant time, so that response times don't reveal how much of a guessed token is right.
bool equalInConstantTime(const std::string &left, const std::string &right);

/// Returns the answer that refuses the request (RFC 6750), or std::nullopt if it is authorized. @p authorization is the
/// request's Authorization header.
std::optional<http_response> refuseUnlessAdministrator(const administration_settings &settings,
                                                       const std::string &authorization);

/// True if only administrators may request this path with this method.
bool requiresAdministrator(const std::string &method, const std::string &path);

} // namespace primrosecroft
