#include "worker_server.h"

#include "core/clock.h"
#include "platform/wire.h"
#include "store_server.h"

#include <array>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

namespace primrosecroft::standins
{

namespace
{

using json = nlohmann::json;
using shared_request = std::shared_ptr<http_request>;

constexpr unsigned statusMisdirectedRequest = 421;

json listBody(const executor_emulator &worker, const list_answered &result)
{
    static constexpr std::array names {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    json body {{"clockMs", result.clock.count()},
               {"born", worker.description().boot},
               {"running", json::array()},
               {"finished", json::array()}};
    for (const auto &run : result.running) {
        body["running"].push_back(
            {platform::encodeTask(run.run.task), run.run.attempt, run.checkpoint, run.percent, run.load});
    }
    for (const auto &end : result.ended) {
        body["finished"].push_back({end.number, platform::encodeTask(end.run.task), end.run.attempt,
                                    names.at(static_cast<std::size_t>(end.how)), end.checkpoint});
    }
    return body;
}

http_response orderAnswer(const executor_emulator &worker, order_result result)
{
    static const std::map<order_result, std::string> reasons {{order_result::fenced, "fence"},
                                                              {order_result::alreadyEnded, "old"},
                                                              {order_result::deadlinePassed, "late"},
                                                              {order_result::noTicket, "ticket"}};
    const auto found = reasons.find(result);
    json body {{"clockMs", worker.clock().count()}};
    if (found != reasons.end()) {
        body["reason"] = found->second;
    }
    return jsonAnswer(result == order_result::done ? statusOk : statusConflict, body.dump());
}

order_result carryOutStart(executor_emulator &worker, const json &body, const run_id &run, row_version token,
                           const worker_server_hooks &hooks)
{
    if (hooks.acceptsTicket && !hooks.acceptsTicket(run, body.value("ticket", ""))) {
        return order_result::noTicket;
    }
    send_start order;
    order.boot = worker.description().boot;
    order.run = run;
    order.deadline = worker_time(body.at("deadlineMs").get<std::int64_t>());
    order.checkpoint = body.value("checkpoint", "");
    const auto payload = body.at("spec").get<std::string>();
    const bool wasRunning = worker.running().contains(run);
    const auto result = worker.start(order, token, hooks.behaviourOf(run, payload));
    if (hooks.started) {
        hooks.started(run, token, result == order_result::done && !wasRunning, payload);
    }
    return result;
}

order_result carryOutStop(executor_emulator &worker, const run_id &run, row_version token,
                          const worker_server_hooks &hooks)
{
    const auto result = worker.stop(run, token);
    if (result == order_result::done && hooks.stopped) {
        hooks.stopped(run, token);
    }
    return result;
}

void serveList(executor_emulator &worker, const shared_request &request, const json &body, row_version token,
               waiting_calls &calls, const worker_server_hooks &hooks)
{
    std::optional<worker_time> deadline;
    if (body.contains("deadlineMs")) {
        deadline = worker_time(body.at("deadlineMs").get<std::int64_t>());
    }
    // What the request orders takes effect when it arrives. The answer then waits for an end.
    const auto first = worker.list(deadline, body.at("lastSeen").get<std::int64_t>(), token);
    if (first.result == order_result::fenced) {
        hooks.answer(request, orderAnswer(worker, first.result));
        return;
    }
    if (hooks.listed) {
        hooks.listed();
    }
    const auto wait = std::chrono::milliseconds(body.value("waitMs", std::int64_t {0}));
    const auto until = bootNow() + wait;
    const auto answer = [&worker, token, until, request, hooks, boot = worker.description().boot] {
        if (worker.description().boot != boot) {
            request->abort();
            return true;
        }
        const auto result = worker.list(std::nullopt, 0, token);
        if (result.result == order_result::fenced) {
            hooks.answer(request, orderAnswer(worker, result.result));
            return true;
        }
        if (result.ended.empty() && bootNow() < until) {
            return false;
        }
        hooks.answer(request, jsonAnswer(statusOk, listBody(worker, result).dump()));
        return true;
    };
    if (!answer()) {
        calls.addPolled(answer);
    }
}

} // namespace

void serveOrder(executor_emulator &worker, const shared_request &request, waiting_calls &calls,
                const worker_server_hooks &hooks)
{
    if (request->header("Expected-Instance") != worker.description().id) {
        hooks.answer(request, {statusMisdirectedRequest, {}, ""});
        return;
    }
    try {
        const auto body = json::parse(request->body());
        const auto token = body.at("fencingToken").get<row_version>();
        if (request->path() == "/hold") {
            serveList(worker, request, body, token, calls, hooks);
            return;
        }
        const auto task = platform::decodeTask(body.at("task").get<std::string>());
        const run_id run {task.value(), body.at("attempt").get<std::uint32_t>()};
        if (request->path() == "/run-start") {
            hooks.answer(request, orderAnswer(worker, carryOutStart(worker, body, run, token, hooks)));
        } else if (request->path() == "/run-stop") {
            hooks.answer(request, orderAnswer(worker, carryOutStop(worker, run, token, hooks)));
        } else {
            hooks.answer(request, orderAnswer(worker, order_result::done)); // others, such as /pace, have no effect
        }
    } catch (const std::exception &fault) {
        std::cerr << "worker: bad order: " << fault.what() << '\n';
        request->answer({statusBadRequest, {}, ""});
    }
}

std::string workerEntry(const worker_description &worker, std::int64_t sequence)
{
    const json entry {{"service", worker.pool},
                      {"address", worker.address},
                      {"zone", worker.failureDomain},
                      {"state", worker.isDraining ? "draining" : "ready"},
                      {"born", worker.boot},
                      {"capacity",
                       {{"cpu", worker.capacity.milliCores},
                        {"memMb", worker.capacity.memoryMib},
                        {"gpu", worker.capacity.accelerators}}},
                      {"labels", worker.labels},
                      {"seq", sequence}};
    return entry.dump();
}

} // namespace primrosecroft::standins
