#include "callers.h"
#include "core/clock.h"
#include "core/error.h"
#include "fleet.h"
#include "io/timer.h"
#include "platform/wire.h"
#include "store_doors.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <glib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>

/**
 * Runs cell daemons as processes against emulated workers and an emulated store, under faults that its seed draws, and
 * judges what workers and callers saw. The same seed repeats the plan of faults; the timing of real processes differs.
 */
using namespace primrosecroft;
using namespace primrosecroft::soak;
using namespace std::chrono_literals;
using json = nlohmann::json;

namespace
{

constexpr auto tickInterval = 5ms;
constexpr auto readinessInterval = 1'000ms;
constexpr auto longestStart = 20'000ms;
constexpr auto finishTime = 14'000ms; ///< after the last fault, until which each job ends
constexpr auto longestChain = 9'500ms; ///< of a job's work, with a run that fails
constexpr auto lastingTime = 12'000ms; ///< after the last fault, until which each task that lasts runs
constexpr auto notingTime = 2'000ms; ///< in which an end is taken note of in calm

struct options
{
    std::string site = "small";
    std::uint64_t seed = 1;
    std::string celld;
    std::string network = "127.130";
    std::string folder;
    bool isCalm = false;
};

struct soak_run
{
    explicit soak_run(const options &settings)
        : site(siteNamed(settings.site))
        , plan(planFaults(settings.seed, site))
        , doors(site, calls, store, settings.seed)
        , processes({site, settings.network, settings.celld, settings.folder, calls})
        , workers({site, settings.network, boundsOf(settings), calls, store, advice, start,
                   [this](row_version token) { return processes.nameOf(doors.ownerOf(token)); }},
                  settings.seed)
        , people({site, processes, doors, calls, start}, settings.seed)
    {
        if (settings.isCalm) {
            plan.faults.clear();
            plan.calmAt = site.warmUp + site.faultTime;
        }
        doors.listen(settings.network);
        adviceServer.listen(settings.network + ".0.2", 7702);
        putConfiguration();
        workers.announce();
    }

    executor_bounds boundsOf(const options &settings) const
    {
        auto result = site.bounds;
        result.forgetsUpToHighest = planFaults(settings.seed, site).forgetsUpToHighest;
        return result;
    }

    void putConfiguration()
    {
        const json route {{"name", "q"},   {"host", "jobs.example"}, {"pathPrefix", "/q/"},  {"service", "pool"},
                          {"priority", 0}, {"maxAttempts", 3},       {"stretchFactor", 1.5}, {"targetLatencyMs", 500}};
        auto advised = route;
        advised["name"] = "advised";
        advised["pathPrefix"] = "/advised/";
        advised["advice"] = {
            {"decideMs", 20.0}, {"periodMs", 0.3}, {"validMs", standins::advice_server::ticketValidity.count()}};
        const json configuration {{"version", 1}, {"routes", {route, advised}}, {"services", json::array()}};
        store.store.put({platform::configurationTable, "", platform::configurationKey}, configuration.dump());
    }

    milliseconds now() const
    {
        return std::chrono::duration_cast<milliseconds>(bootNow() - start);
    }

    void run()
    {
        processes.startAll();
        ticks.every(tickInterval, [this] { tick(); });
        readiness.every(readinessInterval, [this] { processes.pollReadiness(readinessClient); });
        g_main_loop_run(loop);
        g_main_loop_unref(loop);
    }

    void tick()
    {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(bootNow() - ticked);
        ticked += elapsed;
        longestTick = std::max(longestTick, elapsed);
        store.store.now += elapsed;
        workers.advance();
        workers.announce();
        calls.serve(bootNow());
        processes.supervise();
        if (!trafficFrom && (processes.areAllReady() || now() > longestStart)) {
            trafficFrom = now();
        }
        if (!trafficFrom) {
            return;
        }
        const auto since = now() - *trafficFrom;
        for (; nextFault < plan.faults.size() && plan.faults[nextFault].at <= since; ++nextFault) {
            begin(plan.faults[nextFault]);
        }
        people.act(since < plan.calmAt);
        const auto finish = plan.calmAt + std::max(finishTime, site.bounds.maxLease + longestChain);
        isOver = since >= finish || (since >= plan.calmAt + lastingTime && people.haveAllEnded());
        if (isOver) {
            g_main_loop_quit(loop);
        }
    }

    void begin(const fault &what)
    {
        auto targets = what.targets;
        if (what.hitsOwner && doors.owner() >= 0 && std::ranges::find(targets, doors.owner()) == targets.end()) {
            targets.front() = doors.owner();
        }
        if (what.followsTask) {
            const auto followed = workers.followTask();
            if (!followed) {
                return;
            }
            targets.front() = *followed;
        }
        log(what, targets);
        if (what.kind == fault_kind::pauseDaemons || what.kind == fault_kind::killDaemons
            || what.kind == fault_kind::terminateDaemons) {
            processes.begin(what, targets);
            return;
        }
        workers.begin(what, targets);
        doors.begin(what, targets);
    }

    void log(const fault &what, const std::vector<int> &targets)
    {
        faultLog += std::to_string(now().count()) + ' ' + std::to_string(timeOfDay().count()) + ' '
            + toString(what.kind) + " for " + std::to_string(what.duration.count()) + " manner "
            + std::to_string(static_cast<int>(what.manner)) + " side " + std::to_string(what.side.value_or(-1))
            + " owner " + processes.nameOf(doors.owner()) + " targets";
        for (const auto target : targets) {
            faultLog += ' ' + std::to_string(target);
        }
        faultLog += '\n';
    }

    std::vector<finding> judge() const
    {
        const judged_soak judged {workers.runs(), people.jobs(), now(), isOver};
        auto result = findSecondRuns(judged.runs);
        const auto add = [&result](const std::vector<finding> &more) {
            result.insert(result.end(), more.begin(), more.end());
        };
        add(findUnfinishedJobs(judged));
        add(findUnnotedEnds(judged, workers.boots(), now() - notingTime));
        add(people.findings());
        for (const auto &each : processes.unexpectedEnds()) {
            result.push_back({"Fault", each, false});
        }
        return result;
    }

    soak_site site;
    fault_plan plan;
    instant start = bootNow();
    standins::waiting_calls calls;
    standins::store_server store {calls};
    standins::advice_server advice {calls};
    http_server adviceServer {{}, [this](const std::shared_ptr<http_request> &request) { advice.serve(request); }};
    store_doors doors;
    daemons processes;
    fleet workers;
    callers people;
    http_client readinessClient {2};
    timer ticks;
    timer readiness;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    instant ticked = bootNow();
    milliseconds longestTick {0};
    std::optional<milliseconds> trafficFrom;
    std::size_t nextFault = 0;
    bool isOver = false;
    std::string faultLog;
};

int report(const soak_run &run, const options &settings)
{
    const auto findings = run.judge();
    std::map<std::string, int> broken;
    std::map<std::string, int> marked;
    for (const auto &each : findings) {
        const auto examples = ++(each.isMarked ? marked : broken)[each.rule];
        if (examples <= 20) {
            std::cout << (each.isMarked ? "marked " : "BROKEN ") << each.rule << ' ' << each.text << '\n';
        }
    }
    const auto text = [](const std::map<std::string, int> &counts) {
        return std::accumulate(counts.begin(), counts.end(), std::string(),
                               [](const std::string &sum, const auto &each) {
                                   return sum + ' ' + each.first + ' ' + std::to_string(each.second);
                               });
    };
    std::cout << "seed " << settings.seed << " site " << settings.site << " faults " << run.plan.faults.size()
              << " forgets-up-to-highest " << run.plan.forgetsUpToHighest << ": "
              << (broken.empty() ? "ok" : "broken" + text(broken)) << "; marked"
              << (marked.empty() ? " none" : text(marked)) << "; " << run.people.summary() << "; runs "
              << run.workers.runs().size() << " longest tick " << run.longestTick.count() << " ms, "
              << run.now().count() / 1'000 << " s\n";
    if (!broken.empty() || !marked.empty()) {
        std::ofstream(settings.folder + "/faults.txt") << run.faultLog;
        std::ofstream runs(settings.folder + "/runs.txt");
        std::ranges::for_each(run.workers.runs(), [&runs](const run_record &each) { runs << describe(each) << '\n'; });
    }
    return broken.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App program("Soaks cell daemons with faults from outside.", "soak");
    options settings;
    program.add_option("--site", settings.site, "small, kjaer-plan or okalift-ops-grown.");
    program.add_option("--seed", settings.seed, "Draws the faults and the traffic.");
    program.add_option("--celld", settings.celld, "The cell daemon's program.")->required()->check(CLI::ExistingFile);
    program.add_option("--net", settings.network, "First two numbers of the addresses.");
    program.add_option("--logs", settings.folder, "Folder for settings and logs; kept if a rule is broken.")
        ->required();
    program.add_flag("--calm", settings.isCalm, "Without any fault.");
    CLI11_PARSE(program, argc, argv);
    try {
        settings.folder += '/' + settings.site + '-' + std::to_string(settings.seed);
        std::filesystem::remove_all(settings.folder);
        std::filesystem::create_directories(settings.folder);
        soak_run run(settings);
        run.run();
        const auto status = report(run, settings);
        if (status == 0) {
            std::filesystem::remove_all(settings.folder);
        }
        return status;
    } catch (const error &fault) {
        std::cerr << "soak: " << fault.what() << '\n';
        return 2;
    }
}
