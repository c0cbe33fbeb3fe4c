#include "settings/daemon_settings.h"

#include "core/error.h"
#include "settings/checked_node.h"

#include <fstream>
#include <gio/gio.h>
#include <iterator>

namespace primrosecroft
{

using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t lastPort = 65535;
constexpr std::int64_t highestRank = 100;

std::string readAddress(const checked_node &node)
{
    auto text = node.text();
    if (g_hostname_is_ip_address(text.c_str()) == FALSE) {
        node.fail("an IP number");
    }
    return text;
}

std::uint16_t readPort(const checked_node &node)
{
    return static_cast<std::uint16_t>(node.integer(1, lastPort));
}

void readTime(const checked_node &parent, const char *key, std::chrono::milliseconds &target,
              std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    if (parent.has(key)) {
        target = parent.at(key).time(low, high);
    }
}

void readIntervals(const checked_node &node, daemon_settings &settings)
{
    node.allowKeys({"heartbeat", "configuration", "vmList"});
    readTime(node, "heartbeat", settings.heartbeatInterval, 100ms, 60s);
    readTime(node, "configuration", settings.configurationInterval, 100ms, 60s);
    readTime(node, "vmList", settings.vmListInterval, 100ms, 10min);
}

void readShutdown(const checked_node &node, daemon_settings &settings)
{
    node.allowKeys({"balancerPause", "limit"});
    readTime(node, "balancerPause", settings.balancerPause, 0ms, 5min);
    readTime(node, "limit", settings.shutdownLimit, 100ms, 1h);
}

void readLeases(const checked_node &node, ownership_settings &ownership)
{
    node.allowKeys({"holderTerm", "taskTerm", "margin", "exchangeInterval", "requestTimeout"});
    readTime(node, "holderTerm", ownership.holderTerm, 500ms, 10min);
    readTime(node, "taskTerm", ownership.taskTerm, 500ms, 1h);
    readTime(node, "margin", ownership.margin, 10ms, 1min);
    readTime(node, "exchangeInterval", ownership.exchangeInterval, 50ms, 5min);
    readTime(node, "requestTimeout", ownership.requestTimeout, 50ms, 1min);
    // A stamp is echoed one exchange late, and one exchange may be lost.
    if (ownership.exchangeInterval * 3 + ownership.margin > ownership.holderTerm) {
        node.at("holderTerm").fail("more than three exchange intervals and the margin");
    }
}

} // namespace

daemon_settings readDaemonSettings(const std::string &text, const std::string &file)
{
    const auto root = checked_node::parse(text, file);
    root.allowKeys({"process", "failureDomain", "region", "rank", "listen", "platform", "peerPorts", "intervals",
                    "shutdown", "deadlines", "leases"});
    daemon_settings settings;
    settings.process = root.at("process").name();
    settings.failureDomain = root.at("failureDomain").name();
    settings.region = root.at("region").name();
    if (root.has("rank")) {
        settings.rank = static_cast<std::uint32_t>(root.at("rank").integer(0, highestRank));
    }
    const auto listen = root.at("listen");
    listen.allowKeys({"address", "http", "peers"});
    settings.address = readAddress(listen.at("address"));
    settings.httpPort = readPort(listen.at("http"));
    settings.peerPort = readPort(listen.at("peers"));
    const auto platform = root.at("platform");
    platform.allowKeys({"address", "port", "timeout"});
    settings.platformAddress = readAddress(platform.at("address"));
    settings.platformPort = readPort(platform.at("port"));
    readTime(platform, "timeout", settings.platformTimeout, 50ms, 1min);
    if (root.has("peerPorts")) {
        const auto ports = root.at("peerPorts");
        ports.allowKeys({"entry", "scheduler"});
        settings.entryPeerPort = readPort(ports.at("entry"));
        settings.schedulerPeerPort = readPort(ports.at("scheduler"));
    }
    if (root.has("intervals")) {
        readIntervals(root.at("intervals"), settings);
    }
    if (root.has("shutdown")) {
        readShutdown(root.at("shutdown"), settings);
    }
    if (root.has("deadlines")) {
        const auto deadlines = root.at("deadlines");
        deadlines.allowKeys({"booking", "accept"});
        readTime(deadlines, "booking", settings.bookingDeadline, 10ms, 10min);
        readTime(deadlines, "accept", settings.acceptDeadline, 10ms, 10min);
    }
    if (root.has("leases")) {
        readLeases(root.at("leases"), settings.ownership);
    }
    return settings;
}

std::string readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw error("read file", "", "can't open " + path);
    }
    return {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
}

daemon_settings loadDaemonSettings(const std::string &path)
{
    return readDaemonSettings(readFile(path), path);
}

} // namespace primrosecroft
