#include "workers/worker_messages.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace primrosecroft
{

// nlohmann::json finds these by name, hence their spelling.
// NOLINTBEGIN(readability-identifier-naming)
NLOHMANN_JSON_SERIALIZE_ENUM(attempt_end,
                             {{attempt_end::succeeded, "succeeded"},
                              {attempt_end::failed, "failed"},
                              {attempt_end::stopped, "stopped"},
                              {attempt_end::lapsed, "lapsed"}})
NLOHMANN_JSON_SERIALIZE_ENUM(start_result,
                             {{start_result::running, "running"},
                              {start_result::stale, "stale"},
                              {start_result::full, "full"},
                              {start_result::barred, "barred"}})

static void to_json(nlohmann::json &json, const resources &value)
{
    json = nlohmann::json::array({value.milliCores, value.memoryMib, value.accelerators});
}

static void from_json(const nlohmann::json &json, resources &value)
{
    json.at(0).get_to(value.milliCores);
    json.at(1).get_to(value.memoryMib);
    json.at(2).get_to(value.accelerators);
}

static void to_json(nlohmann::json &json, const task_id &value)
{
    json = toString(value);
}

static void from_json(const nlohmann::json &json, task_id &value)
{
    value = taskFromString(json.get<std::string>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_listing, task, attempt, size)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ended_attempt, task, attempt, end)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_answer, attempt, result)
// NOLINTEND(readability-identifier-naming)

namespace
{

template<typename reader>
auto parsed(const std::string &text, reader read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception &fault) {
        throw error("read worker message", "", fault.what());
    }
}

std::chrono::milliseconds milliseconds(const nlohmann::json &body, const char *key)
{
    return std::chrono::milliseconds(body.at(key).get<std::int64_t>());
}

worker_stamp stamp(const nlohmann::json &body)
{
    return worker_stamp(body.at("stamp").get<std::int64_t>());
}

nlohmann::json startJson(const start_order &order)
{
    return {{"task", order.task},
            {"attempt", order.attempt},
            {"size", order.size},
            {"runTimeMs", order.runTime.count()},
            {"endless", order.endless}};
}

start_order startFrom(const nlohmann::json &body)
{
    return {body.at("task").get<task_id>(), body.at("attempt").get<attempt_id>(), body.at("size").get<resources>(),
            milliseconds(body, "runTimeMs"), body.at("endless").get<bool>()};
}

} // namespace

std::string toJson(const claim_request &request)
{
    return nlohmann::json {{"holder", request.holder}, {"termMs", request.term.count()}}.dump();
}

claim_request claimRequestFromJson(const std::string &text)
{
    return parsed(text, [](const nlohmann::json &body) {
        return claim_request {body.at("holder").get<std::string>(), milliseconds(body, "termMs")};
    });
}

std::string toJson(const claim_answer &answer)
{
    return nlohmann::json {{"granted", answer.granted}, {"token", answer.token},     {"stamp", answer.stamp.count()},
                           {"total", answer.total},     {"running", answer.running}, {"ended", answer.ended}}
        .dump();
}

claim_answer claimAnswerFromJson(const std::string &text)
{
    return parsed(text, [](const nlohmann::json &body) {
        return claim_answer {body.at("granted").get<bool>(),
                             body.at("token").get<fencing_token>(),
                             stamp(body),
                             body.at("total").get<resources>(),
                             body.at("running").get<std::vector<task_listing>>(),
                             body.at("ended").get<std::vector<ended_attempt>>()};
    });
}

std::string toJson(const exchange_request &request)
{
    nlohmann::json body {{"token", request.token},
                         {"stamp", request.stamp.count()},
                         {"holderTermMs", request.holderTerm.count()},
                         {"taskTermMs", request.taskTerm.count()}};
    if (!request.starts.empty()) {
        std::ranges::transform(request.starts, std::back_inserter(body["starts"]), startJson);
    }
    if (!request.stops.empty()) {
        body["stops"] = request.stops;
    }
    if (!request.forgets.empty()) {
        body["forgets"] = request.forgets;
    }
    if (!request.checkpoints.empty()) {
        body["checkpoints"] = request.checkpoints;
    }
    return body.dump();
}

exchange_request exchangeRequestFromJson(const std::string &text)
{
    return parsed(text, [](const nlohmann::json &body) {
        exchange_request request {body.at("token").get<fencing_token>(),
                                  stamp(body),
                                  milliseconds(body, "holderTermMs"),
                                  milliseconds(body, "taskTermMs"),
                                  {},
                                  {},
                                  {}};
        const auto starts = body.value("starts", nlohmann::json::array());
        std::ranges::transform(starts, std::back_inserter(request.starts), startFrom);
        request.stops = body.value("stops", std::vector<attempt_id> {});
        request.forgets = body.value("forgets", std::vector<attempt_id> {});
        request.checkpoints = body.value("checkpoints", std::vector<attempt_id> {});
        return request;
    });
}

std::string toJson(const exchange_answer &answer)
{
    nlohmann::json body {{"accepted", answer.accepted}, {"stamp", answer.stamp.count()}};
    if (!answer.starts.empty()) {
        body["starts"] = answer.starts;
    }
    if (!answer.ended.empty()) {
        body["ended"] = answer.ended;
    }
    return body.dump();
}

exchange_answer exchangeAnswerFromJson(const std::string &text)
{
    return parsed(text, [](const nlohmann::json &body) {
        return exchange_answer {body.at("accepted").get<bool>(), stamp(body),
                                body.value("starts", std::vector<start_answer> {}),
                                body.value("ended", std::vector<ended_attempt> {})};
    });
}

} // namespace primrosecroft
