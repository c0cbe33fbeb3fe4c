#include "advice_server.h"
#include "core/clock.h"
#include "core/error.h"
#include "executor_emulator.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/timer.h"
#include "platform/wire.h"
#include "store_server.h"
#include "worker_server.h"

#include <csignal>
#include <fstream>
#include <functional>
#include <glib.h>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

/**
 * The users' platform, their executors, a caller and a judge in one process, on loopback addresses and the real clock.
 * Each script of review/6 to review/10 plays one scenario of it beside daemons that it has started itself. What is
 * sent, answered and run goes to a record; the exit status is 1 if the rule was broken, 0 if it held, and 2 if the case
 * couldn't run.
 */
using namespace primrosecroft;
using namespace std::chrono_literals;
using json = nlohmann::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint16_t storePort = 7701;
constexpr std::uint16_t advicePort = 7702;
constexpr std::uint16_t workerPort = 7500;
constexpr std::uint16_t callerPort = 8161;
constexpr std::uint16_t readinessPort = 8167;
constexpr std::uint16_t metricsPort = 9464;
constexpr auto heartbeat = 1'500ms; ///< `heartbeatMs` of the settings
constexpr auto entryLifetime = 3 * heartbeat; ///< an entry is removed after three intervals of silence
constexpr const char *pool = "returns-desk";
constexpr const char *host = "nony24.example";

struct could_not_run
{
    std::string reason;
};

/// A daemon that the script has started.
struct cell_process
{
    std::string ip;
    pid_t process = 0;
};

/// An executor and its state besides what the emulator holds.
struct executor
{
    executor_emulator emulator;
    std::unique_ptr<http_server> server; ///< nullptr while its process is down
    bool isGone = false;
    instant lastSeen; ///< when it last wrote its entry
    instant removedAt; ///< of a draining one, when it leaves; zero if it doesn't
};

class platform_process
{
public:
    platform_process(std::string prefix, std::vector<cell_process> processes, const std::string &record)
        : network(std::move(prefix))
        , daemons(std::move(processes))
        , m_record(record, std::ios::app)
        , m_recordFile(record)
        , m_startedAt(bootNow())
    {
    }

    // --- record

    void note(const std::string &text)
    {
        const auto at = std::chrono::duration_cast<milliseconds>(bootNow() - m_startedAt).count();
        std::array<char, 32> stamp {};
        g_snprintf(stamp.data(), stamp.size(), "%8.3f s  ", static_cast<double>(at) / 1'000);
        m_record << stamp.data() << text << std::endl;
    }

    // --- set-up

    /// Adds @p count executors of that size. @p label is the first label of each, its kind.
    void addExecutors(int count, const resources &size, const std::string &label = "a")
    {
        for (int i = 0; i < count; ++i) {
            const auto number = executors.size() + 1;
            worker_description description;
            description.id = "ex-" + std::to_string(number);
            description.boot = timeOfDay().count();
            description.address = network + ".2." + std::to_string(number) + ':' + std::to_string(workerPort);
            description.pool = pool;
            description.failureDomain = "grangemouth";
            description.labels = {label, "r1-" + std::to_string(1 + (number - 1) / 8)};
            description.capacity = size;
            executors.push_back(std::make_unique<executor>(executor {executor_emulator(description, 1.0), {}, false, {}, {}}));
            executors.back()->emulator.isGangPresent = [this](const run_id &run) {
                const auto size = m_gangSizes.find(run.task.job);
                return size != m_gangSizes.end() && membersOf(run.task.job, run.attempt).size() >= size->second;
            };
        }
    }

    void listen()
    {
        m_servers.push_back(std::make_unique<http_server>(
            http_server_limits {}, [this](const auto &request) { m_storeServer.serve(request); }));
        m_servers.back()->listen(network + ".0.1", storePort);
        m_servers.push_back(std::make_unique<http_server>(
            http_server_limits {}, [this](const auto &request) { m_advice.serve(request); }));
        m_servers.back()->listen(network + ".0.2", advicePort);
        for (std::size_t i = 0; i < executors.size(); ++i) {
            listenAt(i);
        }
        json routes = json::array();
        // Priorities, attempts, stretch and targets as in the site's queues.
        routes.push_back(route("collection", 0, 4, 1.5, 500));
        routes.push_back(route("wash", 2, 2, 2.2, 1'200));
        routes.push_back(route("watch", 1, 3, 2.2, 3'000));
        store().put({platform::configurationTable, "", platform::configurationKey},
                    json {{"version", 1},
                          {"routes", routes},
                          {"services", json::array({json {{"name", pool}, {"rejectsOverload", false}}})},
                          {"limits", json {{"maxBodyBytes", 262'144}}}}
                        .dump());
        m_tick.every(10ms, [this] { advance(); });
        m_announcing.every(heartbeat, [this] { announce(); });
        announce();
    }

    store_emulator &store()
    {
        return m_storeServer.store;
    }

    // --- faults

    /// Ends the executor's process: all that runs there is gone, and its port refuses connections. It starts again
    /// under its id after @p downFor, or never. If not @p registersAtOnce, it writes its entry at its next heartbeat.
    void crash(std::size_t index, std::optional<milliseconds> downFor, bool registersAtOnce = true)
    {
        auto &target = *executors.at(index);
        note("DISRUPTION executor " + idOf(index) + " crashes with "
             + std::to_string(target.emulator.running().size()) + " runs"
             + (downFor ? ", down for " + std::to_string(downFor->count()) + " ms" : ", for good"));
        target.server.reset();
        target.isGone = true;
        target.emulator.reboot(target.emulator.description().boot); // forgets all
        if (downFor) {
            pump(*downFor);
            target.emulator.reboot(timeOfDay().count());
            target.isGone = false;
            listenAt(index);
            if (registersAtOnce) {
                writeEntry(target);
            }
            note("executor " + idOf(index) + " is back");
        }
    }

    /// An executor reports that it drains, with @p remaining until it leaves.
    void drain(std::size_t index, milliseconds remaining)
    {
        auto &target = *executors.at(index);
        note("PLANNED executor " + idOf(index) + " drains and leaves in " + std::to_string(remaining.count()) + " ms");
        target.emulator.description().isDraining = true;
        target.emulator.description().remaining = remaining;
        target.removedAt = bootNow() + remaining;
        writeEntry(target);
    }

    /// A run ends through its own fault.
    void failRun(std::size_t index, const run_id &run)
    {
        executors.at(index)->emulator.end(run, run_end::failed);
        note("the run " + textOf(run) + " on " + idOf(index) + " ends failed, through its own fault");
        logEnds();
    }

    void signal(std::size_t index, int number, const std::string &what)
    {
        note("DISRUPTION " + what + " the daemon at " + daemons.at(index).ip);
        ::kill(daemons.at(index).process, number);
    }

    /// SIGTERM to the daemon that owns the shard. It isn't called any more.
    void stopOwner()
    {
        const auto owner = ownerIndex();
        if (!owner) {
            throw could_not_run {"no daemon is the owner"};
        }
        note("PLANNED SIGTERM to the daemon at " + daemons[*owner].ip + ", which owns the shard");
        ::kill(daemons[*owner].process, SIGTERM);
        daemons[*owner].process = 0;
    }

    // --- callers

    struct reply
    {
        unsigned status = 0; ///< 0 for none
        std::string body;
    };

    /// One call to the daemon.
    reply call(const std::string &ip, const std::string &method, const std::string &path, const std::string &body = {})
    {
        http_call request;
        request.method = method;
        request.url = "http://" + ip + ':' + std::to_string(callerPort) + path;
        request.headers = {{"Host", host}, {"Deadline-Ms", "3000"}};
        request.body = body;
        request.timeout = 3'000ms;
        reply result;
        bool isOver = false;
        m_client.call(request, [&](const http_outcome &outcome) {
            if (const auto *answer = std::get_if<http_response>(&outcome)) {
                result = {answer->status, answer->body};
            }
            isOver = true;
        });
        until([&] { return isOver; }, 5'000ms);
        return result;
    }

    /// Calls the daemons in turn until one answers with anything but 429, 502, 503, 504 or silence.
    reply callAny(const std::string &method, const std::string &path, const std::string &body = {})
    {
        for (int attempt = 0; attempt < 8; ++attempt) {
            const auto &target = daemons[m_nextDaemon++ % daemons.size()];
            if (target.process == 0) {
                continue;
            }
            const auto answer = call(target.ip, method, path, body);
            note(method + ' ' + path + (body.empty() ? "" : ' ' + body) + " to " + target.ip + " -> "
                 + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + ' ' + answer.body));
            if (answer.status != 0 && answer.status != 429 && answer.status < 500) {
                return answer;
            }
            pump(300ms);
        }
        return {};
    }

    void submit(const std::string &queue, const std::string &id, const json &body)
    {
        if (callAny("POST", '/' + queue + '/' + id, body.dump()).status != statusOk) {
            throw could_not_run {"job " + id + " wasn't accepted"};
        }
    }

    /// Submits jobs, @p atOnce at a time, each until it is accepted. Returns how many are.
    std::size_t submitAll(const std::string &queue, const std::vector<std::pair<std::string, std::string>> &jobs,
                          std::size_t atOnce, milliseconds limit)
    {
        std::size_t next = 0;
        std::size_t open = 0;
        std::size_t accepted = 0;
        std::function<void(std::size_t)> send = [&](std::size_t index) {
            http_call request;
            request.method = "POST";
            request.url = "http://" + daemons[m_nextDaemon++ % daemons.size()].ip + ':' + std::to_string(callerPort) + '/'
                + queue + '/' + jobs[index].first;
            request.headers = {{"Host", host}, {"Deadline-Ms", "3000"}};
            request.body = jobs[index].second;
            request.timeout = 3'000ms;
            m_client.call(request, [&, index](const http_outcome &outcome) {
                const auto *answer = std::get_if<http_response>(&outcome);
                if (answer != nullptr && answer->status == statusOk) {
                    ++accepted;
                    --open;
                } else {
                    send(index);
                }
            });
        };
        until(
            [&] {
                while (open < atOnce && next < jobs.size()) {
                    ++open;
                    send(next++);
                }
                return accepted == jobs.size();
            },
            limit);
        note(std::to_string(accepted) + " jobs of queue " + queue + " accepted, from " + jobs.front().first + " to "
             + jobs.back().first);
        if (accepted != jobs.size()) {
            throw could_not_run {"not all jobs were accepted"};
        }
        return accepted;
    }

    std::string stateOf(const std::string &queue, const std::string &id)
    {
        const auto answer = callAny("GET", '/' + queue + '/' + id);
        const auto parsed = json::parse(answer.body, nullptr, false);
        return answer.status == statusOk && parsed.is_object() ? parsed.value("state", "") : "";
    }

    // --- what the executors see

    /// The runs of a job that are active, with the index of the executor.
    std::vector<std::pair<std::size_t, run_id>> runsOf(const std::string &job) const
    {
        std::vector<std::pair<std::size_t, run_id>> result;
        for (std::size_t i = 0; i < executors.size(); ++i) {
            for (const auto &run : executors[i]->emulator.running()) {
                if (run.task.job == job) {
                    result.emplace_back(i, run);
                }
            }
        }
        return result;
    }

    std::optional<std::pair<std::size_t, run_id>> runOf(const std::string &job, int index) const
    {
        for (const auto &each : runsOf(job)) {
            if (each.second.task.index == index) {
                return each;
            }
        }
        return std::nullopt;
    }

    int failedEnds(const std::string &job) const
    {
        const auto found = m_failedEnds.find(job);
        return found == m_failedEnds.end() ? 0 : found->second;
    }

    /// Cores in use and offered by the executors that are up and not draining, in thousandths, by the sizes of jobs.
    std::pair<std::int64_t, std::int64_t> cores(const std::map<std::string, std::int64_t> &coresOfJob) const
    {
        std::pair<std::int64_t, std::int64_t> result {0, 0};
        for (const auto &each : executors) {
            if (each->isGone || each->emulator.description().isDraining) {
                continue;
            }
            result.second += each->emulator.description().capacity.milliCores;
            for (const auto &run : each->emulator.running()) {
                result.first += coresOfJob.at(run.task.job);
            }
        }
        return result;
    }

    /// How often each daemon has ended by itself, by its number, as the script has written it into the record.
    std::map<std::string, int> ownEnds() const
    {
        std::map<std::string, int> result;
        std::ifstream lines(m_recordFile);
        for (std::string line; std::getline(lines, line);) {
            if (const auto at = line.find("ENDED daemon "); at != std::string::npos) {
                ++result[line.substr(at + 13, line.find(' ', at + 13) - at - 13)];
            }
        }
        return result;
    }

    /// The jobs of which a task has started.
    std::size_t startedJobs() const
    {
        return m_started.size();
    }

    std::string idOf(std::size_t index) const
    {
        return executors.at(index)->emulator.description().id;
    }

    static std::string textOf(const run_id &run)
    {
        return platform::encodeTask(run.task) + " attempt " + std::to_string(run.attempt);
    }

    // --- time

    void pump(milliseconds span)
    {
        until([] { return false; }, span);
    }

    /// Runs the main loop until @p condition holds. Returns false if it doesn't within @p limit.
    bool until(const std::function<bool()> &condition, milliseconds limit)
    {
        const auto end = bootNow() + limit;
        timer wake;
        wake.every(10ms, [] { });
        while (!condition()) {
            if (bootNow() >= end) {
                return false;
            }
            g_main_context_iteration(nullptr, TRUE);
        }
        return true;
    }

    void require(const std::function<bool()> &condition, milliseconds limit, const std::string &what)
    {
        if (!until(condition, limit)) {
            throw could_not_run {"not within " + std::to_string(limit.count()) + " ms: " + what};
        }
    }

    void awaitDaemons()
    {
        const auto end = bootNow() + 20s;
        for (const auto &each : daemons) {
            while (get(each.ip, readinessPort, "/readyz").status != statusOk) {
                if (bootNow() > end) {
                    throw could_not_run {"the daemon at " + each.ip + " isn't ready"};
                }
                pump(100ms);
            }
        }
        while (!ownerIndex()) {
            if (bootNow() > end) {
                throw could_not_run {"no daemon is the owner"};
            }
            pump(100ms);
        }
        pump(3'000ms); // traffic starts some seconds after the machines do
        note("the daemons are ready, " + daemons[ownerIndex().value_or(0)].ip + " owns the shard");
    }

    std::optional<std::size_t> ownerIndex()
    {
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (daemons[i].process != 0
                && get(daemons[i].ip, metricsPort, "/metrics").body.find("\nprimrosecroft_owns 1") != std::string::npos) {
                return i;
            }
        }
        return std::nullopt;
    }

    std::string network;
    std::vector<cell_process> daemons;
    std::vector<std::unique_ptr<executor>> executors;
    std::map<std::string, std::size_t> lastStopAt; ///< the executor of the latest stop order that was obeyed, by job

private:
    static json route(const std::string &name, int priority, int attempts, double stretch, int target)
    {
        return {{"name", name},          {"host", host},           {"pathPrefix", '/' + name + '/'}, {"service", pool},
                {"priority", priority}, {"maxAttempts", attempts}, {"stretchFactor", stretch},
                {"targetLatencyMs", target}};
    }

    reply get(const std::string &ip, std::uint16_t port, const std::string &path)
    {
        http_call request;
        request.url = "http://" + ip + ':' + std::to_string(port) + path;
        request.timeout = 1'000ms;
        reply result;
        bool isOver = false;
        m_client.call(request, [&](const http_outcome &outcome) {
            if (const auto *answer = std::get_if<http_response>(&outcome)) {
                result = {answer->status, '\n' + answer->body};
            }
            isOver = true;
        });
        until([&] { return isOver; }, 2'000ms);
        return result;
    }

    void listenAt(std::size_t index)
    {
        auto &target = *executors[index];
        const auto &address = target.emulator.description().address;
        target.server = std::make_unique<http_server>(
            http_server_limits {}, [this, index](const auto &request) { serveExecutor(index, request); });
        target.server->listen(address.substr(0, address.find(':')), workerPort);
    }

    void serveExecutor(std::size_t index, const std::shared_ptr<http_request> &request)
    {
        standins::worker_server_hooks hooks;
        hooks.behaviourOf = [](const run_id &, const std::string &spec) {
            task_behaviour behaviour;
            behaviour.startUp = 300ms;
            behaviour.isService = spec.find("lasts") != std::string::npos;
            if (const auto at = spec.find("gang="); at != std::string::npos) {
                behaviour.gang = static_cast<std::uint32_t>(std::stoi(spec.substr(at + 5)));
            }
            if (const auto at = spec.find("work="); at != std::string::npos) {
                behaviour.work = milliseconds(std::stoi(spec.substr(at + 5)));
            }
            return behaviour;
        };
        hooks.started = [this, index](const run_id &run, row_version, bool isNew, const std::string &spec) {
            if (isNew) {
                m_started.insert(run.task.job);
                if (const auto at = spec.find("gang="); at != std::string::npos) {
                    m_gangSizes[run.task.job] = std::stoul(spec.substr(at + 5));
                }
                note("start of " + textOf(run) + " on " + idOf(index));
            }
        };
        hooks.stopped = [this, index](const run_id &run, row_version) {
            note("stop of " + textOf(run) + " on " + idOf(index));
            lastStopAt[run.task.job] = index;
        };
        hooks.answer = [](const std::shared_ptr<http_request> &order, const http_response &answer) {
            order->answer(answer);
        };
        standins::serveOrder(executors[index]->emulator, request, m_calls, hooks);
    }

    void advance()
    {
        const auto now = bootNow();
        const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_lastTick);
        m_lastTick += elapsed;
        store().now += elapsed;
        for (const auto &each : executors) {
            if (!each->isGone) {
                each->emulator.advance(elapsed);
            }
        }
        for (const auto &each : executors) {
            if (each->removedAt != instant {} && each->removedAt <= now && !each->isGone) {
                note("executor " + each->emulator.description().id + " has left");
                each->isGone = true;
                each->server.reset();
                store().remove({platform::workerTable, "", each->emulator.description().id});
                each->emulator.reboot(each->emulator.description().boot);
            }
            if (each->isGone && each->removedAt == instant {} && each->lastSeen != instant {}
                && each->lastSeen + entryLifetime <= now) {
                each->lastSeen = {};
                store().remove({platform::workerTable, "", each->emulator.description().id});
                note("the entry of " + each->emulator.description().id + " is removed after its silence");
            }
        }
        logEnds();
        endBrokenGangs();
        logEnds();
        m_calls.serve(now);
    }

    /// The present members of the gang in an attempt.
    std::vector<std::pair<std::size_t, run_id>> membersOf(const std::string &job, std::uint32_t attempt) const
    {
        auto result = runsOf(job);
        std::erase_if(result, [attempt](const auto &each) { return each.second.attempt != attempt; });
        return result;
    }

    /// Once all members of a gang have been present, the others end `broken` when one is gone.
    void endBrokenGangs()
    {
        for (const auto &[job, size] : m_gangSizes) {
            std::set<std::uint32_t> attempts;
            for (const auto &each : runsOf(job)) {
                attempts.insert(each.second.attempt);
            }
            for (const auto attempt : attempts) {
                const auto members = membersOf(job, attempt);
                if (members.size() >= size) {
                    m_completeGangs.insert({job, attempt});
                } else if (m_completeGangs.contains({job, attempt}) && !m_doneGangs.contains({job, attempt})) {
                    for (const auto &[at, run] : members) {
                        executors[at]->emulator.end(run, run_end::gangBroken);
                    }
                }
            }
        }
    }

    void logEnds()
    {
        static constexpr std::array names {"done", "failed", "stopped", "lapsed", "broken", "alone"};
        for (std::size_t i = 0; i < executors.size(); ++i) {
            const auto &ends = executors[i]->emulator.ends();
            for (auto &next = m_endsSeen[i]; next < ends.size(); ++next) {
                const auto &end = ends[next].end;
                note("end of " + textOf(end.run) + " on " + idOf(i) + ": " + names.at(static_cast<std::size_t>(end.how)));
                m_failedEnds[end.run.task.job] += end.how == run_end::failed ? 1 : 0;
                if (end.how == run_end::done) {
                    m_doneGangs.insert({end.run.task.job, end.run.attempt});
                }
            }
        }
    }

    void writeEntry(executor &target)
    {
        target.lastSeen = bootNow();
        auto entry = json::parse(standins::workerEntry(target.emulator.description(), ++m_entries));
        entry["version"] = "1";
        entry["slots"] = 8;
        entry["coldRemainingMs"] = 0;
        if (target.removedAt != instant {}) {
            entry["remainingMs"] = std::max<std::int64_t>(
                0, std::chrono::duration_cast<milliseconds>(target.removedAt - bootNow()).count());
        }
        store().put({platform::workerTable, "", target.emulator.description().id}, entry.dump());
    }

    void announce()
    {
        for (const auto &each : executors) {
            if (!each->isGone) {
                writeEntry(*each);
            }
        }
    }

    std::ofstream m_record;
    std::string m_recordFile;
    instant m_startedAt;
    instant m_lastTick = bootNow();
    standins::waiting_calls m_calls;
    standins::store_server m_storeServer {m_calls};
    standins::advice_server m_advice {m_calls};
    std::vector<std::unique_ptr<http_server>> m_servers;
    http_client m_client {64};
    timer m_tick;
    timer m_announcing;
    std::map<std::size_t, std::size_t> m_endsSeen;
    std::map<std::string, int> m_failedEnds;
    std::set<std::string> m_started; ///< jobs
    std::map<std::string, std::size_t> m_gangSizes; ///< by job
    std::set<std::pair<std::string, std::uint32_t>> m_completeGangs; ///< job and attempt of which all members were present
    std::set<std::pair<std::string, std::uint32_t>> m_doneGangs; ///< job and attempt
    std::int64_t m_entries = 0;
    std::size_t m_nextDaemon = 0;
};

json step(int count, int milliCores, int estimate)
{
    return {{"count", count}, {"cpu", milliCores}, {"memMb", 500}, {"estimateMs", estimate}};
}

json lasting(int count, int milliCores)
{
    auto result = step(count, milliCores, 500);
    result["longRunning"] = true;
    return result;
}

json jobOf(const std::string &spec, const json &phase)
{
    return {{"spec", spec}, {"phases", json::array({phase})}};
}

/// LOST, for a task that lasts: nothing runs for 3 s, from 6 s after its last run, while there is room. Returns whether
/// that is so. @p isRunning tells whether the task runs. Called when it has just ended.
bool staysAway(platform_process &cell, const std::function<bool()> &isRunning)
{
    if (cell.until(isRunning, 9'000ms)) {
        cell.note("the task runs again");
        return false;
    }
    cell.note("BROKEN: nothing runs for the task from 6 s to 9 s after its last run, while there is room");
    if (cell.until(isRunning, 20'000ms)) {
        cell.note("it runs again later");
    } else {
        cell.note("nor in the 20 s after that");
    }
    return true;
}

#include "scenarios.inc"

} // namespace

int main(int argc, char **argv)
{
    // review-platform NET RECORD SCENARIO TROUBLE IP=PID...
    if (argc < 6) {
        std::cerr << "usage: review-platform NET RECORD SCENARIO TROUBLE IP=PID...\n";
        return 2;
    }
    std::vector<cell_process> daemons;
    for (int i = 5; i < argc; ++i) {
        const std::string text = argv[i];
        const auto mark = text.find('=');
        daemons.push_back({text.substr(0, mark), static_cast<pid_t>(std::stol(text.substr(mark + 1)))});
    }
    try {
        platform_process cell(argv[1], std::move(daemons), argv[2]);
        const bool isTrouble = std::string(argv[4]) != "0";
        const auto found = scenarios().find(argv[3]);
        if (found == scenarios().end()) {
            return 2;
        }
        try {
            const bool isBroken = found->second(cell, isTrouble);
            cell.note(isBroken ? "RESULT the rule was broken" : "RESULT the rule held");
            return isBroken ? 1 : 0;
        } catch (const could_not_run &fault) {
            cell.note("RESULT the case couldn't run: " + fault.reason);
            std::cerr << "review-platform: " << fault.reason << '\n';
            return 2;
        }
    } catch (const std::exception &fault) {
        std::cerr << "review-platform: " << fault.what() << '\n';
        return 2;
    }
}
