#include "core/error.h"
#include "crowd_client.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <poll.h>
#include <vector>

/**
 * Opens connections of one kind to an address, keeps them open for a bounded time, and prints what they have done. It
 * is used by the tests that check that a process stands clients that don't behave.
 */
namespace
{

using namespace primrosecroft::crowds;

constexpr int pollIntervalMs = 20; ///< between two looks for connections that are to be opened again

struct crowd_options
{
    std::string kind;
    std::string address;
    std::uint16_t port = 0;
    std::size_t connections = 0;
    double seconds = 0;
};

void runOnce(std::vector<std::unique_ptr<crowd_client>> &clients)
{
    std::vector<pollfd> watched;
    std::vector<crowd_client *> watchedClients;
    for (const auto &client : clients) {
        client->openIfDue();
        if (client->descriptor() >= 0) {
            watched.push_back({client->descriptor(), client->wantedEvents(), 0});
            watchedClients.push_back(client.get());
        }
    }
    poll(watched.data(), watched.size(), pollIntervalMs);
    for (std::size_t i = 0; i < watched.size(); ++i) {
        watchedClients[i]->advance(watched[i].revents);
    }
}

void run(const crowd_options &options)
{
    const auto manner = misbehaviourOf(options.kind);
    crowd_tally tally;
    std::vector<std::unique_ptr<crowd_client>> clients(options.connections);
    std::ranges::generate(clients,
                          [&] { return std::make_unique<crowd_client>(manner, options.address, options.port, tally); });
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.seconds);
    while (std::chrono::steady_clock::now() < end) {
        runOnce(clients);
    }
    std::cout << "kind=" << options.kind << " opened=" << tally.opened << " closed=" << tally.closed
              << " sent_bytes=" << tally.sentBytes << " received_bytes=" << tally.receivedBytes << '\n';
}

} // namespace

int main(int argc, char **argv)
{
    crowd_options options;
    CLI::App app("Opens connections that don't behave, for a bounded time.");
    app.add_option("kind", options.kind, "What each connection does")->required();
    app.add_option("address", options.address, "IPv4 address of the server")->required();
    app.add_option("port", options.port, "Its port")->required();
    app.add_option("connections", options.connections, "Number of connections")->required();
    app.add_option("seconds", options.seconds, "How long the crowd stays")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        run(options);
    } catch (const primrosecroft::error &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
    return 0;
}
