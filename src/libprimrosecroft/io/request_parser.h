#pragma once

#include "io/header_text.h"

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

/// Parses the requests of one connection as their bytes arrive, and stops at the limits on what a request may hold.
namespace primrosecroft
{

struct parsed_request
{
    std::string method;
    std::string target;
    header_text headers;
    std::string body;
    bool keepAlive = false;
    bool isHttp10 = false;
};

struct request_limits
{
    std::size_t maxHeadSize = 0; ///< bytes of request line and fields, and of empty lines before them
    std::size_t maxBodySize = 0; ///< bytes
};

/// How far the parser has got.
enum class parse_step
{
    incomplete, ///< more bytes are needed
    headComplete,
    complete,
    malformed,
    headTooLong,
    bodyTooLong,
};

/**
 * Parser of the requests of one connection. After parse_step::complete it begins with the next request; after
 * malformed and headTooLong it can't continue.
 */
class request_parser
{
public:
    struct result
    {
        parse_step step = parse_step::incomplete;
        std::size_t used = 0; ///< bytes that have been parsed
    };

    request_parser();
    request_parser(const request_parser &) = delete;
    request_parser &operator=(const request_parser &) = delete;

    /// Parses @p bytes up to the next step.
    result parse(std::string_view bytes, const request_limits &limits);

    /// Frees the current request, whose head is complete, and keeps no further bytes of it. The parser continues up to
    /// its end.
    void discardRequest();

    /// Returns true if a byte of the next request has arrived, be it an empty line before it.
    bool hasBegun() const;
    bool isHeadComplete() const;

    /// Returns the memory that the request holds as far as it has arrived, in bytes.
    std::size_t heldBytes() const;

    /// Returns the request as far as it has arrived.
    const parsed_request &request() const;

    /// Returns the request and keeps nothing of it.
    parsed_request takeRequest();

private:
    static const http_parser_settings &callbacks();
    void onHead();
    void onBody(std::string_view piece);
    void onComplete();
    parse_step stepAfter(http_errno outcome) const;

    http_parser m_parser {};
    parsed_request m_request;
    request_limits m_limits;
    std::size_t m_headBytes = 0; ///< of the current head so far
    std::size_t m_bodyLength = 0; ///< that the head has told; 0 for none
    parse_step m_reached = parse_step::incomplete; ///< in the current call
    bool m_isHeadComplete = false;
    bool m_isDiscarding = false;
};

} // namespace primrosecroft
