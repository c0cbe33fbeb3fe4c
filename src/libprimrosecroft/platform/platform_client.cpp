#include "platform/platform_client.h"

#include <algorithm>
#include <glib.h>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t mostTransactionsPerCommit = 100;
constexpr std::size_t rowsPerPage = 500;
constexpr std::size_t mostWaitingReads = 2'000;

std::string escaped(const std::string &text)
{
    char *raw = g_uri_escape_string(text.c_str(), "/", FALSE);
    std::string result = raw;
    g_free(raw);
    return result;
}

const http_answer *answerOf(const http_outcome &outcome)
{
    return std::get_if<http_answer>(&outcome);
}

/// Parses a 200 answer with @p read; none when it is another or malformed.
template<typename reader>
auto parsedAnswer(const http_outcome &outcome, reader read) -> std::optional<decltype(read(nlohmann::json()))>
{
    const auto *answer = answerOf(outcome);
    if (answer == nullptr || answer->status != statusOk) {
        return std::nullopt;
    }
    try {
        return read(nlohmann::json::parse(answer->body));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

nlohmann::json writeJson(const table_write &write)
{
    nlohmann::json body {{"key", write.key}, {"ifVersion", write.ifVersion}};
    if (write.value) {
        body["value"] = *write.value;
    }
    return body;
}

table_row rowFrom(const nlohmann::json &body)
{
    return {body.at("key").get<std::string>(), body.at("version").get<std::int64_t>(),
            body.at("value").get<std::string>()};
}

std::vector<table_row> rowsFrom(const nlohmann::json &body)
{
    std::vector<table_row> rows;
    std::ranges::transform(body.at("rows"), std::back_inserter(rows), rowFrom);
    return rows;
}

listed_vm vmFrom(const nlohmann::json &body)
{
    const auto role = body.at("role").get<std::string>();
    return {body.at("id").get<std::string>(),
            role == "worker"         ? vm_role::worker
                : role == "executor" ? vm_role::executor
                                     : vm_role::entry,
            body.at("failureDomain").get<std::string>(),
            body.at("region").get<std::string>(),
            body.at("rack").get<std::string>(),
            body.at("address").get<std::string>(),
            body.at("port").get<std::uint16_t>(),
            body.at("leaving").get<bool>()};
}

commit_result resultFrom(const nlohmann::json &body)
{
    if (!body.at("committed").get<bool>()) {
        return {commit_status::conflict, {}};
    }
    return {commit_status::committed, body.at("versions").get<std::vector<std::int64_t>>()};
}

std::vector<commit_result> allResults(std::size_t count, commit_status status)
{
    return {count, commit_result {status, {}}};
}

} // namespace

platform_client::platform_client(http_client &http, std::string baseUrl, std::chrono::milliseconds timeout)
    : m_http(http)
    , m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{
    m_breaker.seed = std::random_device {}();
}

bool platform_client::isReachable() const
{
    return m_breaker.reachable;
}

void platform_client::setReturnBudget(double operationsPerSecond)
{
    m_breaker.operationsPerSecond = operationsPerSecond;
}

std::uint64_t platform_client::reads() const
{
    return m_readCount;
}

std::uint64_t platform_client::writes() const
{
    return m_writeCount;
}

void platform_client::note(const http_outcome &outcome)
{
    const auto *answer = answerOf(outcome);
    storeAnswered(m_breaker, answer != nullptr && answer->status < firstServerFault, std::chrono::steady_clock::now());
}

bool platform_client::maySend()
{
    return m_breaker.reachable || takeProbe(m_breaker, std::chrono::steady_clock::now());
}

void platform_client::sendRead(const http_call &call, std::function<void(http_outcome)> done)
{
    const auto outOfReach = [this] {
        return http_failure {error("call", m_baseUrl, "the platform is out of reach"), false, false};
    };
    if (!maySend() || m_reads.size() >= mostWaitingReads) {
        done(outOfReach());
        return;
    }
    const auto send = [this, call, done = std::move(done), outOfReach](bool isReachable) {
        if (!isReachable) {
            done(outOfReach());
            return;
        }
        ++m_readCount;
        m_http.call(call, [this, done](http_outcome outcome) {
            note(outcome);
            done(std::move(outcome));
        });
    };
    if (!m_breaker.reachable) {
        send(true); // a probe
        return;
    }
    m_reads.emplace_back([this, send] { send(m_breaker.reachable); });
    sendReads();
}

void platform_client::sendReads()
{
    while (!m_reads.empty() && !m_readPause.isRunning()) {
        const auto pause = m_breaker.reachable ? takeOperation(m_breaker, std::chrono::steady_clock::now())
                                               : std::chrono::milliseconds(0);
        if (pause > std::chrono::milliseconds(0)) {
            m_readPause.once(pause, [this] { sendReads(); });
            return;
        }
        const auto next = std::move(m_reads.front());
        m_reads.pop_front();
        next();
    }
}

void platform_client::commit(table_transaction transaction, std::function<void(commit_result)> done)
{
    if (!m_breaker.reachable) {
        done({commit_status::notSent, {}});
        return;
    }
    m_queue.push_back({std::move(transaction), std::move(done)});
    sendCommits();
}

void platform_client::sendCommits()
{
    if (m_committing || m_queue.empty() || m_commitPause.isRunning()) {
        return;
    }
    const auto pause = takeOperation(m_breaker, std::chrono::steady_clock::now());
    if (pause > std::chrono::milliseconds(0)) {
        m_commitPause.once(pause, [this] { sendCommits(); });
        return;
    }
    m_committing = true;
    std::vector<queued_commit> batch;
    while (!m_queue.empty() && batch.size() < mostTransactionsPerCommit) {
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    nlohmann::json body {{"transactions", nlohmann::json::array()}};
    for (const auto &queued : batch) {
        nlohmann::json writes = nlohmann::json::array();
        std::ranges::transform(queued.transaction, std::back_inserter(writes), writeJson);
        body["transactions"].push_back(std::move(writes));
    }
    http_call call;
    call.method = "POST";
    call.url = m_baseUrl + "/table/commit";
    call.body = body.dump();
    call.timeout = m_timeout;
    ++m_writeCount;
    m_http.call(call, [this, batch = std::move(batch)](const http_outcome &outcome) mutable {
        settleCommits(std::move(batch), outcome);
    });
}

void platform_client::settleCommits(std::vector<queued_commit> batch, const http_outcome &outcome)
{
    note(outcome);
    const auto *failure = std::get_if<http_failure>(&outcome);
    const auto unsent = failure != nullptr && !failure->sent;
    auto results = allResults(batch.size(), unsent ? commit_status::notSent : commit_status::lost);
    const auto parsed = parsedAnswer(outcome, [](const nlohmann::json &body) {
        std::vector<commit_result> read;
        std::ranges::transform(body.at("results"), std::back_inserter(read), resultFrom);
        return read;
    });
    if (parsed && parsed->size() == batch.size()) {
        results = *parsed;
    }
    m_committing = false;
    std::deque<queued_commit> refused;
    if (!m_breaker.reachable) {
        refused = std::exchange(m_queue, {});
    }
    for (const auto index : std::views::iota(std::size_t {0}, batch.size())) {
        batch.at(index).done(results.at(index));
    }
    std::ranges::for_each(refused, [](const queued_commit &queued) { queued.done({commit_status::notSent, {}}); });
    sendCommits();
}

void platform_client::get(const std::string &path, std::function<void(http_outcome)> done)
{
    http_call call;
    call.url = m_baseUrl + path;
    call.timeout = m_timeout;
    sendRead(call, std::move(done));
}

void platform_client::read(const std::string &key, std::function<void(row_result)> done)
{
    get("/table/row/" + escaped(key), [done = std::move(done)](const http_outcome &outcome) {
        const auto *answer = answerOf(outcome);
        if (answer != nullptr && answer->status == statusNotFound) {
            done(row_result {std::optional<table_row> {}});
            return;
        }
        const auto row = parsedAnswer(outcome, rowFrom);
        done(row ? row_result {row} : std::nullopt);
    });
}

void platform_client::readMany(const std::vector<std::string> &keys,
                               std::function<void(std::optional<std::vector<table_row>>)> done)
{
    http_call call;
    call.method = "POST";
    call.url = m_baseUrl + "/table/read";
    call.body = nlohmann::json {{"keys", keys}}.dump();
    call.timeout = m_timeout;
    sendRead(call, [done = std::move(done)](const http_outcome &outcome) { done(parsedAnswer(outcome, rowsFrom)); });
}

void platform_client::list(const std::string &prefix, std::function<void(std::optional<std::vector<table_row>>)> done)
{
    listPage(prefix, "", {}, std::move(done));
}

void platform_client::listPage(const std::string &prefix, const std::string &after, std::vector<table_row> gathered,
                               std::function<void(std::optional<std::vector<table_row>>)> done)
{
    const auto path =
        "/table/rows?prefix=" + escaped(prefix) + "&after=" + escaped(after) + "&limit=" + std::to_string(rowsPerPage);
    get(path,
        [this, prefix, gathered = std::move(gathered), done = std::move(done)](const http_outcome &outcome) mutable {
            const auto page = parsedAnswer(outcome, rowsFrom);
            if (!page) {
                done(std::nullopt);
                return;
            }
            gathered.insert(gathered.end(), page->begin(), page->end());
            if (page->size() < rowsPerPage) {
                done(std::move(gathered));
                return;
            }
            listPage(prefix, page->back().key, std::move(gathered), std::move(done));
        });
}

void platform_client::putObject(const std::string &name, const std::string &body, std::function<void(bool)> done)
{
    if (!m_breaker.reachable) {
        done(false);
        return;
    }
    http_call call;
    call.method = "PUT";
    call.url = m_baseUrl + "/objects/" + escaped(name);
    call.body = body;
    call.contentType = "application/octet-stream";
    call.timeout = m_timeout;
    ++m_writeCount;
    m_http.call(call, [this, done = std::move(done)](const http_outcome &outcome) {
        note(outcome);
        const auto *answer = answerOf(outcome);
        done(answer != nullptr && answer->status == statusOk);
    });
}

void platform_client::getObject(const std::string &name, std::function<void(std::optional<std::string>)> done)
{
    get("/objects/" + escaped(name), [done = std::move(done)](const http_outcome &outcome) {
        const auto *answer = answerOf(outcome);
        done(answer != nullptr && answer->status == statusOk ? std::optional(answer->body) : std::nullopt);
    });
}

void platform_client::listVms(std::function<void(std::optional<std::vector<listed_vm>>)> done)
{
    http_call call;
    call.url = m_baseUrl + "/vms";
    call.timeout = m_timeout;
    if (!m_vmsTag.empty()) {
        call.headers.push_back({"If-None-Match", m_vmsTag});
    }
    sendRead(call, [this, done = std::move(done)](const http_outcome &outcome) {
        const auto *answer = answerOf(outcome);
        if (answer != nullptr && answer->status == statusNotModified) {
            done(m_vms);
            return;
        }
        auto vms = parsedAnswer(outcome, [](const nlohmann::json &body) {
            std::vector<listed_vm> read;
            std::ranges::transform(body.at("vms"), std::back_inserter(read), vmFrom);
            return read;
        });
        if (vms) {
            m_vmsTag = headerValue(answer->headers, "ETag");
            m_vms = *vms;
        }
        done(std::move(vms));
    });
}

} // namespace primrosecroft
