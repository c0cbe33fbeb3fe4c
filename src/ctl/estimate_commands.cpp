#include "control_call.h"
#include "control_commands.h"
#include "io/glib_pointer.h"

#include <CLI/CLI.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace primrosecroft
{

namespace
{

struct estimate_arguments
{
    std::string daemon; ///< URL at which the owner serves metrics
    std::string queue;
};

long percentOf(const nlohmann::json &share)
{
    return std::lround(share.get<double>() * 100);
}

void printRecord(const std::string &name, const nlohmann::json &record)
{
    std::cout << std::left << std::setw(32) << name << std::right << std::setw(8) << record.at("runs") << std::setw(10)
              << record.at("earlyMs") << std::setw(10) << record.at("medianMs") << std::setw(10) << record.at("lateMs")
              << std::setw(9) << percentOf(record.at("forecastError")) << '%' << std::setw(9)
              << percentOf(record.at("estimateError")) << '%' << std::setw(12) << record.at("runsSince") << '\n';
}

int showEstimates(control_options options, const estimate_arguments &values)
{
    options.entry = values.daemon;
    const auto queue = text_pointer(g_uri_escape_string(values.queue.c_str(), nullptr, FALSE));
    const auto answer = callEntry(options, "GET", std::string("/durations?queue=") + queue.get());
    if (!isSuccess(answer)) {
        return reportFailure(options, answer);
    }
    if (options.asJson) {
        std::cout << answer.body << '\n';
        return 0;
    }
    const auto body = parsedBody(answer);
    std::cout << std::left << std::setw(32) << "image" << std::right << std::setw(8) << "runs" << std::setw(10)
              << "early ms" << std::setw(10) << "median ms" << std::setw(10) << "late ms" << std::setw(10) << "error"
              << std::setw(10) << "callers'" << std::setw(12) << "runs since" << '\n';
    printRecord("(all)", body);
    for (const auto &each : body.at("images")) {
        printRecord(each.at("image").get<std::string>(), each);
    }
    return 0;
}

} // namespace

void addEstimateCommands(CLI::App &app, control_options &options, int &status)
{
    auto &estimate = *app.add_subcommand("estimate", "learned durations of tasks")->require_subcommand(1);
    const auto values = std::make_shared<estimate_arguments>();
    auto *show =
        estimate.add_subcommand("show", "show how long the tasks of a queue take, and how good forecasts were");
    show->add_option("queue", values->queue)->required();
    show->add_option("--daemon", values->daemon,
                     "address at which the cell daemon that schedules serves metrics, such as http://10.1.0.13:9464")
        ->envname("PRIMROSECROFT_CELL")
        ->required();
    show->final_callback([&options, &status, values] { status = showEstimates(options, *values); });
}

} // namespace primrosecroft
