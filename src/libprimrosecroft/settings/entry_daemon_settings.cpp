#include "settings/entry_daemon_settings.h"

#include "core/error.h"
#include "core/read_file.h"
#include "settings/checked_node.h"

#include <algorithm>
#include <gio/gio.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace primrosecroft
{

using namespace std::chrono_literals;

namespace
{

constexpr std::int64_t maxPort = 65535;
constexpr std::size_t minTokenLength = 16;
constexpr std::size_t maxTokenLength = 512;

std::string readAddress(const checked_node &node)
{
    auto text = node.text();
    if (g_hostname_is_ip_address(text.c_str()) == FALSE) {
        node.fail("an IP address");
    }
    return text;
}

std::uint16_t readPort(const checked_node &node)
{
    return static_cast<std::uint16_t>(node.integer(1, maxPort));
}

void readTime(const checked_node &parent, const char *key, std::chrono::milliseconds &target,
              std::chrono::milliseconds low, std::chrono::milliseconds high)
{
    parent.optional(key, [&](const auto &child) { target = child.time(low, high); });
}

void readIntervals(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"heartbeat", "configuration", "vmList"});
    readTime(node, "heartbeat", settings.heartbeatInterval, 100ms, 60s);
    readTime(node, "configuration", settings.configurationInterval, 100ms, 60s);
    readTime(node, "vmList", settings.vmListInterval, 100ms, 10min);
}

void readShutdown(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"balancerPause", "limit"});
    readTime(node, "balancerPause", settings.balancerPause, 0ms, 5min);
    readTime(node, "limit", settings.shutdownTimeout, 100ms, 1h);
}

void readListen(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"address", "http", "peers"});
    node.required("address", [&](const auto &child) { settings.address = readAddress(child); });
    node.required("http", [&](const auto &child) { settings.httpPort = readPort(child); });
    node.required("peers", [&](const auto &child) { settings.peerPort = readPort(child); });
}

void readPlatform(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"address", "port", "timeout"});
    node.required("address", [&](const auto &child) { settings.platformAddress = readAddress(child); });
    node.required("port", [&](const auto &child) { settings.platformPort = readPort(child); });
    readTime(node, "timeout", settings.platformTimeout, 50ms, 1min);
}

void readPools(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"bookings", "tasks"});
    node.optional("bookings", [&](const auto &child) { settings.bookingPool = child.name(); });
    node.optional("tasks", [&](const auto &child) { settings.taskPool = child.name(); });
}

void readDeadlines(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"booking", "accept"});
    readTime(node, "booking", settings.bookingDeadline, 10ms, 10min);
    readTime(node, "accept", settings.acceptDeadline, 10ms, 10min);
}

void readAdministration(const checked_node &node, entry_daemon_settings &settings)
{
    node.allowKeys({"tokenFile", "open"});
    node.optional("tokenFile", [&](const auto &child) { settings.tokenFile = child.text(); });
    node.optional("open", [&](const auto &child) { settings.isAdministrationOpen = child.boolean(); });
    if (settings.isAdministrationOpen == !settings.tokenFile.empty()) {
        node.fail("either tokenFile or open: true");
    }
}

/// Reads the token without the newline that editors leave at its end. Throws error if it is no valid token.
std::string readToken(const std::string &path)
{
    auto token = readFile(path);
    while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) {
        token.pop_back();
    }
    const auto isPlain = std::ranges::all_of(token, [](unsigned char each) { return each > ' ' && each < 0x7f; });
    if (token.size() < minTokenLength || token.size() > maxTokenLength || !isPlain) {
        throw error("read token", "",
                    path + ": expected " + std::to_string(minTokenLength) + " to " + std::to_string(maxTokenLength)
                        + " printable characters without blanks");
    }
    return token;
}

std::string toText(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + "ms";
}

} // namespace

entry_daemon_settings readEntryDaemonSettings(const std::string &text, const std::string &file)
{
    const auto root = checked_node::parse(text, file).collectingFaults();
    entry_daemon_settings settings;
    root.runCheck([&] {
        root.allowKeys({"process", "failureDomain", "region", "listen", "platform", "pools", "intervals", "shutdown",
                        "deadlines", "administration"});
        root.required("process", [&](const auto &node) { settings.process = node.name(); });
        root.required("failureDomain", [&](const auto &node) { settings.failureDomain = node.name(); });
        root.required("region", [&](const auto &node) { settings.region = node.name(); });
        root.required("listen", [&](const auto &node) { readListen(node, settings); });
        root.required("platform", [&](const auto &node) { readPlatform(node, settings); });
        root.optional("pools", [&](const auto &node) { readPools(node, settings); });
        root.optional("intervals", [&](const auto &node) { readIntervals(node, settings); });
        root.optional("shutdown", [&](const auto &node) { readShutdown(node, settings); });
        root.optional("deadlines", [&](const auto &node) { readDeadlines(node, settings); });
        root.optional("administration", [&](const auto &node) { readAdministration(node, settings); });
    });
    root.throwFaults();
    return settings;
}

std::string toYaml(const entry_daemon_settings &settings)
{
    std::ostringstream out;
    out << "process: " << settings.process << "\nfailureDomain: " << settings.failureDomain
        << "\nregion: " << settings.region << "\nlisten: {address: '" << settings.address
        << "', http: " << settings.httpPort << ", peers: " << settings.peerPort << "}\nplatform: {address: '"
        << settings.platformAddress << "', port: " << settings.platformPort
        << ", timeout: " << toText(settings.platformTimeout) << "}\npools: {bookings: " << settings.bookingPool
        << ", tasks: " << settings.taskPool << "}\nintervals: {heartbeat: " << toText(settings.heartbeatInterval)
        << ", configuration: " << toText(settings.configurationInterval)
        << ", vmList: " << toText(settings.vmListInterval)
        << "}\nshutdown: {balancerPause: " << toText(settings.balancerPause)
        << ", limit: " << toText(settings.shutdownTimeout)
        << "}\ndeadlines: {booking: " << toText(settings.bookingDeadline)
        << ", accept: " << toText(settings.acceptDeadline) << "}\n";
    if (settings.isAdministrationOpen) {
        out << "administration: {open: true}\n";
    } else if (!settings.tokenFile.empty()) {
        out << "administration: {tokenFile: " << nlohmann::json(settings.tokenFile).dump() << "}\n";
    }
    return out.str();
}

entry_daemon_settings loadEntryDaemonSettings(const std::string &path)
{
    auto settings = readEntryDaemonSettings(readFile(path), path);
    if (!settings.tokenFile.empty()) {
        settings.administrationToken = readToken(settings.tokenFile);
    }
    return settings;
}

} // namespace primrosecroft
