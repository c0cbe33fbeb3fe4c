#include "configuration/sheet.h"
#include "core/error.h"
#include "core/read_file.h"
#include "io/http_client.h"
#include "io/timer.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <functional>
#include <glib.h>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <ranges>
#include <set>

/**
 * The load of the demo: loads the sheet as an operator, sends demands and bookings through all entry daemons as
 * callers, and checks that each of them has an outcome.
 */
namespace
{

using namespace primrosecroft;
using namespace std::chrono_literals;

constexpr int demandCount = 60;
constexpr int bookingCount = 2'000;
constexpr int maxOpenBookings = 40;
constexpr auto readyTimeout = 40s;
constexpr auto placementTimeout = 45s;
constexpr auto pollInterval = 250ms;

struct entry_vm
{
    std::string url;
    std::string failureDomain;
};

struct demand_record
{
    std::string key;
    std::string body; ///< empty for a demand of the sheet
    std::string kind;
    std::string state = "sent";
    std::string home;
    bool isRefused = false;
    std::set<std::string> workers;
    std::size_t tasks = 0;
    std::size_t running = 0;
};

demand_record makeRecord(const std::string &key, const std::string &body, const std::string &kind)
{
    demand_record record;
    record.key = key;
    record.body = body;
    record.kind = kind;
    return record;
}

struct booking_counts
{
    int answered = 0;
    int refused = 0;
    int unknown = 0;
    int lost = 0; ///< without an answer, or with an answer that names no known outcome
    int wrong = 0; ///< answered with the result of another booking
};

std::vector<entry_vm> readEntries(const std::string &path)
{
    std::vector<entry_vm> result;
    const auto vms = nlohmann::json::parse(readFile(path)).at("vms");
    for (const auto &vm : vms) {
        if (vm.at("role") == "entry") {
            result.push_back(
                {"http://" + vm.at("address").get<std::string>() + ':' + std::to_string(vm.at("port").get<int>()),
                 vm.at("failureDomain").get<std::string>()});
        }
    }
    return result;
}

/// Runs the main loop until @p done returns true or @p limit has passed.
void runUntil(const std::function<bool()> &done, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    timer wakeTimer;
    wakeTimer.every(10ms, [] { });
    while (!done() && std::chrono::steady_clock::now() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
}

/// Returns std::nullopt if no response came in time.
std::optional<http_response> callAndWait(http_client &http, const http_call &call)
{
    std::optional<http_outcome> outcome;
    http.call(call, [&outcome](http_outcome result) { outcome = std::move(result); });
    runUntil([&outcome] { return outcome.has_value(); }, call.timeout + 1s);
    if (!outcome || !std::holds_alternative<http_response>(*outcome)) {
        return std::nullopt;
    }
    return std::get<http_response>(*outcome);
}

/// Returns a text field of a JSON body, empty if there is none.
std::string fieldOf(const std::string &body, const char *name)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed.value(name, std::string()) : std::string();
}

class demo_load
{
public:
    demo_load(std::vector<entry_vm> entries, std::string sheetText)
        : m_entries(std::move(entries))
        , m_sheetText(std::move(sheetText))
        , m_sheet(readSheet(m_sheetText, "sheet"))
    {
    }

    int run()
    {
        const auto started = std::chrono::steady_clock::now();
        if (!waitUntilReady() || !loadSheet()) {
            return 1;
        }
        makeDemands();
        submitDemands();
        sendBookings();
        waitUntilPlaced();
        cancelServices();
        printTable();
        return printSummary(started);
    }

private:
    /// Takes the entry daemons in turn.
    const std::string &entryUrl(std::size_t turn) const
    {
        return m_entries.at(turn % m_entries.size()).url;
    }

    bool waitUntilReady()
    {
        const auto limit = std::chrono::steady_clock::now() + readyTimeout;
        for (const auto &entry : m_entries) {
            for (;;) {
                const auto answer = callAndWait(m_http, {"GET", entry.url + "/readyz", {}, {}, {}, 1s, false});
                if (answer && answer->status == 200) {
                    break;
                }
                if (std::chrono::steady_clock::now() > limit) {
                    std::cerr << "not ready: " << entry.url << '\n';
                    return false;
                }
                runUntil([] { return false; }, pollInterval);
            }
        }
        std::cout << "all " << m_entries.size() << " entry VMs are ready\n";
        return true;
    }

    bool loadSheet()
    {
        const auto answer = callAndWait(
            m_http,
            {"PUT", entryUrl(0) + "/v1/sheet", {{"If-Match", "\"0\""}}, m_sheetText, "application/yaml", 5s, false});
        if (!answer || answer->status != 200) {
            std::cerr << "the sheet was not loaded: " << (answer ? answer->body : "no answer") << '\n';
            return false;
        }
        const auto loadedAt = std::chrono::steady_clock::now();
        const auto isInForceEverywhere = [this] {
            return std::ranges::all_of(m_entries, [this](const entry_vm &entry) {
                const auto status = callAndWait(m_http, {"GET", entry.url + "/v1/status", {}, {}, {}, 1s, false});
                return status && nlohmann::json::parse(status->body).value("configurationVersion", 0) >= 1;
            });
        };
        while (!isInForceEverywhere() && std::chrono::steady_clock::now() < loadedAt + readyTimeout) {
            runUntil([] { return false; }, 50ms);
        }
        std::cout << "sheet " << m_sheet.name << " is in force at every entry VM after "
                  << std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - loadedAt)
                         .count()
                  << " ms\n";
        return true;
    }

    void makeDemands()
    {
        for (const auto &[name, spec] : m_sheet.demands) {
            m_demands.push_back(makeRecord(sheetDemandKey(m_sheet, name), "", toString(spec.kind)));
        }
        for (const auto turn : std::views::iota(0, demandCount)) {
            static constexpr std::array kinds {"batch", "service", "gang"};
            const std::string kind = kinds.at(static_cast<std::size_t>(turn) % kinds.size());
            nlohmann::json body {{"kind", kind},
                                 {"team", "yard-" + std::to_string(turn % 5)},
                                 {"tasks", 1 + turn % 7},
                                 {"cores", 0.5 + turn % 4},
                                 {"memory", std::to_string(512 * (1 + turn % 6)) + "MiB"}};
            if (kind != "service") {
                body["runTime"] = std::to_string(500 + 100 * (turn % 20)) + "ms";
            }
            if (turn % 10 == 9) {
                body["repeatable"] = kind == "service";
                body["priority"] = "urgent";
            }
            m_demands.push_back(makeRecord("demo-" + std::to_string(turn), body.dump(), kind));
        }
        // No worker is large enough for this one, so it has to be refused.
        m_demands.push_back(makeRecord(
            "demo-giant", R"({"kind":"batch","team":"yard-0","tasks":1,"cores":64,"memory":"1GiB"})", "batch"));
    }

    void submitDemands()
    {
        std::size_t open = 0;
        for (auto &demand : m_demands) {
            if (demand.body.empty()) {
                demand.state = "accepted"; // accepted with the sheet
                continue;
            }
            ++open;
            const auto turn = static_cast<std::size_t>(&demand - m_demands.data());
            const http_call call {"POST",
                                  entryUrl(turn) + "/v1/demands",
                                  {{"Idempotency-Key", demand.key}},
                                  demand.body,
                                  "application/json",
                                  10s,
                                  false};
            m_http.call(call, [&demand, &open](const http_outcome &outcome) {
                --open;
                const auto *answer = std::get_if<http_response>(&outcome);
                demand.state = answer == nullptr ? "lost" : fieldOf(answer->body, "outcome");
                demand.isRefused = demand.state == "refused";
            });
        }
        runUntil([&open] { return open == 0; }, 15s);
        const auto accepted = std::ranges::count(m_demands, "accepted", &demand_record::state);
        std::cout << "demands: " << accepted << " of " << m_demands.size() << " accepted\n";
    }

    void sendBooking(int number, int &open)
    {
        const auto id = "booking-" + std::to_string(number);
        const auto repeatable = number % 4 != 0;
        http_call call {repeatable ? "GET" : "POST",
                        entryUrl(static_cast<std::size_t>(number)) + "/booking/slots",
                        {{"Booking-Id", id}},
                        repeatable ? "" : R"({"slot":"09:30"})",
                        "application/json",
                        10s,
                        false};
        m_http.call(call, [this, id, &open](const http_outcome &outcome) {
            --open;
            const auto *answer = std::get_if<http_response>(&outcome);
            if (answer == nullptr) {
                ++m_bookings.lost;
                return;
            }
            const auto outcomeName = fieldOf(answer->body, "outcome");
            if (answer->status == 200) {
                ++m_bookings.answered;
                m_bookings.wrong += fieldOf(answer->body, "booked") == id ? 0 : 1;
            } else if (outcomeName == "refused") {
                ++m_bookings.refused;
            } else if (outcomeName == "unknown") {
                ++m_bookings.unknown;
            } else {
                ++m_bookings.lost;
            }
        });
    }

    void sendBookings()
    {
        int open = 0;
        for (const auto number : std::views::iota(0, bookingCount)) {
            ++open;
            sendBooking(number, open);
            runUntil([&open] { return open < maxOpenBookings; }, 15s);
            if ((number + 1) % 500 == 0) {
                std::cout << "bookings: " << number + 1 << " of " << bookingCount << " sent, " << m_bookings.answered
                          << " answered" << '\n'
                          << std::flush;
            }
        }
        runUntil([&open] { return open == 0; }, 15s);
        m_bookings.lost += open;
    }

    void poll(demand_record &demand, std::size_t turn)
    {
        const auto answer =
            callAndWait(m_http, {"GET", entryUrl(turn) + "/v1/demands/" + demand.key, {}, {}, {}, 5s, false});
        if (!answer || answer->status != 200) {
            return;
        }
        const auto body = nlohmann::json::parse(answer->body);
        demand.state = body.value("state", "");
        demand.home = body.value("home", "");
        demand.tasks = body.at("demand").at("tasks").get<std::size_t>();
        demand.running = 0;
        for (const auto &task : body.value("tasks", nlohmann::json::array())) {
            if (task.at("state") == "running") {
                ++demand.running;
                demand.workers.insert(task.at("worker").get<std::string>());
            }
        }
    }

    /// Returns true if a demand is done, or is a service all of whose tasks run.
    static bool isPlaced(const demand_record &demand)
    {
        return demand.state == "done"
            || (demand.tasks > 0 && demand.running == demand.tasks && demand.kind == "service");
    }

    void waitUntilPlaced()
    {
        const auto limit = std::chrono::steady_clock::now() + placementTimeout;
        std::size_t placed = 0;
        do {
            placed = 0;
            std::size_t turn = 0;
            for (auto &demand : m_demands) {
                if (!demand.isRefused && !isPlaced(demand)) {
                    poll(demand, ++turn);
                }
                placed += isPlaced(demand) ? 1 : 0;
            }
            std::cout << "placed: " << placed << " of " << m_demands.size() << '\n' << std::flush;
            runUntil([] { return false; }, pollInterval);
        } while (placed + refusedCount() < m_demands.size() && std::chrono::steady_clock::now() < limit);
    }

    std::size_t refusedCount() const
    {
        return static_cast<std::size_t>(std::ranges::count(m_demands, true, &demand_record::isRefused));
    }

    void cancelServices()
    {
        int cancelled = 0;
        for (const auto &demand : m_demands) {
            if (demand.kind == "service" && demand.body.empty()) {
                continue; // the sheet's services keep running
            }
            if (demand.kind == "service" && !demand.isRefused) {
                const auto answer =
                    callAndWait(m_http, {"DELETE", entryUrl(0) + "/v1/demands/" + demand.key, {}, {}, {}, 5s, false});
                cancelled += answer && answer->status == 200 ? 1 : 0;
            }
        }
        std::cout << "cancelled " << cancelled << " services\n";
    }

    void printTable() const
    {
        struct table_row
        {
            int demands = 0;
            std::size_t running = 0;
            std::set<std::string> workers;
        };
        std::map<std::string, table_row> rows;
        for (const auto &demand : m_demands) {
            if (!demand.isRefused) {
                auto &row = rows[demand.home + ' ' + demand.kind];
                ++row.demands;
                row.running += demand.running;
                row.workers.insert(demand.workers.begin(), demand.workers.end());
            }
        }
        std::cout << "home and kind           demands  running  workers\n";
        for (const auto &[name, each] : rows) {
            std::cout << name << std::string(name.size() < 24 ? 24 - name.size() : 1, ' ') << each.demands << "        "
                      << each.running << "        " << each.workers.size() << '\n';
        }
    }

    int printSummary(std::chrono::steady_clock::time_point started) const
    {
        const auto accepted = static_cast<std::size_t>(
            std::ranges::count_if(m_demands, [](const demand_record &demand) { return !demand.isRefused; }));
        const auto placed = static_cast<std::size_t>(std::ranges::count_if(m_demands, isPlaced));
        const auto lost = static_cast<std::size_t>(m_bookings.lost + m_bookings.wrong) + (accepted - placed);
        for (const auto &demand : m_demands) {
            if (!demand.isRefused && !isPlaced(demand)) {
                std::cout << "not placed: " << demand.key << ' ' << demand.kind << ' ' << demand.state << ' '
                          << demand.running << '/' << demand.tasks << '\n';
            }
        }
        std::cout
            << "refused: " << refusedCount() << " demands, " << m_bookings.refused << " bookings; took "
            << std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - started).count()
            << " s\n";
        std::cout << "demo: " << accepted << " accepted, " << placed << " placed, " << m_bookings.answered
                  << " requests answered, " << m_bookings.unknown << " unknown, " << lost << " lost\n";
        return lost == 0 && placed == accepted ? 0 : 1;
    }

    std::vector<entry_vm> m_entries;
    std::string m_sheetText;
    planning_sheet m_sheet;
    http_client m_http {64};
    std::vector<demand_record> m_demands;
    booking_counts m_bookings;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Sends the demands and bookings of the demo and checks their outcomes.");
    std::string vms;
    std::string sheet;
    app.add_option("--vms", vms)->required();
    app.add_option("--sheet", sheet)->required();
    CLI11_PARSE(app, argc, argv);
    try {
        return demo_load(readEntries(vms), readFile(sheet)).run();
    } catch (const std::exception &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}
