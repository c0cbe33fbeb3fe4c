#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// HTTP values that client and server share.
namespace primrosecroft
{

/// Status codes in use (RFC 9110). firstErrorStatus and firstServerErrorStatus are the lowest of the classes 4xx and
/// 5xx.
inline constexpr unsigned statusOk = 200;
inline constexpr unsigned statusAccepted = 202;
inline constexpr unsigned statusNotModified = 304;
inline constexpr unsigned firstErrorStatus = 400;
inline constexpr unsigned statusBadRequest = 400;
inline constexpr unsigned statusUnauthorized = 401;
inline constexpr unsigned statusForbidden = 403;
inline constexpr unsigned statusNotFound = 404;
inline constexpr unsigned statusMethodNotAllowed = 405;
inline constexpr unsigned statusConflict = 409;
inline constexpr unsigned statusContentTooLarge = 413;
inline constexpr unsigned statusUnprocessable = 422;
inline constexpr unsigned statusPreconditionRequired = 428;
inline constexpr unsigned statusHeadTooLarge = 431;
inline constexpr unsigned firstServerErrorStatus = 500;
inline constexpr unsigned statusUnavailable = 503;
inline constexpr unsigned statusGatewayTimeout = 504;

struct http_header
{
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// What is known of the peer of a connection, for as long as that is open. It reaches one process only: the one that
/// has accepted it.
using connection_mark = std::shared_ptr<std::string>;

struct http_response
{
    unsigned status = 0;
    http_headers headers;
    std::string body;
    connection_mark mark = nullptr; ///< of the connection over which the client got it; nullptr at a server
};

/// Returns the first value of the header @p name, compared case-insensitively; empty if there is none.
std::string headerValue(const http_headers &headers, std::string_view name);

} // namespace primrosecroft
