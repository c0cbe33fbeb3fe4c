#include "scheduler_daemon.h"

#include "core/error.h"
#include "demands/demand_service.h"
#include "observability/log_text.h"
#include "observability/problem.h"
#include "primrosecroft_types.h"

#include <algorithm>
#include <array>
#include <glib.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t keysPerRead = 500;
constexpr auto tickInterval = 50ms;
constexpr std::array phaseNames {"waiting", "unknown", "starting", "starting", "running", "stopping", "ended"};

scheduler_settings makeSchedulerSettings(const daemon_settings &settings)
{
    scheduler_settings scheduler;
    scheduler.process = settings.process;
    scheduler.ownership = settings.ownership;
    scheduler.rank = settings.rank;
    scheduler.seed = std::random_device {}();
    return scheduler;
}

/// The demand's home among the failure domains, the same for every scheduler.
std::optional<failure_domain_id> homeOf(const planning_sheet &sheet, const demand_key &key, const demand_spec &spec)
{
    std::vector<failure_domain_id> domains;
    std::ranges::copy(sheet.regions | std::views::keys, std::back_inserter(domains));
    if (domains.empty()) {
        return std::nullopt;
    }
    const auto preferred = domains.at(g_str_hash(key.c_str()) % domains.size());
    return chooseHome(sheet, spec, preferred);
}

/// None when the row can't be understood; that may not end the process.
std::optional<demand_row> readableRow(const std::string &text)
{
    try {
        return rowFromJson(text);
    } catch (const error &fault) {
        LOG(ERROR) << "demands: unreadable row, reason=" << fault.what();
        return std::nullopt;
    }
}

template<typename parser>
auto parsedAnswer(const http_outcome &outcome, parser parse) -> std::optional<decltype(parse(std::string()))>
{
    const auto *answer = std::get_if<http_answer>(&outcome);
    if (answer == nullptr || answer->status != statusOk) {
        return std::nullopt;
    }
    try {
        return parse(answer->body);
    } catch (const error &fault) {
        LOG(WARNING) << "workers: unreadable answer, reason=" << logText(fault.what());
        return std::nullopt;
    }
}

} // namespace

scheduler_daemon::scheduler_daemon(const daemon_settings &settings)
    : m_daemon(settings, makeRole())
    , m_state(makeScheduler(makeSchedulerSettings(settings)))
{
    m_ticker.every(tickInterval, [this] { handle(timer_ticked {}); });
}

int scheduler_daemon::run()
{
    return m_daemon.run();
}

daemon_role scheduler_daemon::makeRole()
{
    daemon_role role;
    role.name = "schedd";
    role.request = [](const std::shared_ptr<http_request> &request) {
        request->answer(toAnswer({statusNotFound, request_outcome::refused, "read request", "",
                                  "no such path is served", std::nullopt, ""}));
    };
    role.message = [this](const wire::Message &message, const auto &reply) { receive(message, reply); };
    role.sheetApplied = [this](const planning_sheet &sheet) { applySheet(sheet); };
    role.membershipChanged = [] { };
    role.peerHeard = [this](const peer_record & /*peer*/) { notePeers(); };
    role.drain = [this] { handle(leave_requested {}); };
    role.isDrained = [this] { return m_writesInFlight == 0; };
    role.unfinished = [this] { return "table writes=" + std::to_string(m_writesInFlight); };
    role.isPlacing = [this] { return m_state.ownership.placing; };
    role.status = [this] { return status(); };
    return role;
}

void scheduler_daemon::applySheet(const planning_sheet &sheet)
{
    m_sheet = sheet;
    m_state.settings.policy = sheet.policy;
    handle(workers_configured {workersOf(sheet, m_daemon.settings().failureDomain)});
    submitSheetDemands();
}

/// A placing scheduler accepts the sheet's demands whose home is here; the key makes it idempotent.
void scheduler_daemon::submitSheetDemands()
{
    if (!m_sheet || !m_state.ownership.placing) {
        return;
    }
    for (const auto &[name, spec] : m_sheet->demands) {
        const auto key = sheetDemandKey(*m_sheet, name);
        const auto home = homeOf(*m_sheet, key, spec);
        if (m_submitted.contains(key) || home != m_daemon.settings().failureDomain) {
            continue;
        }
        demand_row row;
        row.key = key;
        row.home = *home;
        row.spec = spec;
        m_daemon.platform().commit({{demandRowKey(key), table_write::noRow, toJson(row)},
                                    {activeRowKey(*home, key), table_write::anyVersion, ""}},
                                   [this, key](const commit_result &result) {
                                       const auto isThere = result.status == commit_status::committed
                                           || result.status == commit_status::conflict;
                                       if (isThere && m_submitted.insert(key).second) {
                                           readRow(key);
                                       }
                                   });
    }
}

void scheduler_daemon::receive(const wire::Message &message, const std::function<void(wire::Message)> &reply)
{
    if (message.__isset.demandNotice) {
        if (m_state.ownership.placing) {
            readRow(message.demandNotice.key);
        }
        return;
    }
    if (!message.__isset.demandQuery) {
        return;
    }
    wire::Message answer;
    auto &report = answer.demandReport;
    report.key = message.demandQuery.key;
    const auto found = m_state.demands.find(report.key);
    report.known = m_state.ownership.placing && found != m_state.demands.end();
    if (report.known) {
        for (const auto index : std::views::iota(0, static_cast<std::int32_t>(found->second.tasks.size()))) {
            const auto &task = found->second.tasks.at(index);
            wire::TaskReport entry;
            entry.index = index;
            entry.state = phaseNames.at(static_cast<std::size_t>(task.phase));
            entry.__set_worker(task.worker);
            report.tasks.push_back(entry);
        }
    }
    answer.__isset.demandReport = true;
    reply(answer);
}

void scheduler_daemon::notePeers()
{
    const auto &settings = m_daemon.settings();
    const auto peers = livePeers(m_daemon.membership(), std::chrono::steady_clock::now());
    const auto placesHere = [&settings](const peer_record &peer) {
        return peer.placing && peer.failureDomain == settings.failureDomain && peer.process != settings.process;
    };
    if (!m_state.ownership.placing && std::ranges::any_of(peers, placesHere)) {
        handle(peer_placing {});
    }
}

void scheduler_daemon::handle(const scheduler_message &message)
{
    const auto actions = step(m_state, message, std::chrono::steady_clock::now());
    std::ranges::for_each(actions, [this](const scheduler_action &action) { carryOut(action); });
}

void scheduler_daemon::carryOut(const scheduler_action &action)
{
    struct visitor
    {
        scheduler_daemon &self;

        void operator()(const send_claim &each) const
        {
            self.sendClaim(each);
        }

        void operator()(const send_exchange &each) const
        {
            self.sendExchange(each);
        }

        void operator()(const send_release &each) const
        {
            self.sendRelease(each);
        }

        void operator()(const write_row &each) const
        {
            self.writeRow(each);
        }

        void operator()(const read_row &each) const
        {
            self.readRow(each.key);
        }

        void operator()(const scan_rows &each) const
        {
            self.scanRows(each);
        }

        void operator()(const report_placed &each) const
        {
            self.m_daemon.measures().count("primrosecroft_tasks_placed_total", "failure_domain",
                                           self.m_daemon.settings().failureDomain);
            self.m_daemon.measures().observe("primrosecroft_placement_seconds", "failure_domain",
                                             self.m_daemon.settings().failureDomain, each.waited);
        }

        void operator()(const report_majority &each) const
        {
            self.majorityChanged(each.held);
        }
    };
    std::visit(visitor {*this}, action);
}

std::string scheduler_daemon::workerUrl(const worker_id &worker, const std::string &path) const
{
    if (!m_sheet || !m_sheet->workers.contains(worker)) {
        return {};
    }
    const auto &known = m_sheet->workers.at(worker);
    return "http://" + known.address + ':' + std::to_string(known.port) + path;
}

template<typename answered, typename order, typename parser>
void scheduler_daemon::callWorker(const order &action, const std::string &path, parser parse)
{
    http_call call;
    call.method = "POST";
    call.url = workerUrl(action.worker, path);
    call.body = toJson(action.message);
    call.timeout = m_daemon.settings().ownership.requestTimeout;
    const auto worker = action.worker;
    const auto request = action.request;
    m_daemon.http().call(call, [this, worker, request, parse](const http_outcome &outcome) {
        if (const auto answer = parsedAnswer(outcome, parse)) {
            handle(answered {worker, request, *answer});
        } else {
            handle(worker_request_lost {worker, request});
        }
    });
}

void scheduler_daemon::sendClaim(const send_claim &action)
{
    callWorker<claim_answered>(action, "/claim", claimAnswerFromJson);
}

void scheduler_daemon::sendExchange(const send_exchange &action)
{
    callWorker<exchange_answered>(action, "/exchange", exchangeAnswerFromJson);
}

void scheduler_daemon::sendRelease(const send_release &action)
{
    http_call call;
    call.method = "POST";
    call.url = workerUrl(action.worker, "/release");
    call.body = nlohmann::json {{"token", action.token}}.dump();
    m_daemon.http().call(call, [](const http_outcome &) { });
}

void scheduler_daemon::writeRow(const write_row &action)
{
    const auto &row = action.row;
    table_transaction transaction {{demandRowKey(row.key), action.version, toJson(row)}};
    if (row.outcome != demand_outcome::none) {
        transaction.push_back({activeRowKey(row.home, row.key), table_write::anyVersion, std::nullopt});
    }
    ++m_writesInFlight;
    m_daemon.platform().commit(
        std::move(transaction), [this, row, request = action.request](const commit_result &result) {
            --m_writesInFlight;
            switch (result.status) {
            case commit_status::committed:
                if (row.outcome != demand_outcome::none) {
                    m_daemon.measures().count("primrosecroft_demands_ended_total", "outcome", toString(row.outcome));
                }
                handle(row_written {row.key, request, result.versions.front()});
                return;
            case commit_status::conflict:
                handle(row_write_refused {row.key, request});
                return;
            case commit_status::lost:
            case commit_status::notSent:
                handle(row_write_lost {row.key, request});
                return;
            }
        });
}

void scheduler_daemon::readRow(const demand_key &key)
{
    const auto takeover = m_state.takeover;
    m_daemon.platform().read(demandRowKey(key), [this, key, takeover](const row_result &result) {
        if (!result) {
            handle(row_read_lost {key});
            return;
        }
        if (!*result) {
            handle(row_read {key, std::nullopt, 0, takeover});
            return;
        }
        const auto row = readableRow((*result)->value);
        if (!row) {
            handle(row_read_lost {key});
            return;
        }
        if (row->home == m_daemon.settings().failureDomain) {
            handle(row_read {key, row, (*result)->version, takeover});
        }
    });
}

void scheduler_daemon::scanRows(const scan_rows &action)
{
    const auto prefix = activeRowPrefix(m_daemon.settings().failureDomain);
    m_daemon.platform().list(prefix, [this, action, prefix](const std::optional<std::vector<table_row>> &rows) {
        if (!rows) {
            handle(scan_finished {action.scan, false});
            return;
        }
        std::vector<std::string> keys;
        std::ranges::transform(*rows, std::back_inserter(keys),
                               [&prefix](const table_row &row) { return demandRowKey(row.key.substr(prefix.size())); });
        readScanned(action.scan, std::move(keys));
    });
}

void scheduler_daemon::readScanned(std::uint64_t scan, std::vector<std::string> keys)
{
    if (keys.empty()) {
        handle(scan_finished {scan, true});
        submitSheetDemands();
        return;
    }
    const auto count = std::min(keysPerRead, keys.size());
    const std::vector<std::string> page(keys.end() - static_cast<std::ptrdiff_t>(count), keys.end());
    keys.resize(keys.size() - count);
    const auto takeover = m_state.takeover;
    m_daemon.platform().readMany(page, [this, scan, keys, takeover](const std::optional<std::vector<table_row>> &rows) {
        if (!rows) {
            handle(scan_finished {scan, false});
            return;
        }
        for (const auto &row : *rows) {
            if (const auto demand = readableRow(row.value)) {
                handle(row_read {demand->key, demand, row.version, takeover});
            }
        }
        readScanned(scan, keys);
    });
}

void scheduler_daemon::majorityChanged(bool held)
{
    LOG(INFO) << "ownership: " << (held ? "gained" : "lost")
              << " the majority, failureDomain=" << m_daemon.settings().failureDomain;
    m_daemon.measures().set("primrosecroft_placing", held ? 1 : 0);
}

std::string scheduler_daemon::status() const
{
    std::map<std::string, std::int64_t> phases;
    for (const auto &demand : m_state.demands | std::views::values) {
        for (const auto &task : demand.tasks) {
            ++phases[phaseNames.at(static_cast<std::size_t>(task.phase))];
        }
    }
    nlohmann::json workers = nlohmann::json::array();
    const auto now = std::chrono::steady_clock::now();
    for (const auto &[id, worker] : m_state.workers) {
        workers.push_back({{"id", id},
                           {"rack", worker.rack},
                           {"held", holds(m_state.ownership.workers.at(id), now)},
                           {"tasks", m_state.records.at(id).occupied.size()},
                           {"freeMilliCores", worker.free.milliCores},
                           {"freeMemoryMib", worker.free.memoryMib},
                           {"freeAccelerators", worker.free.accelerators}});
    }
    return nlohmann::json {{"placing", m_state.ownership.placing},
                           {"demands", m_state.demands.size()},
                           {"tasks", phases},
                           {"workers", workers}}
        .dump();
}

} // namespace primrosecroft
