#include "store_server.h"

#include "core/base64.h"
#include "core/clock.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

namespace primrosecroft::standins
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr unsigned statusGone = 410;
constexpr unsigned statusPreconditionFailed = 412;

row_place placeFrom(const json &row)
{
    return {row.at("table").get<std::string>(), row.at("part").get<std::string>(), row.at("key").get<std::string>()};
}

json toJson(const store_row &row, const store_call_options &options)
{
    json result {
        {"table", row.place.table}, {"part", row.place.partition}, {"key", row.place.key}, {"ver", row.version}};
    if (row.isRemoved) {
        result["deleted"] = true;
    } else if (row.version != 0) {
        result["value"] = toBase64(options.valueOf ? options.valueOf(row) : row.value);
    }
    return result;
}

json toJson(const std::vector<store_row> &rows, const store_call_options &options)
{
    auto result = json::array();
    std::ranges::for_each(rows, [&](const store_row &row) { result.push_back(toJson(row, options)); });
    return result;
}

store_transaction transactionFrom(const json &body)
{
    store_transaction transaction;
    for (const auto &row : body.at("expected")) {
        transaction.conditions.push_back({placeFrom(row), row.at("ver").get<row_version>()});
    }
    for (const auto &row : body.at("setKeys")) {
        transaction.writes.push_back({placeFrom(row), fromBase64(row.at("value").get<std::string>())});
    }
    for (const auto &row : body.at("remove")) {
        transaction.removals.push_back(placeFrom(row));
    }
    return transaction;
}

} // namespace

http_response jsonAnswer(unsigned status, const std::string &body)
{
    return {status, {{"Content-Type", "application/json"}}, body};
}

store_server::store_server(waiting_calls &calls)
    : m_calls(calls)
{
}

void store_server::serve(const std::shared_ptr<http_request> &request, const store_call_options &options)
{
    try {
        if (request->path() == "/rows-tx") {
            serveTransaction(request, options);
        } else if (request->path() == "/rows-get") {
            serveRange(request, options);
        } else if (request->path() == "/rows-feed") {
            serveFeed(request, options);
        } else if (request->path().starts_with("/blob-")) {
            serveObject(request);
        } else {
            request->answer({statusNotFound, {}, ""});
        }
    } catch (const std::exception &fault) {
        std::cerr << "store: bad request " << request->path() << ": " << fault.what() << '\n';
        request->answer({statusBadRequest, {}, ""});
    }
}

void store_server::keepUnanswered(const std::shared_ptr<http_request> &request)
{
    m_unanswered.push_back(request);
}

void store_server::serveTransaction(const shared_request &request, const store_call_options &options)
{
    const auto transaction = transactionFrom(json::parse(request->body()));
    if (options.commitDelay == 0ms) {
        commit(request, transaction, options);
        return;
    }
    m_calls.add(bootNow() + options.commitDelay,
                [this, request, transaction, options] { commit(request, transaction, options); });
}

void store_server::commit(const shared_request &request, const store_transaction &transaction,
                          const store_call_options &options)
{
    const auto result = store.commit(transaction);
    if (result.outcome == store_outcome::refused) {
        request->answer({statusBadRequest, {}, ""}); // larger than the platform allows
        return;
    }
    const bool isDone = result.outcome == store_outcome::done;
    if (isDone && options.committed) {
        options.committed(transaction, result.version);
    }
    if (options.fate == answer_fate::reset) {
        request->abort();
        return;
    }
    if (options.fate == answer_fate::lost) {
        keepUnanswered(request);
        return;
    }
    const json body {
        {"ver", result.version}, {"nowMs", store.now.count()}, {"rows", toJson(result.currentRows, options)}};
    answerAfter(options.delay, request, jsonAnswer(isDone ? statusOk : statusPreconditionFailed, body.dump()));
}

void store_server::serveRange(const shared_request &request, const store_call_options &options)
{
    row_range range {request->query("table"), request->query("part"), request->query("from"), request->query("target")};
    if (const auto limit = request->query("limit"); !limit.empty()) {
        range.limit = std::stoi(limit);
    }
    const auto result = store.read(range);
    const json body {{"rows", toJson(result.rows, options)},
                     {"hasMore", result.hasMore},
                     {"ver", result.version},
                     {"nowMs", store.now.count()}};
    answerAfter(options.delay, request, jsonAnswer(statusOk, body.dump()));
}

void store_server::serveFeed(const shared_request &request, const store_call_options &options)
{
    const auto table = request->query("table");
    const auto after = std::stoll(request->query("after"));
    const auto wait = std::chrono::milliseconds(std::stoll("0" + request->query("waitMs")));
    m_calls.add(request, bootNow() + wait, [this, table, after, options](bool isDue) -> std::optional<http_response> {
        const auto result = store.follow(table, after);
        if (result.isHistoryTruncated) {
            return http_response {statusGone, {}, ""};
        }
        if (result.rows.empty() && !isDue) {
            return std::nullopt;
        }
        return jsonAnswer(statusOk, json {{"rows", toJson(result.rows, options)}, {"ver", result.version}}.dump());
    });
}

void store_server::serveObject(const shared_request &request)
{
    const auto path = request->path();
    const auto name = path.substr(path.rfind('/') + 1);
    const auto found = m_objects.find(name);
    if (path.starts_with("/blob-put/")) {
        request->answer({found == m_objects.end() ? statusOk : statusPreconditionFailed, {}, "{}"});
        m_objects.try_emplace(name, request->body());
    } else if (path.starts_with("/blob-get/") && found != m_objects.end()) {
        request->answer({statusOk, {}, found->second});
    } else {
        request->answer({statusNotFound, {}, ""});
    }
}

void store_server::answerAfter(std::chrono::milliseconds delay, const shared_request &request,
                               const http_response &answer)
{
    if (delay == 0ms) {
        request->answer(answer);
        return;
    }
    m_calls.add(bootNow() + delay, [request, answer] { request->answer(answer); });
}

} // namespace primrosecroft::standins
