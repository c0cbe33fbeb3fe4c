#include "io/http_server.h"
#include "loopback.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ranges>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// The HTTP server against clients that don't behave.
using namespace primrosecroft;
using namespace primrosecroft::loopback;
using namespace std::chrono_literals;

namespace
{

using request_pointer = std::shared_ptr<http_request>;

const std::string shortRequest = "GET /a HTTP/1.1\r\n\r\n";

std::string repeat(const std::string &text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t result = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++result;
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
        server.onRefusal([this](server_refusal reason) { refusals.push_back(reason); });
        server.listen("127.0.0.1", 0);
    }

    std::string ask(const std::string &bytes) const
    {
        return await(std::async(std::launch::async, exchange, server.port(), bytes));
    }

    std::size_t served = 0;
    std::vector<request_pointer> kept;
    std::vector<server_refusal> refusals;
    http_server server;
};

/// Writes in a thread of its own, until all is written or the connection is closed.
class background_writer
{
public:
    background_writer(raw_connection &connection, std::string bytes)
        : m_connection(connection)
        , m_thread([&connection, text = std::move(bytes)] { connection.write(text); })
    {
    }

    ~background_writer()
    {
        m_connection.reset();
        m_thread.join();
    }

    background_writer(const background_writer &) = delete;
    background_writer &operator=(const background_writer &) = delete;

private:
    raw_connection &m_connection;
    std::thread m_thread;
};

/// Lets this process open only so many further descriptors.
class descriptor_limit
{
public:
    explicit descriptor_limit(rlim_t further)
    {
        const int next = dup(STDIN_FILENO);
        ::close(next);
        getrlimit(RLIMIT_NOFILE, &m_before);
        const rlimit lowered {static_cast<rlim_t>(next) + further, m_before.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
    }

    ~descriptor_limit()
    {
        setrlimit(RLIMIT_NOFILE, &m_before);
    }

    descriptor_limit(const descriptor_limit &) = delete;
    descriptor_limit &operator=(const descriptor_limit &) = delete;

private:
    rlimit m_before {};
};

/// A POST of a body of @p size bytes, without the last @p missing ones.
std::string post(const std::string &path, std::size_t size, std::size_t missing = 0)
{
    return "POST " + path + " HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size - missing, 'x');
}

void runFor(std::chrono::milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    runUntil([end] { return std::chrono::steady_clock::now() > end; });
}

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
    CHECK(daemon.refusals == std::vector {server_refusal::headTooLong});
    CHECK(daemon.ask("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("large requests beyond the memory for them are refused, small ones are served", "[bodies]")
{
    constexpr std::size_t large = 60'000;
    const plain_server daemon({.maxHeldBytes = 100'000});
    const auto first = connectTo(daemon.server.port());
    first->write(post("/a", large, 1));
    runFor(200ms);
    const auto refused = daemon.ask(post("/a", large));
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(daemon.refusals == std::vector {server_refusal::noMemory});
    CHECK(daemon.served == 0);
    CHECK(daemon.ask(post("/a", 10'000)).starts_with("HTTP/1.1 200"));
    first->write("x");
    REQUIRE(runUntil([&daemon] { return daemon.served == 2; }));
    CHECK(daemon.ask(post("/a", large)).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a request counts for as long as its handler has it, also after its connection has closed", "[bodies]")
{
    plain_server daemon({.maxHeldBytes = 100'000});
    const auto first = connectTo(daemon.server.port());
    first->write(post("/slow", 60'000));
    REQUIRE(runUntil([&daemon] { return daemon.kept.size() == 1; }));
    first->reset();
    REQUIRE(runUntil([&daemon] { return daemon.kept.front()->isDisconnected(); }));
    CHECK(daemon.ask(post("/a", 60'000)).starts_with("HTTP/1.1 503"));
    daemon.kept.clear();
    CHECK(daemon.ask(post("/a", 60'000)).starts_with("HTTP/1.1 200"));
}

TEST_CASE("callers that leave before their response can't make the server hold requests without end", "[bodies]")
{
    plain_server daemon({.maxConnections = 2});
    for (std::size_t i = 1; i <= 2; ++i) {
        const auto caller = connectTo(daemon.server.port());
        caller->write(post("/slow", 10));
        REQUIRE(runUntil([&] { return daemon.kept.size() == i; }));
        caller->reset();
        REQUIRE(runUntil([&] { return daemon.kept.back()->isDisconnected(); }));
    }
    CHECK(daemon.ask(post("/a", 10)).starts_with("HTTP/1.1 503"));
    daemon.kept.clear();
    CHECK(daemon.ask(post("/a", 10)).starts_with("HTTP/1.1 200"));
}

TEST_CASE("requests that arrive while one is served are answered in turn, however many they are", "[pipelined]")
{
    constexpr std::size_t count = 14'000; // each answered within the call for the one before, they'd exhaust the stack
    plain_server daemon;
    const auto caller = connectTo(daemon.server.port());
    auto answer = std::async(std::launch::async, [&caller] {
        caller->write("GET /slow HTTP/1.1\r\n\r\n" + repeat("GET /a HTTP/1.1\n\n", count)
                      + "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
        return caller->readAll();
    });
    REQUIRE(runUntil([&daemon] { return daemon.kept.size() == 1; }));
    runFor(500ms);
    daemon.kept.front()->answer({statusOk, {}, "slow"});
    const auto received = await(std::move(answer));
    CHECK(countOf(received, "HTTP/1.1 200 OK") == count + 2);
}

TEST_CASE("a client that doesn't take its responses gets no further ones", "[unread]")
{
    constexpr std::size_t answerSize = 10'000;
    plain_server daemon({}, answerSize);
    const auto caller = connectTo(daemon.server.port());
    const background_writer writing(*caller, repeat(shortRequest, 20'000));
    runFor(1'000ms);
    // What the sockets' buffers of both sides hold at most, far below the 200 MB of all responses.
    constexpr std::size_t bufferedAnswers = std::size_t {16} * 1024 * 1024 / answerSize;
    CHECK(daemon.served < bufferedAnswers);
}

TEST_CASE("at the limit of connections the one that has been idle longest makes room", "[idle]")
{
    plain_server daemon({.maxConnections = 2});
    const auto first = connectTo(daemon.server.port());
    first->write(shortRequest);
    REQUIRE(runUntil([&daemon] { return daemon.served == 1; }));
    const auto second = connectTo(daemon.server.port());
    second->write("GET /slow HTTP/1.1\r\n\r\n");
    REQUIRE(runUntil([&daemon] { return daemon.served == 2; }));
    CHECK(daemon.ask("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK_FALSE(daemon.kept.front()->isDisconnected());
    CHECK(daemon.refusals == std::vector {server_refusal::madeRoom});
}

TEST_CASE("a connection whose request is served never makes room; the new one waits for its turn", "[idle]")
{
    plain_server daemon({.maxConnections = 1});
    const auto first = connectTo(daemon.server.port());
    first->write("GET /slow HTTP/1.1\r\n\r\n");
    REQUIRE(runUntil([&daemon] { return daemon.kept.size() == 1; }));
    auto answer =
        std::async(std::launch::async, exchange, daemon.server.port(), "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    runFor(300ms);
    CHECK(daemon.served == 1);
    CHECK(daemon.refusals.empty());
    CHECK_FALSE(daemon.kept.front()->isDisconnected());
    daemon.kept.front()->answer({statusOk, {}, "slow"});
    daemon.kept.clear();
    const auto received = await(std::move(answer));
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(await(std::async(std::launch::async, [&first] { return first->readAll(); })).ends_with("slow"));
}

TEST_CASE("without an idle connection the one that has been unfinished longest makes room", "[idle]")
{
    plain_server daemon({.maxConnections = 2});
    const auto oldest = connectTo(daemon.server.port());
    oldest->write(post("/a", 10, 1));
    runFor(100ms);
    const auto second = connectTo(daemon.server.port());
    second->write(post("/a", 10, 1));
    runFor(100ms);
    CHECK(daemon.ask("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
    second->write("x");
    CHECK(runUntil([&daemon] { return daemon.served == 2; }));
    CHECK(await(std::async(std::launch::async, [&oldest] { return oldest->readAll(); })).find("200")
          == std::string::npos);
}

TEST_CASE("without a descriptor for a new connection an idle one makes room", "[idle]")
{
    plain_server daemon;
    const auto idle = connectTo(daemon.server.port());
    idle->write(shortRequest);
    REQUIRE(runUntil([&daemon] { return daemon.served == 1; }));
    const descriptor_limit limit(1); // for the new connection's own side
    CHECK(daemon.ask("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
}
