#include "core/error.h"
#include "fault_control.h"
#include "worker_model.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace
{

using namespace primrosecroft;

http_answer serveWorker(standins::worker_model &worker, const http_request &request)
{
    const auto now = std::chrono::steady_clock::now();
    const auto path = request.path();
    try {
        if (path == "/claim") {
            return {200, {}, toJson(standins::claim(worker, claimRequestFromJson(request.body()), now))};
        }
        if (path == "/exchange") {
            return {200, {}, toJson(standins::exchange(worker, exchangeRequestFromJson(request.body()), now))};
        }
        if (path == "/release") {
            const auto body = nlohmann::json::parse(request.body());
            standins::release(worker, body.at("token").get<fencing_token>(), now);
            return {200, {}, "{}"};
        }
        if (path == "/tasks") {
            standins::advance(worker, now);
            const auto used = standins::inUse(worker);
            nlohmann::json tasks = nlohmann::json::array();
            for (const auto &[attempt, each] : worker.running) {
                tasks.push_back({{"task", toString(each.order.task)}, {"attempt", attempt}});
            }
            return {200,
                    {},
                    nlohmann::json {{"tasks", tasks},
                                    {"milliCores", used.milliCores},
                                    {"overcommitRefusals", worker.overcommitRefusals}}
                        .dump()};
        }
    } catch (const std::exception &fault) {
        return {400, {}, nlohmann::json {{"error", fault.what()}}.dump()};
    }
    return {404, {}, "{}"};
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for one of the platform's workers.");
    std::string address;
    std::uint16_t port = 0;
    double cores = 32;
    std::int64_t memoryMib = 65'536;
    std::int64_t accelerators = 0;
    double runTimeFactor = 1.0;
    app.add_option("--address", address, "IP number")->required();
    app.add_option("--port", port)->required();
    app.add_option("--cores", cores);
    app.add_option("--memory-mib", memoryMib);
    app.add_option("--accelerators", accelerators);
    app.add_option("--run-time-factor", runTimeFactor, "real over declared run time");
    CLI11_PARSE(app, argc, argv);
    try {
        standins::worker_model worker;
        worker.total = {static_cast<std::int64_t>(cores * 1000), memoryMib, accelerators};
        worker.bootedAt = std::chrono::steady_clock::now();
        worker.runTimeFactor = runTimeFactor;
        standins::fault_control control(
            [&worker](const standins::fault_orders &orders) { worker.failsEveryTask = orders.failTasks; });
        http_server server({}, [&](const std::shared_ptr<http_request> &request) {
            control.serve(request, [&worker](const http_request &each) { return serveWorker(worker, each); });
        });
        server.listen(address, port);
        standins::runLoop();
        return 0;
    } catch (const error &fault) {
        std::cerr << fault.what() << '\n';
        return 1;
    }
}
