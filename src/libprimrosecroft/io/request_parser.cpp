#include "io/request_parser.h"

#include <algorithm>
#include <utility>

namespace primrosecroft
{

namespace
{

constexpr std::size_t exactBodySize = std::size_t {16} * 1024; ///< see request_parser::onBody()

request_parser &of(http_parser *parser)
{
    return *static_cast<request_parser *>(parser->data);
}

} // namespace

request_parser::request_parser()
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

const http_parser_settings &request_parser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = [](http_parser *parser, const char *at, size_t length) {
            of(parser).m_request.target.append(at, length);
            return 0;
        };
        result.on_header_field = [](http_parser *parser, const char *at, size_t length) {
            if (!of(parser).m_isHeadComplete) { // else it is a trailer
                of(parser).m_request.headers.addName({at, length});
            }
            return 0;
        };
        result.on_header_value = [](http_parser *parser, const char *at, size_t length) {
            if (!of(parser).m_isHeadComplete) {
                of(parser).m_request.headers.addValue({at, length});
            }
            return 0;
        };
        result.on_headers_complete = [](http_parser *parser) {
            of(parser).onHead();
            return 0;
        };
        result.on_body = [](http_parser *parser, const char *at, size_t length) {
            of(parser).onBody({at, length});
            return 0;
        };
        result.on_message_complete = [](http_parser *parser) {
            of(parser).onComplete();
            return 0;
        };
        return result;
    }();
    return settings;
}

request_parser::result request_parser::parse(std::string_view bytes, const request_limits &limits)
{
    m_limits = limits;
    m_reached = parse_step::incomplete;
    const bool wasInHead = !m_isHeadComplete;
    if (wasInHead) {
        const auto remaining = limits.maxHeadSize - std::min(limits.maxHeadSize, m_headBytes);
        if (remaining == 0) {
            return {parse_step::headTooLong, 0};
        }
        bytes = bytes.substr(0, remaining);
    }
    http_parser_pause(&m_parser, 0);
    const auto used = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    m_headBytes += wasInHead ? used : 0;
    const auto step = stepAfter(HTTP_PARSER_ERRNO(&m_parser));
    if (step == parse_step::complete) {
        m_isHeadComplete = false;
        m_isDiscarding = false;
        m_headBytes = 0;
    }
    return {step, used};
}

parse_step request_parser::stepAfter(http_errno outcome) const
{
    switch (outcome) {
    case HPE_OK:
    case HPE_PAUSED:
        return m_reached;
    case HPE_HEADER_OVERFLOW:
        return parse_step::headTooLong;
    default:
        return parse_step::malformed;
    }
}

void request_parser::onHead()
{
    m_isHeadComplete = true;
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    m_request.isHttp10 = m_parser.http_major == 1 && m_parser.http_minor == 0;
    m_request.keepAlive = http_should_keep_alive(&m_parser) != 0;
    m_bodyLength = (m_parser.flags & F_CONTENTLENGTH) != 0 ? m_parser.content_length : 0;
    m_reached = m_bodyLength > m_limits.maxBodySize ? parse_step::bodyTooLong : parse_step::headComplete;
    http_parser_pause(&m_parser, 1);
}

/// Once the body isn't small any more, it gets the memory for its whole length, or for the longest one if the head
/// tells none. Doubling its capacity would leave blocks of each size behind, which bodies that grow can't use again.
/// The word of the head alone gets no memory.
void request_parser::onBody(std::string_view piece)
{
    if (m_isDiscarding) {
        return;
    }
    if (m_request.body.size() + piece.size() > exactBodySize) {
        m_request.body.reserve(m_bodyLength > 0 ? m_bodyLength : m_limits.maxBodySize);
    }
    m_request.body.append(piece);
    if (m_request.body.size() > m_limits.maxBodySize) {
        discardRequest();
        m_reached = parse_step::bodyTooLong;
        http_parser_pause(&m_parser, 1);
    }
}

void request_parser::onComplete()
{
    m_reached = parse_step::complete;
    http_parser_pause(&m_parser, 1);
}

void request_parser::discardRequest()
{
    m_isDiscarding = true;
    m_request = {};
}

bool request_parser::hasBegun() const
{
    return m_isHeadComplete || m_headBytes > 0;
}

bool request_parser::isHeadComplete() const
{
    return m_isHeadComplete;
}

std::size_t request_parser::heldBytes() const
{
    return m_request.target.capacity() + m_request.headers.heldBytes() + m_request.body.capacity();
}

const parsed_request &request_parser::request() const
{
    return m_request;
}

parsed_request request_parser::takeRequest()
{
    return std::exchange(m_request, {});
}

} // namespace primrosecroft
