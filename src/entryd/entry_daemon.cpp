#include "entry_daemon.h"

#include "administration/administration.h"
#include "configuration/sheet_service.h"
#include "core/clock.h"
#include "core/error.h"
#include "demands/demand_service.h"
#include "entry_peers.h"
#include "io/glib_pointer.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "leadership/leadership.h"
#include "observability/metrics.h"
#include "observability/problem.h"
#include "platform/store_client.h"
#include "platform/wire.h"
#include "primrosecroft_types.h"
#include "protocol/sender.h"
#include "routing/booking_proxy.h"

#include <algorithm>
#include <glib-unix.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr int exitCutOff = 3; ///< requests may have been cut off
constexpr auto drainCheckInterval = 50ms;
constexpr auto minIdleTime = 100ms; ///< a draining process exits after this long without any open request
constexpr auto ownerQueryTimeout = 500ms; ///< for the owner's report on the tasks of a demand
constexpr auto sheetDemandsInterval = 2s; ///< between two attempts to accept the demands of the sheet
constexpr unsigned bookingConnections = 64; ///< to each executor
constexpr unsigned storeConnections = 16;

routing_settings makeRoutingSettings(const entry_daemon_settings &settings)
{
    routing_settings routing;
    routing.address = settings.address;
    routing.failureDomain = settings.failureDomain;
    routing.region = settings.region;
    routing.seed = std::random_device {}();
    return routing;
}

} // namespace

struct entry_daemon::parts
{
    explicit parts(const entry_daemon_settings &own)
        : settings(own)
        , incarnation(makeIncarnation())
        , storeClient(storeHttp, {own.platformAddress, own.platformPort})
        , objectClient(storeHttp, {own.platformAddress, own.platformPort})
        , monitoredStore(storeClient)
        , rows(monitoredStore, objectClient, own.platformTimeout)
        , configuration(rows, [this](const planning_sheet &applied) { sheetApplied(applied); })
        , entryPeers(
              settings, incarnation, monitoredStore, rows, configuration,
              {platform::workerTable,
               [this](const std::string &id, const std::string &text) {
                   return platform::decodeUpstream(id, text, settings.bookingPool);
               }},
              {[this] { membershipChanged(); }, [this](const wire::Message &message) { handleMessage(message); }})
        , bookings(bookingHttp, measures, makeRoutingSettings(settings), settings.bookingDeadline,
                   [this](const upstream_id &upstream) { announceLeaving(upstream); })
        , demands(rows, measures, makeDemandLinks(),
                  {settings.failureDomain, settings.taskPool, settings.acceptDeadline})
        , sheets(rows, configuration, settings.process + '/' + std::to_string(incarnation))
        , server({}, [this](const std::shared_ptr<http_request> &request) { serve(request); })
    {
    }

    demand_links makeDemandLinks()
    {
        demand_links links;
        links.askOwner = [this](const job_id &job, report_handler done) { askOwner(job, std::move(done)); };
        links.sheet = [this] { return sheet ? &*sheet : nullptr; };
        links.storeTime = [this] { return monitoredStore.storeTime(); };
        return links;
    }

    // --- peers

    void sheetApplied(const planning_sheet &applied)
    {
        sheet = applied;
        measures.set("primrosecroft_configuration_version", static_cast<double>(configuration.current()->version));
        membershipChanged();
        entryPeers.sendHeartbeats();
        demands.acceptSheetDemands();
    }

    void membershipChanged()
    {
        auto vms = entryPeers.membership().vms;
        for (auto &vm : vms) {
            // Executors publish their failure domain but not its region, which the sheet gives.
            if (vm.region.empty() && sheet && sheet->regions.contains(vm.failureDomain)) {
                vm.region = sheet->regions.at(vm.failureDomain);
            }
        }
        bookings.setUpstreams(vms);
    }

    void handleMessage(const wire::Message &message)
    {
        if (message.__isset.leavingNotice) {
            bookings.onUpstreamLeaving(message.leavingNotice.upstream);
        }
    }

    void announceLeaving(const upstream_id &upstream)
    {
        wire::Message message;
        message.leavingNotice.upstream = upstream;
        message.__isset.leavingNotice = true;
        entryPeers.broadcast(message);
    }

    /// Finds the cell's owner by its row in the store and asks it, since only the owner has the locations of tasks.
    void askOwner(const job_id &job, report_handler done)
    {
        rows.readRow(ownerPlace(), [this, job, done = std::move(done)](const row_result &found) {
            if (!found || !*found) {
                done(std::nullopt);
                return;
            }
            try {
                askOwnerAt(decodeOwner((*found)->value).address, job, done);
            } catch (const error &fault) {
                LOG(ERROR) << "demands: unreadable owner row, reason=" << fault.what();
                done(std::nullopt);
            }
        });
    }

    void askOwnerAt(const peer_address &owner, const job_id &job, const report_handler &done)
    {
        wire::Message message;
        message.jobQuery.id = job;
        message.jobQuery.__set_withTasks(true);
        message.__isset.jobQuery = true;
        entryPeers.hub().ask(owner, message, ownerQueryTimeout, [done](const std::optional<wire::Message> &reply) {
            if (!reply || !reply->__isset.jobReport || !reply->jobReport.known) {
                done(std::nullopt);
                return;
            }
            std::vector<task_report> tasks;
            std::ranges::transform(reply->jobReport.tasks, std::back_inserter(tasks), [](const wire::TaskReport &task) {
                return task_report {task.index, task.state, task.worker};
            });
            done(std::move(tasks));
        });
    }

    // --- requests

    void serve(const std::shared_ptr<http_request> &request)
    {
        const auto path = request->path();
        if (requiresAdministrator(request->method(), path) && refuseUnauthorized(request)) {
            return;
        }
        if (path == "/healthz") {
            request->answer(jsonResponse(statusOk, R"({"alive":true})"));
        } else if (path == "/readyz") {
            request->answer(isReady() ? jsonResponse(statusOk, R"({"ready":true})")
                                      : jsonResponse(statusUnavailable, R"({"ready":false})"));
        } else if (path == "/metrics") {
            request->answer({statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, metricsText()});
        } else if (path == "/v1/status") {
            request->answer(jsonResponse(statusOk, statusText()));
        } else if (path.starts_with("/booking/")) {
            bookings.serve(request);
        } else if (path == "/v1/demands" || path.starts_with("/v1/demands/")) {
            demands.serve(request);
        } else if (path == "/v1/sheet" || path.starts_with("/v1/sheet/")) {
            sheets.serve(request);
        } else {
            request->answer(toResponse({statusNotFound, request_outcome::refused, "read request", "",
                                        "no such path is served", std::nullopt, ""}));
        }
    }

    bool refuseUnauthorized(const std::shared_ptr<http_request> &request)
    {
        const auto refusal = refuseUnlessAdministrator({settings.administrationToken, settings.isAdministrationOpen},
                                                       request->header("Authorization"));
        if (refusal) {
            measures.count("primrosecroft_administration_refused_total", "status", std::to_string(refusal->status));
            request->answer(*refusal);
        }
        return refusal.has_value();
    }

    bool isReady() const
    {
        return !isLeaving && entryPeers.hasMemberList() && configuration.isKnown();
    }

    std::string metricsText()
    {
        measures.set("primrosecroft_peer_messages_sent", static_cast<double>(entryPeers.hub().messagesSent()));
        measures.set("primrosecroft_peer_bytes_sent", static_cast<double>(entryPeers.hub().bytesSent()));
        measures.set("primrosecroft_peer_bytes_received", static_cast<double>(entryPeers.hub().bytesReceived()));
        measures.set("primrosecroft_control_http_bytes_sent", static_cast<double>(storeHttp.callBytes().sent));
        measures.set("primrosecroft_control_http_bytes_received", static_cast<double>(storeHttp.callBytes().received));
        measures.set("primrosecroft_control_http_calls", static_cast<double>(storeHttp.callBytes().calls));
        measures.set("primrosecroft_store_reads", static_cast<double>(monitoredStore.reads()));
        measures.set("primrosecroft_store_writes", static_cast<double>(monitoredStore.writes()));
        return measures.text();
    }

    std::string statusText()
    {
        auto peers = nlohmann::json::array();
        for (const auto &peer : livePeers(entryPeers.membership(), bootNow())) {
            peers.push_back({{"process", peer.process},
                             {"failureDomain", peer.failureDomain},
                             {"configurationVersion", peer.configurationVersion}});
        }
        auto upstreams = nlohmann::json::array();
        for (const auto &upstream : bookings.state().upstreams | std::views::values) {
            upstreams.push_back({{"id", upstream.description.id},
                                 {"failureDomain", upstream.description.failureDomain},
                                 {"inFlight", upstream.inFlight},
                                 {"leaving", primrosecroft::isLeaving(bookings.state(), upstream)}});
        }
        return nlohmann::json {{"process", settings.process},
                               {"failureDomain", settings.failureDomain},
                               {"region", settings.region},
                               {"ready", isReady()},
                               {"configurationVersion", configuration.current() ? configuration.current()->version : 0},
                               {"storeReachable", rows.isReachable()},
                               {"peers", peers},
                               {"bookingsInFlight", bookings.inFlight()},
                               {"upstreams", upstreams}}
            .dump();
    }

    // --- the process

    static int onSignal(gpointer self)
    {
        static_cast<parts *>(self)->beginShutdown();
        return G_SOURCE_CONTINUE;
    }

    void beginShutdown()
    {
        if (std::exchange(isLeaving, true)) {
            end(exitCutOff);
            return;
        }
        LOG(INFO) << "entryd: leaving, waiting for the balancer";
        entryPeers.leave();
        shutdownTimer.once(settings.balancerPause + settings.shutdownTimeout, [this] { end(exitCutOff); });
        balancerTimer.once(settings.balancerPause, [this] {
            server.stopListening();
            drainCheckTimer.every(drainCheckInterval, [this] { endWhenIdle(); });
        });
    }

    /// Ends the process after minIdleTime without open requests. A single idle moment isn't enough, since another
    /// request may be arriving on a kept connection.
    void endWhenIdle()
    {
        if (bookings.inFlight() != 0 || server.inFlight() != 0) {
            idleSince.reset();
            return;
        }
        const auto now = bootNow();
        if (now >= idleSince.value_or(now) + minIdleTime) {
            drainCheckTimer.stop();
            end(0);
        } else if (!idleSince) {
            idleSince = now;
        }
    }

    void end(int status)
    {
        if (status == 0) {
            LOG(INFO) << "entryd: ended, nothing was cut off";
        } else {
            LOG(WARNING) << "entryd: ended early, cut off: bookings=" << bookings.inFlight()
                         << " open requests=" << server.inFlight();
        }
        exitStatus = status;
        g_main_loop_quit(loop.get());
    }

    int run()
    {
        entryPeers.start();
        server.listen(settings.address, settings.httpPort);
        LOG(INFO) << "entryd: listening, address=" << settings.address << " http=" << settings.httpPort
                  << " peers=" << settings.peerPort;
        const auto signals = {g_unix_signal_add(SIGTERM, &parts::onSignal, this),
                              g_unix_signal_add(SIGINT, &parts::onSignal, this)};
        configuration.start(settings.configurationInterval);
        sheetTimer.every(sheetDemandsInterval, [this] { demands.acceptSheetDemands(); });
        g_main_loop_run(loop.get());
        std::ranges::for_each(signals, [](guint source) { g_source_remove(source); });
        return exitStatus;
    }

    entry_daemon_settings settings;
    std::int64_t incarnation;
    loop_pointer loop {g_main_loop_new(nullptr, FALSE)};
    http_client bookingHttp {bookingConnections};
    http_client storeHttp {storeConnections};
    platform::store_client storeClient;
    platform::object_client objectClient;
    monitored_store monitoredStore;
    guarded_store rows;
    metrics measures;
    std::optional<planning_sheet> sheet; ///< in force; std::nullopt before the first version
    configuration_follower configuration;
    entry_peers entryPeers;
    booking_proxy bookings;
    demand_service demands;
    sheet_service sheets;
    http_server server;
    timer sheetTimer;
    timer balancerTimer;
    timer shutdownTimer;
    timer drainCheckTimer;
    std::optional<instant> idleSince; ///< while draining; std::nullopt while requests are open
    bool isLeaving = false;
    int exitStatus = 0;
};

entry_daemon::entry_daemon(const entry_daemon_settings &settings)
    : m_parts(std::make_unique<parts>(settings))
{
}

entry_daemon::~entry_daemon() = default;

int entry_daemon::run()
{
    return m_parts->run();
}

} // namespace primrosecroft
