#include "advice_server.h"
#include "configuration/sheet.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/read_file.h"
#include "executor_emulator.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "platform/wire.h"
#include "store_server.h"
#include "worker_server.h"

#include <CLI/CLI.hpp>
#include <glib.h>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <ranges>
#include <sstream>

/**
 * Emulates the users' platform on loopback addresses in real time: the store, the workers and the advice service, as
 * the pages of the platform's documentation describe them. Requests to a control address inject faults and return what
 * has run on the workers.
 */
using namespace primrosecroft;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

constexpr std::uint16_t storePort = 7701;
constexpr std::uint16_t advicePort = 7702;
constexpr std::uint16_t controlPort = 7703;
constexpr std::uint16_t otherStorePort = 7704; ///< of the same store, for daemons that it is to turn away alone
constexpr std::uint16_t workerPort = 7500;
constexpr auto tickInterval = 10ms;
constexpr auto announcementInterval = 500ms;
constexpr auto entryLifetime = 4'500ms; ///< a worker's entry goes when it hasn't been renewed for this long
constexpr const char *taskPool = "tasks";
constexpr const char *bookingPool = "bookings";

http_response makeAnswer(unsigned status, const json &body)
{
    return standins::jsonAnswer(status, body.dump());
}

/**
 * Reads how the tasks of a job behave from its payload. The payload of a job may contain `work=800` (milliseconds),
 * `fail` and `lasts` (a service). The payload of a demand is its row.
 */
task_behaviour behaviourOf(const std::string &payload)
{
    task_behaviour behaviour;
    if (const auto row = json::parse(payload, nullptr, false); row.is_object()) {
        behaviour.isService = row.at("demand").at("kind") == "service";
        behaviour.work = std::chrono::milliseconds(row.at("demand").at("runTimeMs").get<std::int64_t>());
        return behaviour;
    }
    if (const auto at = payload.find("work="); at != std::string::npos) {
        behaviour.work = std::chrono::milliseconds(std::stoi(payload.substr(at + 5)));
    }
    behaviour.fails = payload.find("fail") != std::string::npos;
    behaviour.isService = payload.find("lasts") != std::string::npos;
    return behaviour;
}

/// A worker that runs on while neither the daemons nor the store reach it.
struct cut_off
{
    instant from;
    instant until;
};

struct deployment
{
    explicit deployment(std::string prefix)
        : networkPrefix(std::move(prefix))
    {
    }

    /// Adds @p count equal workers, two in each rack.
    void addWorkers(int count)
    {
        for (int i = 1; i <= count; ++i) {
            worker_description worker;
            worker.id = "i-" + std::to_string(i);
            worker.boot = timeOfDay().count();
            worker.address = networkPrefix + ".2." + std::to_string(i) + ':' + std::to_string(workerPort);
            worker.pool = "pool";
            worker.failureDomain = "a";
            worker.labels = {"k", "r" + std::to_string((i - 1) / 2)};
            worker.capacity = {8'000, 16'000, 0};
            workers.emplace_back(worker, 1.0);
        }
    }

    /// Adds the workers of a sheet at their addresses.
    void addWorkers(const planning_sheet &sheet)
    {
        for (const auto &[id, planned] : sheet.workers) {
            worker_description worker;
            worker.id = id;
            worker.boot = timeOfDay().count();
            worker.address = planned.address + ':' + std::to_string(planned.port);
            worker.pool = taskPool;
            worker.failureDomain = planned.failureDomain;
            worker.labels = {"k", planned.rack};
            worker.capacity = planned.total;
            workers.emplace_back(worker, 1.0);
        }
    }

    /// Adds the executors of bookings of a list of VMs to the announcements. They run as separate processes.
    void addExecutors(const json &vms)
    {
        for (const auto &vm : vms) {
            if (vm.at("role") == "executor") {
                executors[vm.at("id")] = {
                    {"service", bookingPool},
                    {"address", vm.at("address").get<std::string>() + ':' + std::to_string(vm.at("port").get<int>())},
                    {"zone", vm.at("failureDomain")},
                    {"version", "1"},
                    {"slots", 8},
                    {"state", "ready"}};
            }
        }
    }

    void listen()
    {
        listenOn(networkPrefix + ".0.1", storePort, [this](const auto &request) { serveStore(request); });
        listenOn(networkPrefix + ".0.1", otherStorePort, [this](const auto &request) {
            if (refusesOtherPort) {
                request->answer({statusUnavailable, {}, ""});
            } else {
                serveStore(request);
            }
        });
        listenOn(networkPrefix + ".0.2", advicePort, [this](const auto &request) { adviceServer.serve(request); });
        listenOn(networkPrefix + ".0.1", controlPort, [this](const auto &request) { serveControl(request); });
        for (std::size_t i = 0; i < workers.size(); ++i) {
            const auto address = parseSocketAddress(workers[i].description().address);
            listenOn(address.address, address.port, [this, i](const auto &request) { serveWorker(i, request); });
        }
        tickTimer.every(tickInterval, [this] { advance(); });
        announcementTimer.every(announcementInterval, [this] { announce(); });
        announce();
        putConfiguration(1);
    }

    void listenOn(const std::string &address, std::uint16_t port, http_handler handler)
    {
        servers.push_back(std::make_unique<http_server>(http_server_limits {}, std::move(handler)));
        servers.back()->listen(address, port);
    }

    // --- time

    void advance()
    {
        const auto now = bootNow();
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastTickAt);
        lastTickAt += elapsed;
        store.now += elapsed;
        for (auto &worker : workers) {
            worker.advance(elapsed);
        }
        countDuplicateRuns();
        calls.serve(now);
    }

    /// Counts, at each tick, the tasks that run more than once at the same time.
    void countDuplicateRuns()
    {
        std::map<task_ref, int> runs;
        for (const auto &worker : workers) {
            for (const auto &run : worker.running()) {
                if (++runs[run.task] == 2) {
                    ++duplicateRuns;
                }
            }
        }
    }

    void announce()
    {
        for (std::size_t i = 0; i < workers.size(); ++i) {
            const auto &description = workers[i].description();
            const row_place place {platform::workerTable, "", description.id};
            if (!isCut(i)) {
                store.put(place, standins::workerEntry(description, ++announcements));
            } else if (cuts.at(i).from + entryLifetime <= bootNow()) {
                store.remove(place);
            }
        }
        for (const auto &[id, entry] : executors) {
            store.put({platform::workerTable, "", id}, entry.dump());
        }
        store.put({platform::workerTable, "", "i-unreadable"}, "not JSON"); // readers have to skip it
    }

    /// Puts a configuration in force. @p keys lists the workspaces' keys, such as `a:key1,b:key2`; empty for a
    /// deployment without workspaces.
    void putConfiguration(int version, const std::string &keys = {})
    {
        const json route {{"name", "q"},   {"host", "jobs.example"}, {"pathPrefix", "/q/"},  {"service", "pool"},
                          {"priority", 0}, {"maxAttempts", 2},       {"stretchFactor", 1.5}, {"targetLatencyMs", 500}};
        auto advised = route;
        advised["name"] = "advised";
        advised["pathPrefix"] = "/advised/";
        advised["advice"] = {
            {"decideMs", 20.0}, {"periodMs", 0.3}, {"validMs", standins::advice_server::ticketValidity.count()}};
        json configuration {{"version", version}, {"routes", {route, advised}}, {"services", json::array()}};
        if (!keys.empty()) {
            configuration["tenants"] = workspaceList(keys);
        }
        store.put({platform::configurationTable, "", platform::configurationKey}, configuration.dump());
    }

    static json workspaceList(const std::string &keys)
    {
        std::map<std::string, json> keysOf;
        for (std::istringstream list(keys); !list.eof();) {
            std::string entry;
            std::getline(list, entry, ',');
            const auto separator = entry.find(':');
            keysOf[entry.substr(0, separator)].push_back(entry.substr(separator + 1));
        }
        auto result = json::array();
        for (const auto &[name, own] : keysOf) {
            result.push_back({{"name", name}, {"apiKeys", own}});
        }
        return result;
    }

    // --- the store

    void serveStore(const std::shared_ptr<http_request> &request)
    {
        if (storeMode == "out" || bootNow() < storeDownUntil) {
            request->answer({statusUnavailable, {}, ""});
            return;
        }
        if (storeMode == "freeze") {
            storeServer.keepUnanswered(request);
            return;
        }
        standins::store_call_options options;
        if (request->path() == "/rows-get" && request->query("table") == delayedTable) {
            options.delay = readDelay;
        }
        if (request->path() == "/rows-tx" && storeMode == "lose") {
            options.fate = standins::answer_fate::reset;
        } else if (request->path() == "/rows-tx" && answersToLose > 0) {
            --answersToLose;
            options.fate = standins::answer_fate::lost;
        }
        storeServer.serve(request, options);
    }

    // --- workers

    /// Returns whether the worker is cut off from the daemons and the store.
    bool isCut(std::size_t worker) const
    {
        const auto found = cuts.find(worker);
        return found != cuts.end() && found->second.until > bootNow();
    }

    void serveWorker(std::size_t index, const std::shared_ptr<http_request> &request)
    {
        if (isCut(index)) {
            storeServer.keepUnanswered(request);
            return;
        }
        standins::worker_server_hooks hooks;
        hooks.behaviourOf = [](const run_id &, const std::string &payload) { return behaviourOf(payload); };
        // The tests give jobs of the advised queue ids that start with "ad". Only their starts need a ticket.
        hooks.acceptsTicket = [this](const run_id &run, const std::string &ticket) {
            return !run.task.job.starts_with("ad") || adviceServer.hasIssued(ticket);
        };
        hooks.started = [this](const run_id &run, row_version, bool isNew, const std::string &payload) {
            payloads[run.task.job] = payload;
            starts += isNew ? 1 : 0;
        };
        hooks.answer = [this, index](const std::shared_ptr<http_request> &order, const http_response &answer) {
            if (isCut(index)) {
                storeServer.keepUnanswered(order);
                return;
            }
            if (order->path() == "/run-start" && startAnswersToLose > 0) {
                --startAnswersToLose;
                storeServer.keepUnanswered(order);
                return;
            }
            order->answer(answer);
        };
        standins::serveOrder(workers.at(index), request, calls, hooks);
    }

    // --- control

    void serveControl(const std::shared_ptr<http_request> &request)
    {
        const auto number = [&request](const char *name) { return std::stoll("0" + request->query(name)); };
        if (request->path() == "/tasks") {
            request->answer(makeAnswer(statusOk, listTasks()));
            return;
        }
        if (request->path() == "/store") {
            storeMode = request->query("mode");
        } else if (request->path() == "/store-down") {
            storeDownUntil = bootNow() + std::chrono::milliseconds(number("ms"));
        } else if (request->path() == "/delay-reads") {
            delayedTable = request->query("table");
            readDelay = std::chrono::milliseconds(number("ms"));
        } else if (request->path() == "/lose-answers") {
            answersToLose += static_cast<int>(number("count"));
        } else if (request->path() == "/lose-starts") {
            startAnswersToLose += static_cast<int>(number("count"));
        } else if (request->path() == "/drop-history") {
            store.dropHistory();
        } else if (request->path() == "/configure") {
            putConfiguration(static_cast<int>(number("version")), request->query("keys"));
        } else if (request->path() == "/other-store") {
            refusesOtherPort = request->query("mode") == "out";
        } else if (request->path() == "/cut") {
            cuts[static_cast<std::size_t>(number("worker"))] = {bootNow(),
                                                                bootNow() + std::chrono::milliseconds(number("ms"))};
        } else if (request->path() == "/reboot") {
            workers.at(static_cast<std::size_t>(number("worker"))).reboot(timeOfDay().count());
        }
        std::size_t running = 0;
        for (const auto &worker : workers) {
            running += worker.running().size();
        }
        request->answer(makeAnswer(statusOk,
                                   {{"doubles", duplicateRuns},
                                    {"starts", starts},
                                    {"running", running},
                                    {"adviceCalls", adviceServer.calls()}}));
    }

    /// Lists the runs of all workers. The name of a task of a demand starts with the key of the demand.
    json listTasks() const
    {
        auto tasks = json::array();
        for (const auto &worker : workers) {
            for (const auto &run : worker.running()) {
                const auto row = json::parse(payloads.at(run.task.job), nullptr, false);
                const auto name = row.is_object()
                    ? row.at("key").get<std::string>() + '#' + std::to_string(run.task.index)
                    : platform::encodeTask(run.task);
                tasks.push_back({{"attempt", run.attempt}, {"task", name}, {"worker", worker.description().id}});
            }
        }
        return tasks;
    }

    std::string networkPrefix;
    standins::waiting_calls calls;
    standins::store_server storeServer {calls};
    standins::advice_server adviceServer {calls};
    store_emulator &store = storeServer.store;
    /// "good", "out" (answers 503), "freeze" (never answers) or "lose" (commits, then closes the connection).
    std::string storeMode = "good";
    std::map<std::string, json> executors; ///< announced entries of the executors of bookings, by VM
    std::map<job_id, std::string> payloads; ///< of the jobs whose tasks have started
    std::deque<executor_emulator> workers;
    std::map<std::size_t, cut_off> cuts; ///< the last one of each worker that was cut off
    std::vector<std::unique_ptr<http_server>> servers;
    timer tickTimer;
    timer announcementTimer;
    instant lastTickAt = bootNow();
    instant storeDownUntil;
    bool refusesOtherPort = false; ///< requests at otherStorePort are answered 503
    std::string delayedTable; ///< reads of its rows are answered late, by readDelay; empty for none
    std::chrono::milliseconds readDelay {0};
    int answersToLose = 0; ///< transactions that the store commits and doesn't answer
    int startAnswersToLose = 0; ///< start orders that workers carry out and don't answer
    int duplicateRuns = 0;
    int starts = 0;
    std::int64_t announcements = 0;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App program("The users' platform on loopback: store, workers, advice.", "standin-deployment");
    std::string networkPrefix = "127.60";
    int workerCount = 4;
    program.add_option("--net", networkPrefix, "First two numbers of the addresses.");
    std::string sheetFile;
    std::string vmFile;
    program.add_option("--workers", workerCount, "Number of workers if no sheet is given.")->check(CLI::Range(1, 200));
    program.add_option("--sheet", sheetFile, "Sheet whose workers it emulates.");
    program.add_option("--vms", vmFile, "JSON file with the executors of bookings to announce.");
    CLI11_PARSE(program, argc, argv);
    try {
        deployment standin(networkPrefix);
        if (sheetFile.empty()) {
            standin.addWorkers(workerCount);
        } else {
            standin.addWorkers(readSheet(readFile(sheetFile), sheetFile));
        }
        if (!vmFile.empty()) {
            standin.addExecutors(json::parse(readFile(vmFile)).at("vms"));
        }
        standin.listen();
        GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    } catch (const error &fault) {
        std::cerr << "standin-deployment: " << fault.what() << '\n';
        return 1;
    }
    return 0;
}
