#pragma once

#include "io/http.h"

#include <optional>
#include <string>

/**
 * Who may use the administration paths: the holder of the bearer token that the
 * settings name, or everybody where the settings open them by name.
 */
namespace primrosecroft
{

struct administration_settings
{
    std::string token;
    bool isOpen = false;
};

/// True when both are equal; the time it takes tells nothing of where they differ.
bool equalInConstantTime(const std::string &left, const std::string &right);

/// The answer to a request that may not administer (RFC 6750), none for one that may.
std::optional<http_response> refuseUnlessAdministrator(const administration_settings &settings,
                                                       const std::string &authorization);

/// Whether only administrators may use this path with this method.
bool requiresAdministrator(const std::string &method, const std::string &path);

} // namespace primrosecroft
