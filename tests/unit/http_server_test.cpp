#include "io/http_server.h"
#include "loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ranges>
#include <thread>
#include <vector>

/// The HTTP server against clients that don't behave.
using namespace primrosecroft;
using namespace primrosecroft::loopback;
using namespace std::chrono_literals;

namespace
{

using request_pointer = std::shared_ptr<http_request>;

std::string repeat(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

/// A server that answers each request at once, but for those to `/slow`, which it keeps.
struct plain_server
{
    explicit plain_server(const http_server_limits &limits = {}, std::size_t answerSize = 2)
        : server(limits, [this, answerSize](const request_pointer &request) {
            ++served;
            if (request->path() == "/slow") {
                kept.push_back(request);
                return;
            }
            request->answer({statusOk, {}, std::string(answerSize, 'x')});
        })
    {
        server.listen("127.0.0.1", 0);
    }

    std::string ask(const std::string &bytes) const
    {
        return await(std::async(std::launch::async, exchange, server.port(), bytes));
    }

    std::size_t served = 0;
    std::vector<request_pointer> kept;
    http_server server;
};

} // namespace

TEST_CASE("a head over the limit is refused, also one of empty lines or of many fields", "[heads]")
{
    const plain_server daemon;
    const auto opening = std::string("GET /a HTTP/1.1\r\n");
    const auto head =
        GENERATE_COPY(repeat("\r\n", 50'000), opening + repeat("a: b\r\n", 10'000), opening + std::string(50'000, 'a'),
                      opening + "a: " + std::string(50'000, 'b'), "GET /" + std::string(50'000, 'a'));
    const auto answer = daemon.ask(head);
    CHECK(answer.starts_with("HTTP/1.1 431"));
    CHECK(daemon.ask("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}
