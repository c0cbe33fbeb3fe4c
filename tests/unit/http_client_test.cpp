#include "io/http_client.h"
#include "io/timer.h"
#include "loopback.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

/// Calls whose connection comes up late or not at all, over real connections.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr auto timeout = 600ms; ///< shorter than the second after which a kernel sends an opening packet again
constexpr std::size_t bytesBeyondSocketBuffers = 16'000'000;
constexpr const char *emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Calls @p port and runs the main loop until the outcome is there.
http_outcome callAndWait(http_client &http, std::uint16_t port)
{
    http_call call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    call.body = "{}";
    call.timeout = timeout;
    std::optional<http_outcome> result;
    http.call(call, [&result](const http_outcome &outcome) { result = outcome; });
    loopback::runUntil([&result] { return result.has_value(); });
    REQUIRE(result.has_value());
    return *result;
}

} // namespace

TEST_CASE("GANG: a call reaches a peer that has dropped the first packet of the connection")
{
    loopback::choked_peer peer;
    timer room;
    room.once(50ms, [&peer] { peer.serveNext(emptyResponse); });
    http_client http;
    const auto outcome = callAndWait(http, peer.port());
    REQUIRE(std::holds_alternative<http_response>(outcome));
    CHECK(std::get<http_response>(outcome).status == statusOk);
}

TEST_CASE("a call whose connection doesn't come up has sent nothing")
{
    const loopback::choked_peer peer;
    http_client http;
    const auto outcome = callAndWait(http, peer.port());
    REQUIRE(std::holds_alternative<http_failure>(outcome));
    const auto &failure = std::get<http_failure>(outcome);
    CHECK(failure.hasTimedOut);
    CHECK_FALSE(failure.isSent);
    CHECK(failure.stage == http_stage::connecting);
}

TEST_CASE("a call that a peer leaves unanswered may have been carried out, on a new connection as on a kept one")
{
    loopback::scripted_peer peer([](loopback::raw_connection &connection, int number) {
        if (number == 0) {
            connection.readRequest();
            connection.write(emptyResponse);
        }
        connection.readAll();
    });
    http_client http;
    REQUIRE(std::holds_alternative<http_response>(callAndWait(http, peer.port())));
    for (const auto expected : {http_stage::sentOnKeptConnection, http_stage::sentOnNewConnection}) {
        const auto outcome = callAndWait(http, peer.port());
        REQUIRE(std::holds_alternative<http_failure>(outcome));
        CHECK(std::get<http_failure>(outcome).isSent);
        CHECK(std::get<http_failure>(outcome).stage == expected);
    }
}

TEST_CASE("a call whose response has arrived has been sent, also if it isn't read before the timeout")
{
    loopback::scripted_peer peer([](loopback::raw_connection &connection, int) {
        connection.readRequest();
        connection.write(emptyResponse);
        connection.readAll();
    });
    http_client http;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/";
    call.timeout = 200ms;
    std::optional<http_failure> failure;
    http_stream::handlers handlers;
    handlers.headReceived = [](unsigned, const http_headers &) { };
    handlers.failed = [&failure](const http_failure &reason) { failure = reason; };
    const auto unread = http.stream(call, handlers);
    loopback::runUntil([&failure] { return failure.has_value(); });
    REQUIRE(failure.has_value());
    CHECK(failure->isSent);
}

TEST_CASE("a request isn't sent again if its connection is reset while the main loop is late")
{
    std::atomic<int> requests = 0;
    loopback::scripted_peer peer([&requests](loopback::raw_connection &connection, int) {
        requests += connection.readRequest().empty() ? 0 : 1;
        connection.reset();
    });
    http_client http;
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/";
    call.method = "POST";
    call.body =
        std::string(bytesBeyondSocketBuffers, 'x'); // so that the main loop has to wait for room to send the rest
    call.timeout = timeout;
    std::optional<http_outcome> result;
    http.call(call, [&result](const http_outcome &outcome) { result = outcome; });
    loopback::runUntil([&requests] { return requests > 0; });
    std::this_thread::sleep_for(timeout / 2);
    loopback::runUntil([&result] { return result.has_value(); });
    REQUIRE(std::holds_alternative<http_failure>(*result));
    CHECK(std::get<http_failure>(*result).isSent);
    CHECK(requests == 1);
}

TEST_CASE("a slow answer on a connection that is up isn't asked for again")
{
    std::atomic<int> connections = 0;
    loopback::scripted_peer peer([&connections](loopback::raw_connection &connection, int) {
        ++connections;
        connection.readRequest();
        std::this_thread::sleep_for(400ms);
        connection.write(emptyResponse);
        connection.readAll();
    });
    http_client http;
    CHECK(std::holds_alternative<http_response>(callAndWait(http, peer.port())));
    CHECK(connections == 1);
}

// Guards against TWICE: an order that a process sends after it stood still, though its time is up.
TEST_CASE("a call that has waited for a connection isn't sent after its timeout, also if the main loop is late")
{
    std::atomic<int> requests = 0;
    loopback::scripted_peer peer([&requests](loopback::raw_connection &connection, int) {
        while (!connection.readRequest().empty()) {
            ++requests;
            std::this_thread::sleep_for(timeout / 2);
            connection.write(emptyResponse);
        }
    });
    http_client http(1);
    http_call call;
    call.url = "http://127.0.0.1:" + std::to_string(peer.port()) + "/";
    call.timeout = 10 * timeout;
    std::optional<http_outcome> first;
    std::optional<http_outcome> second;
    http.call(call, [&first](const http_outcome &outcome) { first = outcome; });
    call.timeout = timeout / 2;
    http.call(call, [&second](const http_outcome &outcome) { second = outcome; });
    loopback::runUntil([&requests] { return requests == 1; });
    std::this_thread::sleep_for(timeout);
    loopback::runUntil([&] { return first && second; });
    CHECK(std::holds_alternative<http_response>(*first));
    REQUIRE(std::holds_alternative<http_failure>(*second));
    std::this_thread::sleep_for(timeout / 10); // for a request that is on its way
    CHECK(requests == 1);
}
