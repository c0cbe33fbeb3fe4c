#include "core/error.h"
#include "io/glib_pointer.h"
#include "io/peer_hub.h"
#include "io/timer.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <gio/gio.h>

using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

const std::string loopback = "127.25.9.1";
constexpr std::uint16_t port = 7993;

wire::Sender makeSender(const std::string &process)
{
    wire::Sender sender;
    sender.process = process;
    sender.role = "entryd";
    sender.failureDomain = "dyce";
    return sender;
}

wire::Message makeNotice(const std::string &key)
{
    wire::Message message;
    message.jobQuery.id = key;
    message.__isset.jobQuery = true;
    return message;
}

/// Runs the main loop until @p done returns true, but for no longer than 30 s.
bool runUntil(const std::function<bool()> &done)
{
    const auto end = std::chrono::steady_clock::now() + 30s;
    timer wake;
    wake.every(10ms, [] { });
    while (!done() && std::chrono::steady_clock::now() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return done();
}

/// Opens a plain TCP connection, as a process could that doesn't use the protocol.
object_pointer<GSocketConnection> connectPlain()
{
    const object_pointer<GSocketClient> client(g_socket_client_new());
    return object_pointer<GSocketConnection>(
        g_socket_client_connect_to_host(client.get(), loopback.c_str(), port, nullptr, nullptr));
}

void writePlain(GSocketConnection *connection, const std::string &bytes)
{
    REQUIRE(g_output_stream_write_all(g_io_stream_get_output_stream(G_IO_STREAM(connection)), bytes.data(),
                                      bytes.size(), nullptr, nullptr, nullptr)
            != FALSE);
}

} // namespace

TEST_CASE("a message sent just after a failed connect arrives once the peer listens")
{
    std::vector<std::string> arrived;
    peer_hub sender(makeSender("a"), [](const wire::Message &, const auto &) { });
    bool asked = false;
    sender.ask({loopback, port}, makeNotice("first"), 100ms, [&asked](const auto &) { asked = true; });
    REQUIRE(runUntil([&asked] { return asked; }));
    // The first connect has failed; this message is sent during the delay before the next one.
    sender.send({loopback, port}, makeNotice("second"));
    peer_hub receiver(makeSender("b"), [&arrived](const wire::Message &message, const auto &) {
        arrived.push_back(message.jobQuery.id);
    });
    receiver.listen({loopback, port});
    CHECK(runUntil([&arrived] { return std::ranges::find(arrived, "second") != arrived.end(); }));
}

TEST_CASE("a message whose handler fails loses only itself")
{
    std::vector<std::string> arrived;
    peer_hub receiver(makeSender("b"), [&arrived](const wire::Message &message, const auto &) {
        if (message.jobQuery.id == "bad") {
            throw error("handle message", "", "it fails");
        }
        arrived.push_back(message.jobQuery.id);
    });
    receiver.listen({loopback, port});
    peer_hub sender(makeSender("a"), [](const wire::Message &, const auto &) { });
    for (const auto *key : {"first", "bad", "second"}) {
        sender.send({loopback, port}, makeNotice(key));
    }
    CHECK(runUntil([&arrived] { return arrived.size() == 2; }));
    CHECK(arrived == std::vector<std::string> {"first", "second"});
}

TEST_CASE("malformed bytes, an invalid length and an incomplete frame affect only their own connection")
{
    int received = 0;
    peer_hub receiver(makeSender("b"), [&received](const wire::Message &, const auto &) { ++received; });
    receiver.listen({loopback, port});
    peer_hub sender(makeSender("a"), [](const wire::Message &, const auto &) { });
    const auto oversized = connectPlain();
    const auto malformed = connectPlain();
    const auto incomplete = connectPlain();
    REQUIRE(oversized);
    REQUIRE(malformed);
    REQUIRE(incomplete);
    writePlain(oversized.get(), "\xff\xff\xff\xff");
    writePlain(malformed.get(), std::string("\0\0\0\4....", 8));
    writePlain(incomplete.get(), std::string("\0\x10\0\0abc", 7));
    for (int round = 1; round <= 3; ++round) {
        sender.send({loopback, port}, makeNotice("wash"));
        CHECK(runUntil([&received, round] { return received == round; }));
    }
    for (const auto *connection : {&oversized, &malformed}) {
        auto *input = g_io_stream_get_input_stream(G_IO_STREAM(connection->get()));
        char byte = 0;
        CHECK(g_input_stream_read(input, &byte, 1, nullptr, nullptr) <= 0);
    }
}
