#include "control_commands.h"

#include "configuration/sheet.h"
#include "core/error.h"
#include "io/http_client.h"
#include "settings/daemon_settings.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto callTimeout = 10s;
constexpr unsigned firstFault = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusConflict = 409;

/// Calls and waits. Throws error when no whole answer came.
http_answer callAndWait(http_call request)
{
    http_client http;
    request.timeout = callTimeout;
    std::optional<http_outcome> outcome;
    http.call(request, [&outcome](http_outcome result) { outcome = std::move(result); });
    while (!outcome) {
        g_main_context_iteration(nullptr, TRUE);
    }
    if (const auto *failure = std::get_if<http_failure>(&*outcome)) {
        throw failure->fault;
    }
    return std::get<http_answer>(*outcome);
}

int exitStatusOf(const http_answer &answer)
{
    if (answer.status < firstFault) {
        return 0;
    }
    if (answer.status == statusConflict) {
        return exitConflict;
    }
    return answer.body.find("\"outcome\":\"unknown\"") == std::string::npos ? exitRefused : exitUnknown;
}

int show(const http_answer &answer)
{
    (answer.status < firstFault ? std::cout : std::cerr) << answer.body << '\n';
    return exitStatusOf(answer);
}

std::string versionInForce(const control_options &options)
{
    const auto answer = callAndWait({"GET", options.entry + "/v1/sheet", {}, {}, {}, callTimeout, false});
    return answer.status == statusNotFound ? "\"0\"" : headerValue(answer.headers, "ETag");
}

int loadSheet(const control_options &options, const std::string &path, const std::string &against)
{
    const auto text = readFile(path);
    readSheet(text, path);
    const auto version = against.empty() ? versionInForce(options) : '"' + against + '"';
    http_call call {"PUT", options.entry + "/v1/sheet", {{"If-Match", version}}, text, "application/yaml", callTimeout,
                    false};
    return show(callAndWait(std::move(call)));
}

int submitDemand(const control_options &options, const std::string &path, const std::string &key)
{
    http_call call {"POST",
                    options.entry + "/v1/demands",
                    {{"Idempotency-Key", key}},
                    readFile(path),
                    "application/json",
                    callTimeout,
                    false};
    return show(callAndWait(std::move(call)));
}

int onDemand(const control_options &options, const std::string &method, const std::string &key)
{
    return show(callAndWait({method, options.entry + "/v1/demands/" + key, {}, {}, {}, callTimeout, false}));
}

} // namespace

void addSheetCommands(CLI::App &app, control_options &options, int &status)
{
    auto *sheet = app.add_subcommand("sheet", "planning sheets")->require_subcommand(1);
    struct arguments
    {
        std::string path;
        std::string against;
    };
    const auto values = std::make_shared<arguments>();
    auto *load = sheet->add_subcommand("load", "put a sheet in force");
    load->add_option("file", values->path)->required();
    load->add_option("--against", values->against, "version that the change was made against; default: in force now");
    load->callback([&options, &status, values] { status = loadSheet(options, values->path, values->against); });
    auto *check = sheet->add_subcommand("check", "check a sheet without loading it");
    check->add_option("file", values->path)->required();
    check->callback([values] { readSheet(readFile(values->path), values->path); });
    auto *display = sheet->add_subcommand("show", "print the sheet in force");
    display->callback([&options, &status] {
        status = show(callAndWait({"GET", options.entry + "/v1/sheet", {}, {}, {}, callTimeout, false}));
    });
}

void addDemandCommands(CLI::App &app, control_options &options, int &status)
{
    auto *demand = app.add_subcommand("demand", "placement demands")->require_subcommand(1);
    struct arguments
    {
        std::string path;
        std::string key;
    };
    const auto values = std::make_shared<arguments>();
    auto *submit = demand->add_subcommand("submit", "submit a demand");
    submit->add_option("key", values->key, "the demand's idempotency key")->required();
    submit->add_option("file", values->path, "JSON file")->required();
    submit->callback([&options, &status, values] { status = submitDemand(options, values->path, values->key); });
    const auto add = [&options, &status, demand, values](const std::string &name, const std::string &method) {
        auto *command = demand->add_subcommand(name, name + " a demand");
        command->add_option("key", values->key)->required();
        command->callback([&options, &status, values, method] { status = onDemand(options, method, values->key); });
    };
    add("show", "GET");
    add("cancel", "DELETE");
}

void addStatusCommand(CLI::App &app, control_options &options, int &status)
{
    auto *command = app.add_subcommand("status", "what the entry daemon sees");
    command->callback([&options, &status] {
        status = show(callAndWait({"GET", options.entry + "/v1/status", {}, {}, {}, callTimeout, false}));
    });
}

} // namespace primrosecroft
