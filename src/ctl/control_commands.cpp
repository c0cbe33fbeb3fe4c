#include "control_commands.h"

#include "configuration/sheet_change.h"
#include "control_call.h"
#include "core/error.h"
#include "core/read_file.h"
#include "io/glib_pointer.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <functional>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <ranges>

namespace primrosecroft
{

namespace
{

struct arguments
{
    std::string path; ///< of the file to read
    std::string name; ///< key of a demand, name of a worker or of a failure domain; empty: not given
    std::int64_t version = -1; ///< -1: not given
};

using command_action = std::function<int(const arguments &values)>;

/// Adds a subcommand. Its action runs once the whole command line has been parsed, and sets @p status.
CLI::App *addCommand(CLI::App &group, const std::string &name, const std::string &help, int &status,
                     const std::shared_ptr<arguments> &values, const command_action &action)
{
    auto *command = group.add_subcommand(name, help);
    command->final_callback([&status, values, action] { status = action(*values); });
    return command;
}

/// Percent-encodes a key or name for a path or query.
std::string escaped(const std::string &text)
{
    return text_pointer(g_uri_escape_string(text.c_str(), nullptr, FALSE)).get();
}

int refuseUnconfirmed(const std::string &what)
{
    std::cerr << what << "; nothing was done, give --yes to confirm\n";
    return exitNotConfirmed;
}

int printAnswer(const control_options &options, const http_response &answer)
{
    if (!isSuccess(answer)) {
        return reportFailure(options, answer);
    }
    std::cout << (options.asJson || !answer.body.starts_with('{') ? answer.body : parsedBody(answer).dump(2)) << '\n';
    return 0;
}

int loadSheet(const control_options &options, const arguments &values)
{
    const auto text = readFile(values.path);
    const auto newSheet = readSheet(text, values.path);
    auto against = fetchSheet(options);
    const auto changes = differences(against.sheet, newSheet);
    const auto removesWorkers = std::ranges::any_of(changes, [](const sheet_change &each) {
        return each.kind == change_kind::removed && each.what.starts_with("workers.");
    });
    if (removesWorkers && !options.isConfirmed) {
        printDifferences(options, against.sheet, newSheet);
        return refuseUnconfirmed("the sheet removes workers");
    }
    if (values.version >= 0) {
        against.version = values.version;
    }
    return putSheet(options, text, against);
}

int diffSheet(const control_options &options, const arguments &values)
{
    printDifferences(options, fetchSheet(options).sheet, readSheet(readFile(values.path), values.path));
    return 0;
}

int showSheet(const control_options &options, const arguments &values)
{
    const auto path =
        values.version < 0 ? std::string("/v1/sheet") : "/v1/sheet/versions/" + std::to_string(values.version);
    return printAnswer(options, callEntry(options, "GET", path));
}

int showHistory(const control_options &options, const arguments & /*values*/)
{
    const auto answer = callEntry(options, "GET", "/v1/sheet/history");
    if (!isSuccess(answer) || options.asJson) {
        return printAnswer(options, answer);
    }
    const auto body = parsedBody(answer);
    for (const auto &each : body.at("versions")) {
        std::cout << std::setw(6) << each.at("version").get<std::int64_t>() << "  "
                  << each.at("hash").get<std::string>().substr(0, 12) << "  " << each.at("writer").get<std::string>()
                  << '\n';
    }
    return 0;
}

int listDemands(const control_options &options, const arguments &values)
{
    auto all = nlohmann::json::array();
    const auto base =
        values.name.empty() ? std::string("/v1/demands?") : "/v1/demands?home=" + escaped(values.name) + '&';
    std::string after;
    do {
        const auto answer = callEntry(options, "GET", base + "after=" + escaped(after));
        if (!isSuccess(answer)) {
            return reportFailure(options, answer);
        }
        const auto page = parsedBody(answer);
        std::ranges::copy(page.at("demands"), std::back_inserter(all));
        after = page.value("next", std::string());
    } while (!after.empty());
    if (options.asJson) {
        std::cout << nlohmann::json {{"demands", all}}.dump() << '\n';
        return 0;
    }
    for (const auto &each : all) {
        std::cout << std::left << std::setw(32) << each.at("key").get<std::string>() << ' ' << std::setw(12)
                  << each.at("home").get<std::string>() << ' ' << std::setw(8) << each.at("kind").get<std::string>()
                  << ' ' << std::setw(11) << each.at("state").get<std::string>() << " tasks=" << each.at("tasks")
                  << " team=" << each.at("team").get<std::string>() << '\n';
    }
    return 0;
}

int submitDemand(const control_options &options, const arguments &values)
{
    return printAnswer(options,
                       callEntry(options, "POST", "/v1/demands", {{"Idempotency-Key", values.name}},
                                 readFile(values.path), "application/json"));
}

int cancelDemand(const control_options &options, const arguments &values)
{
    if (!options.isConfirmed) {
        return refuseUnconfirmed("cancelling " + values.name + " ends its tasks");
    }
    return printAnswer(options, callEntry(options, "DELETE", "/v1/demands/" + escaped(values.name)));
}

void printWorker(const std::string &id, const sheet_worker &worker)
{
    std::cout << std::left << std::setw(20) << id << ' ' << std::setw(12) << worker.failureDomain << ' '
              << std::setw(16) << worker.rack << " mcores=" << worker.total.milliCores
              << " memory=" << worker.total.memoryMib << "MiB accelerators=" << worker.total.accelerators
              << (worker.isDraining ? " draining" : "") << '\n';
}

nlohmann::json toJson(const std::string &id, const sheet_worker &worker)
{
    return {{"id", id},
            {"failureDomain", worker.failureDomain},
            {"rack", worker.rack},
            {"address", worker.address},
            {"milliCores", worker.total.milliCores},
            {"memoryMib", worker.total.memoryMib},
            {"accelerators", worker.total.accelerators},
            {"draining", worker.isDraining}};
}

/// Lists all workers of the sheet in force, or only the one that is named.
int listWorkers(const control_options &options, const arguments &values)
{
    const auto current = fetchSheet(options);
    auto list = nlohmann::json::array();
    for (const auto &[id, worker] : current.sheet.workers) {
        if (!values.name.empty() && values.name != id) {
            continue;
        }
        list.push_back(toJson(id, worker));
        if (!options.asJson) {
            printWorker(id, worker);
        }
    }
    if (options.asJson) {
        std::cout << nlohmann::json {{"version", current.version}, {"workers", list}}.dump() << '\n';
    }
    if (!values.name.empty() && list.empty()) {
        std::cerr << "no worker " << values.name << " in the sheet in force\n";
        return exitRefused;
    }
    return 0;
}

int setDraining(const control_options &options, const worker_id &worker, bool draining)
{
    if (draining && !options.isConfirmed) {
        return refuseUnconfirmed("draining " + worker + " excludes it from new tasks");
    }
    const auto current = fetchSheet(options);
    const auto text = withDraining(current.text, worker, draining);
    if (text == current.text) {
        std::cout << (options.asJson ? nlohmann::json {{"outcome", "done"}, {"version", current.version}}.dump()
                                     : worker + " needs no change in version " + std::to_string(current.version))
                  << '\n';
        return 0;
    }
    return putSheet(options, text, current);
}

int listUpstreams(const control_options &options, const arguments & /*values*/)
{
    const auto answer = callEntry(options, "GET", "/v1/status");
    if (!isSuccess(answer)) {
        return reportFailure(options, answer);
    }
    const auto upstreams = parsedBody(answer).at("upstreams");
    if (options.asJson) {
        std::cout << nlohmann::json {{"upstreams", upstreams}}.dump() << '\n';
        return 0;
    }
    for (const auto &each : upstreams) {
        std::cout << std::left << std::setw(24) << each.at("id").get<std::string>() << ' ' << std::setw(12)
                  << each.at("failureDomain").get<std::string>() << " inFlight=" << each.at("inFlight")
                  << (each.at("leaving").get<bool>() ? " leaving" : "") << '\n';
    }
    return 0;
}

/// Lists the configuration versions that the entry daemon and its live peers have in force, and marks those that lag
/// behind the highest one.
int listVersions(const control_options &options, const arguments & /*values*/)
{
    const auto answer = callEntry(options, "GET", "/v1/status");
    if (!isSuccess(answer)) {
        return reportFailure(options, answer);
    }
    const auto status = parsedBody(answer);
    auto daemons = status.at("peers");
    daemons.push_back(status);
    std::int64_t highest = 0;
    for (const auto &each : daemons) {
        highest = std::max(highest, each.at("configurationVersion").get<std::int64_t>());
    }
    auto list = nlohmann::json::array();
    for (const auto &each : daemons) {
        const auto version = each.at("configurationVersion").get<std::int64_t>();
        list.push_back({{"process", each.at("process")},
                        {"failureDomain", each.at("failureDomain")},
                        {"version", version},
                        {"lags", version < highest}});
    }
    if (options.asJson) {
        std::cout << nlohmann::json {{"highest", highest}, {"daemons", list}}.dump() << '\n';
        return 0;
    }
    for (const auto &each : list) {
        std::cout << std::left << std::setw(32) << each.at("process").get<std::string>() << ' ' << std::setw(12)
                  << each.at("failureDomain").get<std::string>() << " version=" << each.at("version")
                  << (each.at("lags").get<bool>() ? " LAGS behind " + std::to_string(highest) : "") << '\n';
    }
    return 0;
}

} // namespace

void addSheetCommands(CLI::App &app, control_options &options, int &status)
{
    auto &sheet = *app.add_subcommand("sheet", "planning sheets")->require_subcommand(1);
    const auto values = std::make_shared<arguments>();
    const auto add = [&](const std::string &name, const std::string &help, auto action) {
        return addCommand(sheet, name, help, status, values,
                          [&options, action](const arguments &each) { return action(options, each); });
    };
    auto *check = add("check", "check a sheet and print all its errors",
                      [](const control_options & /*options*/, const arguments &each) {
                          readSheet(readFile(each.path), each.path);
                          std::cout << each.path << ": good\n";
                          return 0;
                      });
    auto *load = add("load", "put a sheet in force", loadSheet);
    load->add_option("--against", values->version, "version that the change is based on; default: the one in force");
    auto *diff = add("diff", "show what a sheet would change", diffSheet);
    std::ranges::for_each(std::array {check, load, diff},
                          [&values](CLI::App *each) { each->add_option("file", values->path)->required(); });
    add("show", "print the sheet in force", showSheet)
        ->add_option("--version", values->version, "print an earlier version instead");
    add("history", "list the last versions and who wrote them", showHistory);
}

void addDemandCommands(CLI::App &app, control_options &options, int &status)
{
    auto &demand = *app.add_subcommand("demand", "placement demands")->require_subcommand(1);
    const auto values = std::make_shared<arguments>();
    const auto add = [&](const std::string &name, const std::string &help, auto action) {
        return addCommand(demand, name, help, status, values,
                          [&options, action](const arguments &each) { return action(options, each); });
    };
    auto *submit = add("submit", "submit a demand", submitDemand);
    auto *display = add("show", "show the state of a demand", [](const control_options &all, const arguments &each) {
        return printAnswer(all, callEntry(all, "GET", "/v1/demands/" + escaped(each.name)));
    });
    auto *cancel = add("cancel", "cancel a demand (needs --yes)", cancelDemand);
    std::ranges::for_each(std::array {submit, display, cancel}, [&values](CLI::App *each) {
        each->add_option("key", values->name, "the demand's idempotency key")->required();
    });
    submit->add_option("file", values->path, "JSON file")->required();
    add("list", "list the demands that have not ended", listDemands)
        ->add_option("--home", values->name, "failure domain; default: the entry daemon's own");
}

void addClusterCommands(CLI::App &app, control_options &options, int &status)
{
    const auto values = std::make_shared<arguments>();
    const auto add = [&](CLI::App &group, const std::string &name, const std::string &help, auto action) {
        return addCommand(group, name, help, status, values,
                          [&options, action](const arguments &each) { return action(options, each); });
    };
    auto &worker = *app.add_subcommand("worker", "workers of the sheet in force")->require_subcommand(1);
    add(worker, "list", "list all workers", listWorkers);
    auto *display = add(worker, "show", "show one worker", listWorkers);
    auto *drain =
        add(worker, "drain", "stop placing new tasks on a worker (needs --yes)",
            [](const control_options &all, const arguments &each) { return setDraining(all, each.name, true); });
    auto *undrain =
        add(worker, "undrain", "place new tasks on a worker again",
            [](const control_options &all, const arguments &each) { return setDraining(all, each.name, false); });
    std::ranges::for_each(std::array {display, drain, undrain},
                          [&values](CLI::App *each) { each->add_option("name", values->name)->required(); });
    auto &upstream = *app.add_subcommand("upstream", "back ends of booking requests")->require_subcommand(1);
    add(upstream, "list", "list the upstreams of the entry daemon", listUpstreams);
    auto &config = *app.add_subcommand("config", "the configuration in force")->require_subcommand(1);
    add(config, "versions", "list the version that each daemon has in force", listVersions);
    add(app, "status", "show the status of the entry daemon",
        [](const control_options &all, const arguments & /*each*/) {
            return printAnswer(all, callEntry(all, "GET", "/v1/status"));
        });
}

} // namespace primrosecroft
