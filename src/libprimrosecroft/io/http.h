#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Plain HTTP values, shared by client and server.
namespace primrosecroft
{

struct http_header
{
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

struct http_answer
{
    unsigned status = 0;
    http_headers headers;
    std::string body;
};

/// The first value of @p name, compared without regard to case; empty when absent.
std::string headerValue(const http_headers &headers, std::string_view name);

} // namespace primrosecroft
