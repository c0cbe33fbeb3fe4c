#include "daemon/daemon.h"

#include "core/error.h"
#include "observability/problem.h"
#include "primrosecroft_types.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <glib-unix.h>
#include <glog/logging.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr int exitCutOff = 3;
constexpr auto drainCheckInterval = 50ms;
constexpr auto goodbyePause = 100ms;
constexpr std::size_t heartbeatsPerDomain = 1;
constexpr double storeBudgetAtReturn = 80.0; ///< operations a second of all daemons together

std::int64_t makeIncarnation()
{
    // Only a name: no clock decides which of two incarnations came first.
    std::random_device random;
    return std::uniform_int_distribution<std::int64_t>(1)(random);
}

wire::Sender makeSender(const daemon_settings &settings, const std::string &role, std::int64_t incarnation)
{
    wire::Sender sender;
    sender.process = settings.process;
    sender.role = role;
    sender.failureDomain = settings.failureDomain;
    sender.incarnation = incarnation;
    return sender;
}

struct loop_unref
{
    void operator()(GMainLoop *loop) const
    {
        g_main_loop_unref(loop);
    }
};

} // namespace

struct daemon::parts
{
    parts(daemon_settings ownSettings, daemon_role ownRole)
        : settings(std::move(ownSettings))
        , role(std::move(ownRole))
        , incarnation(makeIncarnation())
        , platform(http, "http://" + settings.platformAddress + ':' + std::to_string(settings.platformPort),
                   settings.platformTimeout)
        , peers(makeSender(settings, role.name, incarnation),
                [this](const wire::Message &message, const auto &reply) { received(message, reply); })
        , configuration(platform, [this](const planning_sheet &sheet) { sheetApplied(sheet); })
        , server({}, [this](const std::shared_ptr<http_request> &request) { requested(request); })
    {
        membership.self = settings.process;
        membership.failureDomain = settings.failureDomain;
    }

    void received(const wire::Message &message, const std::function<void(wire::Message)> &reply)
    {
        if (message.__isset.heartbeat) {
            heard(message, reply);
        } else if (message.__isset.configurationRequest) {
            offerConfiguration(message.configurationRequest.aboveVersion, reply);
        } else if (message.__isset.configurationBody) {
            const auto &body = message.configurationBody;
            configuration.offer({body.version, body.hash, body.body});
        } else {
            role.message(message, reply);
        }
    }

    void heard(const wire::Message &message, const std::function<void(wire::Message)> &reply)
    {
        const auto &heartbeat = message.heartbeat;
        peer_record peer;
        peer.process = message.sender.process;
        peer.failureDomain = message.sender.failureDomain;
        peer.role = message.sender.role;
        peer.incarnation = message.sender.incarnation;
        peer.configurationVersion = heartbeat.configurationVersion;
        peer.placing = heartbeat.placing;
        peer.leaving = heartbeat.leaving;
        const auto effect = heardFrom(membership, peer, std::chrono::steady_clock::now());
        if (effect.dropped) {
            return;
        }
        if (effect.changed) {
            role.membershipChanged();
        }
        if (role.peerHeard) {
            role.peerHeard(peer);
        }
        configuration.peerHas(heartbeat.configurationVersion);
        const auto own = configuration.current() ? configuration.current()->version : 0;
        if (heartbeat.configurationVersion < own) {
            offerConfiguration(heartbeat.configurationVersion, reply);
        } else if (heartbeat.configurationVersion > own) {
            wire::Message request;
            request.configurationRequest.aboveVersion = own;
            request.__isset.configurationRequest = true;
            reply(request);
        }
    }

    void offerConfiguration(std::int64_t above, const std::function<void(wire::Message)> &reply) const
    {
        const auto &current = configuration.current();
        if (!current || current->version <= above) {
            return;
        }
        reply(bodyMessage(*current));
    }

    static wire::Message bodyMessage(const configuration_version &version)
    {
        wire::Message message;
        message.configurationBody.version = version.version;
        message.configurationBody.hash = version.hash;
        message.configurationBody.body = version.text;
        message.__isset.configurationBody = true;
        return message;
    }

    std::vector<peer_address> addresses(const std::function<bool(const listed_vm &)> &wanted) const
    {
        std::vector<peer_address> result;
        for (const auto &vm : entryVms(membership)) {
            if (!wanted(vm)) {
                continue;
            }
            for (const auto port : {settings.entryPeerPort, settings.schedulerPeerPort}) {
                if (vm.address != settings.address || port != settings.peerPort) {
                    result.push_back({vm.address, port});
                }
            }
        }
        return result;
    }

    bool isRepresentative() const
    {
        return representsDomain(membership, role.name == "entryd", leaving, std::chrono::steady_clock::now());
    }

    /// Both daemons of each VM in the own failure domain; across the link one entry daemon a failure domain.
    std::vector<peer_address> heartbeatPeers()
    {
        std::vector<peer_address> result;
        // A goodbye is for everybody.
        const auto perDomain = leaving ? membership.vms.size() : heartbeatsPerDomain;
        for (const auto &vm : heartbeatTargets(membership, leaving || isRepresentative(), perDomain, ++heartbeatTurn)) {
            const auto isNear = vm.failureDomain == settings.failureDomain;
            if (vm.address != settings.address || settings.peerPort != settings.entryPeerPort) {
                result.push_back({vm.address, settings.entryPeerPort});
            }
            if (isNear && (vm.address != settings.address || settings.peerPort != settings.schedulerPeerPort)) {
                result.push_back({vm.address, settings.schedulerPeerPort});
            }
        }
        return result;
    }

    void sendHeartbeats()
    {
        forgetSilent(membership, std::chrono::steady_clock::now());
        configuration.setFetchesFirst(isRepresentative());
        wire::Message message;
        message.heartbeat.configurationVersion = configuration.current() ? configuration.current()->version : 0;
        message.heartbeat.leaving = leaving;
        message.heartbeat.__set_placing(role.isPlacing());
        message.__isset.heartbeat = true;
        for (const auto &peer : heartbeatPeers()) {
            peers.ask(peer, message, settings.heartbeatInterval, [this, peer](std::optional<wire::Message> reply) {
                if (!reply) {
                    return;
                }
                if (reply->__isset.configurationBody) {
                    const auto &body = reply->configurationBody;
                    configuration.offer({body.version, body.hash, body.body});
                } else if (reply->__isset.configurationRequest && configuration.current()) {
                    peers.send(peer, bodyMessage(*configuration.current()));
                }
            });
        }
    }

    void refreshVms()
    {
        platform.listVms([this](std::optional<std::vector<listed_vm>> vms) {
            if (!vms) {
                return;
            }
            membership.vms = std::move(*vms);
            const auto daemons = 2 * std::max<std::size_t>(1, entryVms(membership).size());
            platform.setReturnBudget(storeBudgetAtReturn / static_cast<double>(daemons));
            role.membershipChanged();
            if (!std::exchange(greeted, true)) {
                sendHeartbeats();
            }
        });
    }

    void sheetApplied(const planning_sheet &sheet)
    {
        measures.set("primrosecroft_configuration_version", static_cast<double>(configuration.current()->version));
        role.sheetApplied(sheet);
        sendHeartbeats();
    }

    bool isReady() const
    {
        return !leaving && greeted && configuration.isKnown();
    }

    void requested(const std::shared_ptr<http_request> &request)
    {
        const auto path = request->path();
        if (path == "/healthz") {
            request->answer(jsonAnswer(statusOk, R"({"alive":true})"));
        } else if (path == "/readyz") {
            request->answer(isReady() ? jsonAnswer(statusOk, R"({"ready":true})")
                                      : jsonAnswer(statusUnavailable, R"({"ready":false})"));
        } else if (path == "/metrics") {
            request->answer({statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsText()});
        } else if (path == "/v1/status") {
            request->answer(jsonAnswer(statusOk, statusText()));
        } else {
            role.request(request);
        }
    }

    std::string metricsText()
    {
        measures.set("primrosecroft_peer_messages_sent", static_cast<double>(peers.messagesSent()));
        measures.set("primrosecroft_peer_bytes_sent", static_cast<double>(peers.bytesSent()));
        measures.set("primrosecroft_peer_bytes_received", static_cast<double>(peers.bytesReceived()));
        measures.set("primrosecroft_control_http_bytes_sent", static_cast<double>(http.controlBytes().sent));
        measures.set("primrosecroft_control_http_bytes_received", static_cast<double>(http.controlBytes().received));
        measures.set("primrosecroft_control_http_calls", static_cast<double>(http.controlBytes().calls));
        measures.set("primrosecroft_store_reads", static_cast<double>(platform.reads()));
        measures.set("primrosecroft_store_writes", static_cast<double>(platform.writes()));
        return measures.text();
    }

    std::string statusText() const
    {
        const auto now = std::chrono::steady_clock::now();
        auto live = nlohmann::json::array();
        for (const auto &peer : livePeers(membership, now)) {
            live.push_back({{"process", peer.process},
                            {"role", peer.role},
                            {"failureDomain", peer.failureDomain},
                            {"configurationVersion", peer.configurationVersion},
                            {"placing", peer.placing}});
        }
        nlohmann::json body {{"process", settings.process},
                             {"role", role.name},
                             {"failureDomain", settings.failureDomain},
                             {"region", settings.region},
                             {"ready", isReady()},
                             {"configurationVersion", configuration.current() ? configuration.current()->version : 0},
                             {"storeReachable", platform.isReachable()},
                             {"peers", live}};
        body.update(nlohmann::json::parse(role.status()));
        return body.dump();
    }

    static int onSignal(gpointer self)
    {
        static_cast<parts *>(self)->beginShutdown();
        return G_SOURCE_CONTINUE;
    }

    void beginShutdown()
    {
        if (std::exchange(leaving, true)) {
            end(exitCutOff);
            return;
        }
        LOG(INFO) << role.name << ": leaving, waiting for the balancer";
        sendHeartbeats();
        limit.once(settings.balancerPause + settings.shutdownLimit, [this] { end(exitCutOff); });
        pause.once(settings.balancerPause, [this] {
            server.stopListening();
            role.drain();
            drainCheck.every(drainCheckInterval, [this] {
                if (!role.isDrained() || server.inFlight() != 0) {
                    idleSince.reset();
                    return;
                }
                // A request on a kept connection may have come just now: idle must last.
                const auto now = std::chrono::steady_clock::now();
                if (now >= idleSince.value_or(now) + goodbyePause) {
                    drainCheck.stop();
                    end(0);
                } else if (!idleSince) {
                    idleSince = now;
                }
            });
        });
    }

    void end(int status)
    {
        if (status == 0) {
            LOG(INFO) << role.name << ": ended, nothing was cut off";
        } else {
            LOG(WARNING) << role.name << ": ended early, cut off: " << role.unfinished()
                         << " open requests=" << server.inFlight();
        }
        exitStatus = status;
        g_main_loop_quit(loop.get());
    }

    int run()
    {
        peers.listen({settings.address, settings.peerPort});
        server.listen(settings.address, settings.httpPort);
        LOG(INFO) << role.name << ": listening, address=" << settings.address << " http=" << settings.httpPort
                  << " peers=" << settings.peerPort;
        const auto signals = {g_unix_signal_add(SIGTERM, &parts::onSignal, this),
                              g_unix_signal_add(SIGINT, &parts::onSignal, this)};
        vmTimer.every(settings.vmListInterval, [this] { refreshVms(); });
        heartbeatTimer.every(settings.heartbeatInterval, [this] { sendHeartbeats(); });
        refreshVms();
        configuration.start(settings.configurationInterval);
        g_main_loop_run(loop.get());
        std::ranges::for_each(signals, [](guint source) { g_source_remove(source); });
        return exitStatus;
    }

    daemon_settings settings;
    daemon_role role;
    std::int64_t incarnation;
    std::unique_ptr<GMainLoop, loop_unref> loop {g_main_loop_new(nullptr, FALSE)};
    http_client http {64};
    platform_client platform;
    metrics measures;
    membership_state membership;
    peer_hub peers;
    configuration_follower configuration;
    http_server server;
    timer vmTimer;
    timer heartbeatTimer;
    timer pause;
    timer limit;
    timer drainCheck;
    std::optional<instant> idleSince; ///< while draining
    std::uint64_t heartbeatTurn = 0;
    bool leaving = false;
    bool greeted = false; ///< the VM list was read once
    int exitStatus = 0;
};

daemon::daemon(daemon_settings settings, daemon_role role)
    : m_parts(std::make_unique<parts>(std::move(settings), std::move(role)))
{
}

daemon::~daemon() = default;

int daemon::run()
{
    return m_parts->run();
}

const daemon_settings &daemon::settings() const
{
    return m_parts->settings;
}

http_client &daemon::http()
{
    return m_parts->http;
}

platform_client &daemon::platform()
{
    return m_parts->platform;
}

peer_hub &daemon::peers()
{
    return m_parts->peers;
}

metrics &daemon::measures()
{
    return m_parts->measures;
}

configuration_follower &daemon::configuration()
{
    return m_parts->configuration;
}

const membership_state &daemon::membership() const
{
    return m_parts->membership;
}

std::int64_t daemon::incarnation() const
{
    return m_parts->incarnation;
}

bool daemon::isLeaving() const
{
    return m_parts->leaving;
}

std::vector<peer_address> daemon::schedulersOf(const failure_domain_id &domain) const
{
    std::vector<peer_address> result;
    for (const auto &vm : entryVms(m_parts->membership)) {
        if (vm.failureDomain == domain) {
            result.push_back({vm.address, m_parts->settings.schedulerPeerPort});
        }
    }
    return result;
}

std::vector<peer_address> daemon::otherDaemons() const
{
    return m_parts->addresses([](const listed_vm &) { return true; });
}

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

int runDaemon(int argumentCount, char **arguments, const std::string &description,
              const std::function<int(const daemon_settings &)> &serve)
{
    CLI::App app(description);
    std::string path;
    bool checkOnly = false;
    bool printOnly = false;
    app.add_option("settings", path, "YAML file with this process's settings")->required();
    app.add_flag("--check-settings", checkOnly, "check the settings and end");
    app.add_flag("--print-settings", printOnly, "print all settings, defaults included, and end");
    CLI11_PARSE(app, argumentCount, arguments);
    try {
        const auto settings = loadDaemonSettings(path);
        if (printOnly) {
            std::cout << toYaml(settings);
            return 0;
        }
        if (checkOnly) {
            std::cout << path << ": good\n";
            return 0;
        }
        startLogging(arguments[0]);
        return serve(settings);
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}

} // namespace primrosecroft
