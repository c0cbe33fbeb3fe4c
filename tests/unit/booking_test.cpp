#include "loopback.h"
#include "routing/booking_proxy.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

/// Bookings through the real HTTP server and client, with executors that cut off their answers at chosen bytes.
using namespace primrosecroft;
using namespace primrosecroft::loopback;
using namespace std::chrono_literals;

namespace
{

/// The parts of an entry daemon that serve bookings, with executors at the given ports.
struct entry
{
    explicit entry(const std::vector<std::uint16_t> &ports)
        : proxy(client, measures, makeSettings(), 5'000ms, [](const upstream_id &) {})
        , server(limits(), [this](const auto &request) { proxy.serve(request); })
    {
        server.listen("127.0.0.1", 0);
        std::vector<listed_vm> vms;
        vms.reserve(ports.size());
        for (const auto each : ports) {
            vms.push_back({"x" + std::to_string(vms.size()), vm_role::executor, "a", "r", "127.0.0.1", each, false});
        }
        proxy.setUpstreams(vms);
    }

    static routing_settings makeSettings()
    {
        routing_settings settings;
        settings.failureDomain = "a";
        settings.region = "r";
        return settings;
    }

    static http_server_limits limits()
    {
        http_server_limits result;
        result.requestTimeout = 300ms;
        result.maxBodySize = 1'000;
        return result;
    }

    std::string ask(const std::string &bytes) const
    {
        return await(std::async(std::launch::async, exchange, server.port(), bytes));
    }

    http_client client {8};
    metrics measures;
    booking_proxy proxy;
    http_server server;
};

std::string request(const std::string &method, const std::string &path, const std::string &headers = {},
                    const std::string &body = {})
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n" + headers
        + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

std::string answerOf(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// True if a caller would take the bytes for a complete answer (RFC 9112, 6.3).
bool looksComplete(const std::string &answer)
{
    const auto end = answer.find("\r\n\r\n");
    if (end == std::string::npos || answer.ends_with(resetMark)) {
        return false;
    }
    const auto head = answer.substr(0, end);
    const auto body = answer.substr(end + 4);
    if (contains(head, "Transfer-Encoding: chunked")) {
        return body.ends_with("0\r\n\r\n");
    }
    const auto length = head.find("Content-Length: ");
    return length == std::string::npos || std::stoul(head.substr(length + 16)) == body.size();
}

/// Answers each request of each connection with the result of @p reply; an empty result closes the connection.
scripted_peer::script answering(const std::function<std::string(const std::string &request)> &reply)
{
    return [reply](raw_connection &connection, int /*number*/) {
        for (auto text = connection.readRequest(); !text.empty(); text = connection.readRequest()) {
            const auto answer = reply(text);
            if (answer.empty()) {
                return;
            }
            connection.write(answer);
        }
    };
}

scripted_peer::script cutOffAfter(const std::string &bytes)
{
    return [bytes](raw_connection &connection, int /*number*/) {
        connection.readRequest();
        connection.write(bytes);
    };
}

const std::string cutByLength = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello";
const std::string cutBeforeTrailer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
const std::string cutChunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";

} // namespace

TEST_CASE("a complete answer arrives complete", "[promise-3]")
{
    scripted_peer upstream(answering([](const std::string &) { return answerOf("hello"); }));
    const entry daemon({upstream.port()});
    const auto answer = daemon.ask(request("GET", "/booking/1"));
    CHECK(looksComplete(answer));
    CHECK(contains(answer, "hello"));
}

TEST_CASE("a complete chunked answer arrives complete", "[promise-3]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    const std::string answer = head
        + GENERATE(as<std::string> {}, "\r\n0\r\n\r\n", "\r\n5\r\nhello\r\n0\r\n\r\n",
                   "\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n", "Connection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                   "\r\n5;a=b\r\nhello\r\n0\r\nTrailer: x\r\n\r\n");
    const auto pieceSize = GENERATE(std::size_t {1}, std::size_t {7}, std::size_t {1'000});
    scripted_peer upstream([&](raw_connection &connection, int /*number*/) {
        connection.readRequest();
        for (std::size_t begin = 0; begin < answer.size(); begin += pieceSize) {
            connection.write(answer.substr(begin, pieceSize));
            std::this_thread::sleep_for(1ms);
        }
        if (!contains(answer, "Connection: close")) {
            connection.readRequest(); // a close that was not announced would count as an answer cut off
        }
    });
    const entry daemon({upstream.port()});
    const auto received = daemon.ask(request("GET", "/booking/1"));
    INFO(received);
    CHECK(looksComplete(received));
    CHECK(contains(received, "200 OK"));
}

TEST_CASE("an answer cut off upstream is never delivered as complete", "[promise-3]")
{
    const auto cut = GENERATE(cutByLength, cutChunks, cutBeforeTrailer);
    scripted_peer upstream(cutOffAfter(cut));
    const entry daemon({upstream.port()});
    const auto answer = daemon.ask(request("GET", "/booking/1", "Primrosecroft-Repeat: never\r\n"));
    INFO(answer);
    CHECK_FALSE(looksComplete(answer));
}

TEST_CASE("an answer cut off between chunks before an announced close is never delivered as complete", "[promise-3]")
{
    scripted_peer upstream(
        cutOffAfter("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"));
    const entry daemon({upstream.port()});
    CHECK_FALSE(looksComplete(daemon.ask(request("GET", "/booking/1"))));
}

TEST_CASE("an answer cut off upstream is never delivered as complete to a caller that uses HTTP/1.0", "[promise-3]")
{
    const auto cut = GENERATE(cutByLength, cutChunks, cutBeforeTrailer);
    scripted_peer upstream(cutOffAfter(cut));
    const entry daemon({upstream.port()});
    const auto answer = daemon.ask("GET /booking/1 HTTP/1.0\r\n\r\n");
    CHECK_FALSE((contains(answer, "200 OK") && looksComplete(answer)));
}

TEST_CASE("a late answer is never delivered to another request", "[promise-3]")
{
    scripted_peer upstream(answering([](const std::string &text) {
        if (contains(text, "/booking/late")) {
            std::this_thread::sleep_for(300ms);
            return answerOf("late");
        }
        return answerOf("own");
    }));
    const entry daemon({upstream.port()});
    CHECK(contains(daemon.ask(request("GET", "/booking/first")), "own"));
    CHECK(contains(daemon.ask(request("GET", "/booking/late", "Primrosecroft-Deadline-Ms: 60\r\n")), "unknown"));
    for (int round = 0; round < 5; ++round) {
        CHECK(contains(daemon.ask(request("GET", "/booking/next")), "own"));
        std::this_thread::sleep_for(100ms);
    }
}

TEST_CASE("an answer sent twice is never delivered to another request", "[promise-3]")
{
    scripted_peer upstream(answering([](const std::string &text) {
        const auto answer = answerOf(contains(text, "/booking/first") ? "first" : "own");
        return contains(text, "/booking/first") ? answer + answer : answer;
    }));
    const entry daemon({upstream.port()});
    CHECK(contains(daemon.ask(request("GET", "/booking/first")), "first"));
    const auto answer = daemon.ask(request("GET", "/booking/second"));
    CHECK_FALSE(contains(answer, "first"));
}

TEST_CASE("a request is refused if no executor accepts a connection", "[promise-4]")
{
    const entry daemon({closedPort()});
    const auto answer = daemon.ask(request("POST", "/booking/1", "", "body"));
    CHECK(contains(answer, "503"));
    CHECK(contains(answer, "Retry-After: "));
    CHECK(contains(answer, R"("outcome":"refused")"));
}

TEST_CASE("a request that was sent and not answered has an unknown outcome and a path to ask at",
          "[promise-4][promise-5]")
{
    const auto *const method = GENERATE("POST", "PUT");
    std::atomic<int> written = 0;
    scripted_peer upstream(answering([&written](const std::string &) {
        ++written;
        return std::string();
    }));
    const entry daemon({upstream.port(), upstream.port()});
    const auto answer = daemon.ask(request(method, "/booking/1", "Primrosecroft-Repeat: never\r\n", "body"));
    CHECK(contains(answer, R"("outcome":"unknown")"));
    CHECK(contains(answer, R"("askAt":"/booking/1")"));
    CHECK(written == 1);
}

TEST_CASE("a request that must not be repeated is sent once, even if an idle connection was closed before",
          "[promise-4][promise-5]")
{
    const auto *const method = GENERATE("POST", "PUT", "GET", "DELETE");
    std::atomic<int> written = 0;
    scripted_peer upstream(answering([&written](const std::string &text) {
        if (contains(text, "/booking/warm")) {
            return answerOf("warm");
        }
        ++written;
        return std::string();
    }));
    const entry daemon({upstream.port()});
    CHECK(contains(daemon.ask(request("GET", "/booking/warm")), "warm"));
    const auto answer = daemon.ask(request(method, "/booking/1", "Primrosecroft-Repeat: never\r\n"));
    CHECK(contains(answer, R"("outcome":"unknown")"));
    CHECK(written == 1);
}

TEST_CASE("answers without a body are forwarded without one")
{
    scripted_peer upstream(answering([](const std::string &text) -> std::string {
        if (text.starts_with("HEAD")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-Kept: yes\r\n\r\n";
        }
        return contains(text, "/booking/304") ? "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n"
                                              : "HTTP/1.1 204 No Content\r\n\r\n";
    }));
    const entry daemon({upstream.port()});
    const auto head = daemon.ask(request("HEAD", "/booking/1"));
    CHECK(contains(head, "200 OK"));
    CHECK(contains(head, "X-Kept: yes"));
    CHECK(contains(head, "Content-Length: 1234"));
    CHECK(head.ends_with("\r\n\r\n"));
    for (const std::string status : {"204", "304"}) {
        const auto answer = daemon.ask(request("GET", "/booking/" + status));
        CHECK(contains(answer, "HTTP/1.1 " + status));
        CHECK_FALSE(contains(answer, "chunked"));
        CHECK(answer.ends_with("\r\n\r\n"));
    }
}

TEST_CASE("each header of an answer is forwarded, even if it occurs twice")
{
    scripted_peer upstream(answering([](const std::string &) {
        return "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n";
    }));
    const entry daemon({upstream.port()});
    const auto answer = daemon.ask(request("GET", "/booking/1"));
    CHECK(contains(answer, "Set-Cookie: a=1"));
    CHECK(contains(answer, "Set-Cookie: b=2"));
}

TEST_CASE("an encoded answer is forwarded unchanged")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\n";
    scripted_peer upstream(answering([&head](const std::string &) { return head + "hello"; }));
    const entry daemon({upstream.port()});
    const auto answer = daemon.ask(request("GET", "/booking/1"));
    CHECK(contains(answer, "Content-Encoding: gzip"));
    CHECK(answer.ends_with("\r\n\r\nhello"));
}

TEST_CASE("headers named by a Connection header aren't forwarded")
{
    std::promise<std::string> received;
    scripted_peer upstream(answering([&received](const std::string &text) {
        received.set_value(text);
        return answerOf("");
    }));
    const entry daemon({upstream.port()});
    daemon.ask("GET /booking/1?a=b HTTP/1.1\r\nHost: entry\r\nConnection: close, X-Private\r\nX-Private: 1\r\n"
               "X-Public: 2\r\n\r\n");
    const auto text = received.get_future().get();
    CHECK(text.starts_with("GET /booking/1?a=b HTTP/1.1"));
    CHECK(contains(text, "X-Public: 2"));
    CHECK_FALSE(contains(text, "X-Private"));
}

TEST_CASE("a slow caller slows the executor down instead of filling the daemon's memory")
{
    constexpr std::size_t pieces = 256;
    const std::string piece(std::size_t {256} * 1024, 'x');
    std::atomic<std::size_t> written = 0;
    scripted_peer upstream([&](raw_connection &connection, int /*number*/) {
        connection.readRequest();
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * piece.size()) + "\r\n\r\n");
        for (std::size_t each = 0; each < pieces; ++each) {
            connection.write(piece);
            written += piece.size();
        }
    });
    const entry daemon({upstream.port()});
    const auto caller = connectTo(daemon.server.port());
    caller->write(request("GET", "/booking/large"));
    // The kernel buffers of the two connections take some pieces. Wait until the executor can't write any more.
    std::size_t before = 1;
    while (before != written || written == 0) {
        before = written;
        const auto pause = std::chrono::steady_clock::now() + 300ms;
        runUntil([pause] { return std::chrono::steady_clock::now() > pause; });
    }
    CHECK(written < pieces * piece.size() / 2);
    const auto answer = await(std::async(std::launch::async, [&caller] { return caller->readAll(); }));
    CHECK(answer.size() > pieces * piece.size());
    CHECK(looksComplete(answer));
}

TEST_CASE("a slot counts as used until the executor has answered, even if the caller has disconnected")
{
    std::promise<void> go;
    auto mayGo = go.get_future();
    scripted_peer upstream(answering([&mayGo](const std::string &) {
        mayGo.wait();
        return answerOf("done");
    }));
    const entry daemon({upstream.port()});
    {
        const auto caller = connectTo(daemon.server.port());
        caller->write(request("GET", "/booking/1"));
        CHECK(runUntil([&daemon] { return daemon.proxy.inFlight() == 1; }));
    }
    const auto pause = std::chrono::steady_clock::now() + 200ms;
    runUntil([pause] { return std::chrono::steady_clock::now() > pause; });
    CHECK(daemon.proxy.state().upstreams.at("x0").inFlight == 1);
    go.set_value();
    CHECK(runUntil([&daemon] { return daemon.proxy.inFlight() == 0; }));
    CHECK(daemon.proxy.state().upstreams.at("x0").inFlight == 0);
    const auto settled = std::chrono::steady_clock::now() + 100ms;
    runUntil([settled] { return std::chrono::steady_clock::now() > settled; });
}

TEST_CASE("a caller that never sends a complete request loses only its own connection")
{
    const std::string start = GENERATE(as<std::string> {}, "", "GET /booking/1 HT",
                                       "POST /booking/1 HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\nab");
    scripted_peer upstream(answering([](const std::string &) { return answerOf("hello"); }));
    const entry daemon({upstream.port()});
    const auto stalled = connectTo(daemon.server.port());
    stalled->write(start);
    CHECK(contains(daemon.ask(request("GET", "/booking/1")), "hello"));
    std::atomic<bool> ended = false;
    std::thread reader([&] {
        stalled->readAll();
        ended = true;
    });
    const auto limit = std::chrono::steady_clock::now() + 5s;
    runUntil([&] { return ended.load() || std::chrono::steady_clock::now() > limit; });
    CHECK(ended);
    CHECK(contains(daemon.ask(request("GET", "/booking/1")), "hello"));
    reader.join();
}

TEST_CASE("a request body over the limit ends only its own connection")
{
    scripted_peer upstream(answering([](const std::string &) { return answerOf("hello"); }));
    const entry daemon({upstream.port()});
    const std::string body(5'000, 'x');
    const auto refused = daemon.ask(request("POST", "/booking/1", "", body));
    INFO(refused);
    CHECK(contains(refused, "413"));
    const auto chunked = daemon.ask("POST /booking/1 HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n"
                                    + body + "\r\n0\r\n\r\n");
    CHECK_FALSE(contains(chunked, "hello"));
    CHECK(contains(daemon.ask(request("GET", "/booking/1")), "hello"));
}

TEST_CASE("a request body over the limit is refused before it has arrived completely")
{
    const auto *const head =
        GENERATE("Content-Length: 5000\r\n\r\nab", "Expect: 100-continue\r\nContent-Length: 5000\r\n\r\n");
    const entry daemon({});
    const auto caller = connectTo(daemon.server.port());
    caller->write(std::string("POST /booking/1 HTTP/1.1\r\nHost: e\r\n") + head);
    const auto answer = await(std::async(std::launch::async, [&caller] { return caller->readAll(); }));
    CHECK(answer.starts_with("HTTP/1.1 413"));
    CHECK(contains(answer, "Connection: close"));
    CHECK(looksComplete(answer));
}

TEST_CASE("the limit of request bodies can be changed while the server runs")
{
    scripted_peer upstream(answering([](const std::string &) { return answerOf("hello"); }));
    entry daemon({upstream.port()});
    CHECK(contains(daemon.ask(request("POST", "/booking/1", "", std::string(900, 'x'))), "hello"));
    daemon.server.setMaxBodySize(100);
    CHECK(contains(daemon.ask(request("POST", "/booking/1", "", std::string(101, 'x'))), "413"));
    CHECK(contains(daemon.ask(request("POST", "/booking/1", "", std::string(100, 'x'))), "hello"));
    daemon.server.setMaxBodySize(2'000);
    CHECK(contains(daemon.ask(request("POST", "/booking/1", "", std::string(1'900, 'x'))), "hello"));
}

TEST_CASE("a retry doesn't take over the leaving mark and the load of the attempt before")
{
    constexpr int warmUps = 11; // each adds 0.1 to the retry budget
    std::atomic<int> requests = 0;
    const auto script = answering([&requests](const std::string &) -> std::string {
        const auto number = requests++;
        if (number == warmUps) {
            return "HTTP/1.1 503 Service Unavailable\r\nPrimrosecroft-Not-Run: 1\r\nPrimrosecroft-Leaving: 1\r\n"
                   "Primrosecroft-Load: 7\r\nContent-Length: 0\r\n\r\n";
        }
        return number < warmUps ? answerOf("warm") : "";
    });
    scripted_peer first(script);
    scripted_peer second(script);
    const entry daemon({first.port(), second.port()});
    for (int each = 0; each < warmUps; ++each) {
        REQUIRE(contains(daemon.ask(request("GET", "/booking/warm")), "warm"));
    }
    daemon.ask(request("GET", "/booking/1"));
    REQUIRE(requests == warmUps + 2);
    const auto &state = daemon.proxy.state();
    CHECK(state.leavingSince.size() == 1);
    const auto withLoad =
        std::ranges::count_if(state.upstreams, [](const auto &each) { return each.second.otherDaemonsLoad > 0; });
    CHECK(withLoad == 1);
}

TEST_CASE("the link budget is corrected by the size of the request and its answer")
{
    scripted_peer upstream(answering([](const std::string &) { return answerOf(std::string(100'000, 'x')); }));
    entry daemon({});
    daemon.proxy.setUpstreams({{"far", vm_role::executor, "b", "other", "127.0.0.1", upstream.port(), false}});
    const auto expected = daemon.proxy.state().bytesPerRequest;
    REQUIRE(contains(daemon.ask(request("POST", "/booking/1", "", std::string(900, 'y'))), "200 OK"));
    const auto &state = daemon.proxy.state();
    CHECK(state.bytesPerRequest > expected);
    const auto spent = state.settings.linkBytesPerSecond - state.linkBudget; // the budget was that of a full second
    CHECK(spent >= 100'900);
    CHECK(spent < 103'000);
}
