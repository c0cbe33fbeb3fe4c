#pragma once

#include "io/http_server.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace primrosecroft
{

/// A caller's request that keeps its answer.
class fake_request : public http_request
{
public:
    fake_request(std::string method, std::string path, http_headers headers = {}, std::string body = {})
        : m_method(std::move(method))
        , m_path(std::move(path))
        , m_headers(std::move(headers))
        , m_body(std::move(body))
    {
    }

    std::string method() const override
    {
        return m_method;
    }

    std::string path() const override
    {
        return m_path;
    }

    std::string query(const std::string & /*name*/) const override
    {
        return {};
    }

    http_headers headers() const override
    {
        return m_headers;
    }

    std::string header(const std::string &name) const override
    {
        return headerValue(m_headers, name);
    }

    std::string body() const override
    {
        return m_body;
    }

    void answer(const http_response &answer) override
    {
        response = answer;
    }

    void beginStream(unsigned /*status*/, const http_headers & /*headers*/) override
    {
    }
    void writePiece(std::string_view /*piece*/, std::function<void()> /*written*/) override
    {
    }
    void endStream() override
    {
    }
    void abort() override
    {
    }

    bool isDisconnected() const override
    {
        return false;
    }

    std::optional<http_response> response; ///< std::nullopt until the request is answered

private:
    std::string m_method;
    std::string m_path;
    http_headers m_headers;
    std::string m_body;
};

} // namespace primrosecroft
