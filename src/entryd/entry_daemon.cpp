#include "entry_daemon.h"

#include "administration/administration.h"
#include "observability/problem.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto askTimeout = 500ms;

routing_settings makeRoutingSettings(const daemon_settings &settings)
{
    routing_settings routing;
    routing.address = settings.address;
    routing.failureDomain = settings.failureDomain;
    routing.region = settings.region;
    routing.seed = std::random_device {}();
    return routing;
}

std::vector<task_report> readReport(const wire::DemandReport &report)
{
    std::vector<task_report> result;
    std::ranges::transform(report.tasks, std::back_inserter(result), [](const wire::TaskReport &task) {
        return task_report {task.index, task.state, task.worker};
    });
    return result;
}

} // namespace

entry_daemon::entry_daemon(const daemon_settings &settings)
    : m_daemon(settings, makeRole())
    , m_bookings(m_daemon.http(), m_daemon.measures(), makeRoutingSettings(settings), settings.bookingDeadline,
                 [this](const upstream_id &upstream) { spreadLeaving(upstream); })
    , m_demands(m_daemon.platform(), m_daemon.measures(), makeLinks(), settings.failureDomain, settings.acceptDeadline)
    , m_sheets(m_daemon.platform(), m_daemon.configuration(),
               settings.process + '/' + std::to_string(m_daemon.incarnation()))
{
}

int entry_daemon::run()
{
    return m_daemon.run();
}

daemon_role entry_daemon::makeRole()
{
    daemon_role role;
    role.name = "entryd";
    role.request = [this](const std::shared_ptr<http_request> &request) { serve(request); };
    role.message = [this](const wire::Message &message, const auto & /*reply*/) { receive(message); };
    role.sheetApplied = [this](const planning_sheet &sheet) { m_sheet = sheet; };
    role.membershipChanged = [this] { m_bookings.setUpstreams(m_daemon.membership().vms); };
    role.drain = [] { };
    role.isDrained = [this] { return m_bookings.inFlight() == 0; };
    role.unfinished = [this] { return "bookings=" + std::to_string(m_bookings.inFlight()); };
    role.isPlacing = [] { return false; };
    role.status = [this] { return status(); };
    return role;
}

demand_links entry_daemon::makeLinks()
{
    demand_links links;
    links.notify = [this](const auto &home, const auto &key) { notifyHome(home, key); };
    links.ask = [this](const auto &home, const auto &key, const auto &done) { askHome(home, key, done); };
    links.sheet = [this] { return m_sheet ? &*m_sheet : nullptr; };
    return links;
}

void entry_daemon::serve(const std::shared_ptr<http_request> &request)
{
    const auto path = request->path();
    if (isAdministration(request->method(), path)) {
        const auto &settings = m_daemon.settings();
        const auto refusal = refuseUnlessAdministrator({settings.administrationToken, settings.openAdministration},
                                                       request->header("Authorization"));
        if (refusal) {
            m_daemon.measures().count("primrosecroft_administration_refused_total", "status",
                                      std::to_string(refusal->status));
            request->answer(*refusal);
            return;
        }
    }
    if (path.starts_with("/booking/")) {
        m_bookings.serve(request);
    } else if (path == "/v1/demands" || path.starts_with("/v1/demands/")) {
        m_demands.serve(request);
    } else if (path == "/v1/sheet" || path.starts_with("/v1/sheet/")) {
        m_sheets.serve(request);
    } else {
        request->answer(toAnswer({statusNotFound, request_outcome::refused, "read request", "",
                                  "no such path is served", std::nullopt, ""}));
    }
}

void entry_daemon::receive(const wire::Message &message)
{
    if (message.__isset.leavingNotice) {
        m_bookings.upstreamLeft(message.leavingNotice.upstream);
    }
}

void entry_daemon::notifyHome(const failure_domain_id &home, const demand_key &key)
{
    wire::Message message;
    message.demandNotice.key = key;
    message.__isset.demandNotice = true;
    for (const auto &scheduler : m_daemon.schedulersOf(home)) {
        m_daemon.peers().send(scheduler, message);
    }
}

void entry_daemon::askHome(const failure_domain_id &home, const demand_key &key, const report_handler &done)
{
    askNext(m_daemon.schedulersOf(home), key, done);
}

void entry_daemon::askNext(std::vector<peer_address> schedulers, const demand_key &key, const report_handler &done)
{
    if (schedulers.empty()) {
        done(std::nullopt);
        return;
    }
    const auto next = schedulers.back();
    schedulers.pop_back();
    wire::Message message;
    message.demandQuery.key = key;
    message.__isset.demandQuery = true;
    m_daemon.peers().ask(next, message, askTimeout,
                         [this, schedulers, key, done](const std::optional<wire::Message> &reply) {
                             if (reply && reply->__isset.demandReport && reply->demandReport.known) {
                                 done(readReport(reply->demandReport));
                                 return;
                             }
                             askNext(schedulers, key, done);
                         });
}

void entry_daemon::spreadLeaving(const upstream_id &upstream)
{
    wire::Message message;
    message.leavingNotice.upstream = upstream;
    message.__isset.leavingNotice = true;
    for (const auto &peer : m_daemon.otherDaemons()) {
        if (peer.port == m_daemon.settings().entryPeerPort) {
            m_daemon.peers().send(peer, message);
        }
    }
}

std::string entry_daemon::status() const
{
    nlohmann::json upstreams = nlohmann::json::array();
    for (const auto &upstream : m_bookings.state().upstreams | std::views::values) {
        upstreams.push_back({{"id", upstream.description.id},
                             {"failureDomain", upstream.description.failureDomain},
                             {"inFlight", upstream.inFlight},
                             {"leaving", isLeaving(m_bookings.state(), upstream)}});
    }
    return nlohmann::json {{"bookingsInFlight", m_bookings.inFlight()}, {"upstreams", upstreams}}.dump();
}

} // namespace primrosecroft
