#include "configuration/sheet_service.h"

#include "core/checksum.h"
#include "core/error.h"
#include "core/parse_integer.h"
#include "jobs/job_rows.h"
#include "observability/log_text.h"
#include "observability/problem.h"

#include <algorithm>
#include <cctype>
#include <glog/logging.h>
#include <limits>
#include <nlohmann/json.hpp>
#include <ranges>
#include <utility>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto storeRetryAfter = 2s;
constexpr std::size_t maxOperatorLength = 64;
constexpr std::int64_t historyLength = 20; ///< versions that are listed
constexpr std::string_view versionPath = "/v1/sheet/versions/";
constexpr auto lostRetryDelay = 300ms;
constexpr int maxCommits = 8; ///< attempts to commit a change, after which its outcome is reported as unknown

/// The ETag of a version: its number in quotes.
std::string entityTag(std::int64_t version)
{
    return '"' + std::to_string(version) + '"';
}

/// Returns the version, which is 0 if no sheet is in force; std::nullopt if @p tag is not a valid one.
std::optional<std::int64_t> parseEntityTag(const std::string &tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    const auto version = parseInteger(std::string_view(tag).substr(1, tag.size() - 2));
    const auto inRange = version && *version >= 0 && *version < std::numeric_limits<std::int64_t>::max();
    return inRange ? version : std::nullopt;
}

http_response storeUnreachable(request_outcome outcome, const std::string &step)
{
    return toResponse({statusUnavailable, outcome, step, "platform", "the store is unreachable", storeRetryAfter,
                       outcome == request_outcome::unknown ? "/v1/sheet" : ""});
}

http_response versionConflict(const configuration_row &winner)
{
    auto answer = toResponse({statusConflict, request_outcome::refused, "compare version", "",
                              "version " + std::to_string(winner.version) + " is in force, written by " + winner.writer,
                              std::nullopt, ""});
    answer.headers.push_back({"ETag", entityTag(winner.version)});
    return answer;
}

row_range historyRange(std::int64_t first, std::int64_t last)
{
    const auto from = historyPlace(first);
    return {from.table, from.partition, from.key, historyPlace(last + 1).key};
}

/// Returns the operator's name from the request's header; empty if there is none or it isn't a plain name.
std::string readOperator(const http_request &request)
{
    const auto name = request.header("Primrosecroft-Operator");
    const auto isPlain = std::ranges::all_of(
        name, [](unsigned char each) { return std::isalnum(each) != 0 || each == '.' || each == '_' || each == '-'; });
    return isPlain && name.size() <= maxOperatorLength ? name : "";
}

/// Returns std::nullopt, and logs it, if the row can't be decoded.
std::optional<configuration_row> decodeIfReadable(const store_row &row)
{
    try {
        return configurationRowFromJson(row.value);
    } catch (const error &fault) {
        LOG(ERROR) << "configuration: unreadable row, key=" << logText(row.place.key)
                   << " reason=" << logText(fault.what());
        return std::nullopt;
    }
}

/// Returns std::nullopt if the row is missing, can't be read or can't be decoded.
std::optional<configuration_row> decodeIfReadable(const row_result &result)
{
    return result && *result ? decodeIfReadable(**result) : std::nullopt;
}

} // namespace

/// A PUT of a sheet in progress.
struct sheet_service::change
{
    std::shared_ptr<http_request> request;
    std::string text;
    configuration_row row;
    cell_rules rules;
    int commitsLeft = maxCommits;
    bool mayHaveTakenEffect = false; ///< the answer to an earlier write was lost
    timer retryTimer;
};

sheet_service::sheet_service(guarded_store &rows, configuration_follower &configuration, std::string writer)
    : m_store(rows)
    , m_configuration(configuration)
    , m_writer(std::move(writer))
{
}

void sheet_service::serve(const std::shared_ptr<http_request> &request)
{
    if (request->method() == "GET" && request->path() == "/v1/sheet/history") {
        showHistory(request);
    } else if (request->method() == "GET" && request->path().starts_with(versionPath)) {
        showVersion(request);
    } else if (request->path() != "/v1/sheet") {
        request->answer(toResponse({statusNotFound, request_outcome::refused, "read request", "",
                                    "no such path is served", std::nullopt, ""}));
    } else if (request->method() == "GET") {
        showCurrent(request);
    } else if (request->method() == "PUT") {
        replaceSheet(request);
    } else {
        request->answer(toResponse({statusMethodNotAllowed, request_outcome::refused, "read request", "",
                                    "expected GET or PUT", std::nullopt, ""}));
    }
}

void sheet_service::showCurrent(const std::shared_ptr<http_request> &request) const
{
    const auto &current = m_configuration.current();
    if (!current) {
        request->answer(toResponse({statusNotFound, request_outcome::refused, "find configuration", "",
                                    "no sheet is in force yet", std::nullopt, ""}));
        return;
    }
    request->answer(
        {statusOk, {{"Content-Type", "application/yaml"}, {"ETag", entityTag(current->version)}}, current->text});
}

void sheet_service::showHistory(const std::shared_ptr<http_request> &request)
{
    const auto &current = m_configuration.current();
    const auto last = current ? current->version : 0;
    auto range = historyRange(std::max<std::int64_t>(0, last - historyLength) + 1, last);
    m_store.readAll(range, [request](const rows_result &rows) {
        if (!rows) {
            request->answer(storeUnreachable(request_outcome::refused, "read history"));
            return;
        }
        auto list = nlohmann::json::array();
        for (const auto &each : *rows | std::views::reverse) {
            if (const auto row = decodeIfReadable(each)) {
                list.push_back({{"version", row->version}, {"hash", row->hash}, {"writer", row->writer}});
            }
        }
        request->answer(jsonResponse(statusOk, nlohmann::json {{"versions", list}}.dump()));
    });
}

void sheet_service::showVersion(const std::shared_ptr<http_request> &request)
{
    const auto version = parseEntityTag('"' + request->path().substr(versionPath.size()) + '"');
    const auto answerNotFound = [request] {
        request->answer(toResponse({statusNotFound, request_outcome::refused, "read history", "",
                                    "no sheet is recorded under this version", std::nullopt, ""}));
    };
    if (!version) {
        answerNotFound();
        return;
    }
    m_store.readRow(historyPlace(*version), [this, request, answerNotFound](const row_result &result) {
        if (!result) {
            request->answer(storeUnreachable(request_outcome::refused, "read history"));
            return;
        }
        if (!*result) {
            answerNotFound();
            return;
        }
        const auto row = decodeIfReadable(**result);
        if (!row) {
            request->answer(toResponse({statusUnavailable, request_outcome::refused, "read history", "platform",
                                        "the row of this version is unreadable", storeRetryAfter, ""}));
            return;
        }
        m_store.getObject(row->hash, [request, version = row->version](const std::optional<std::string> &text) {
            if (!text) {
                request->answer(storeUnreachable(request_outcome::refused, "read sheet"));
                return;
            }
            request->answer({statusOk, {{"Content-Type", "application/yaml"}, {"ETag", entityTag(version)}}, *text});
        });
    });
}

void sheet_service::replaceSheet(const std::shared_ptr<http_request> &request)
{
    const auto version = parseEntityTag(request->header("If-Match"));
    if (!version) {
        request->answer(
            toResponse({statusPreconditionRequired, request_outcome::refused, "read request", "",
                        "expected If-Match with the version that this change is based on", std::nullopt, ""}));
        return;
    }
    const auto entry = std::make_shared<change>();
    entry->request = request;
    entry->text = request->body();
    try {
        entry->rules = rulesOf(readSheet(entry->text, "sheet"));
    } catch (const error &fault) {
        request->answer(
            toResponse({statusBadRequest, request_outcome::refused, "read sheet", "", fault.what(), std::nullopt, ""}));
        return;
    }
    entry->row = {*version + 1, sha256(entry->text), m_writer + '/' + std::to_string(++m_lastChange)};
    if (const auto name = readOperator(*request); !name.empty()) {
        entry->row.writer += '/' + name;
    }
    compare(entry);
}

void sheet_service::compare(const std::shared_ptr<change> &entry)
{
    m_store.readRow(configurationPlace(), [this, entry](const row_result &result) {
        const auto readable = decodeIfReadable(result);
        if (!result || (*result && !readable)) {
            entry->request->answer(storeUnreachable(request_outcome::refused, "compare version"));
            return;
        }
        const auto current = readable.value_or(configuration_row {});
        if (current.version + 1 != entry->row.version) {
            entry->request->answer(versionConflict(current));
            return;
        }
        storeText(entry, *result ? (*result)->version : row_condition::absent);
    });
}

void sheet_service::storeText(const std::shared_ptr<change> &entry, row_version rowVersion)
{
    m_store.putObject(entry->row.hash, entry->text, [this, entry, rowVersion](bool stored) {
        if (!stored) {
            entry->request->answer(storeUnreachable(request_outcome::refused, "store sheet"));
            return;
        }
        commit(entry, rowVersion);
    });
}

void sheet_service::commit(const std::shared_ptr<change> &entry, row_version rowVersion)
{
    // The history row keeps the hash and the writer of each version. The notice makes the owner of the cell read the
    // new rules.
    const auto text = toJson(entry->row);
    store_transaction transaction;
    transaction.conditions = {{configurationPlace(), rowVersion},
                              {historyPlace(entry->row.version), row_condition::absent}};
    transaction.writes = {{configurationPlace(), text},
                          {historyPlace(entry->row.version), text},
                          {rulesPlace(), encodeRules(entry->rules)},
                          {rulesNoticePlace(), std::to_string(entry->row.version)}};
    m_store.commit(transaction, [this, entry, rowVersion](const commit_result &result) {
        switch (result.outcome) {
        case store_outcome::done:
            answerDone(entry);
            return;
        case store_outcome::conflict:
            confirmWriter(entry);
            return;
        case store_outcome::lost:
            entry->mayHaveTakenEffect = true;
            retryLost(entry, rowVersion);
            return;
        case store_outcome::refused:
            if (entry->mayHaveTakenEffect) {
                retryLost(entry, rowVersion);
                return;
            }
            entry->request->answer(storeUnreachable(request_outcome::refused, "commit version"));
            return;
        }
    });
}

/// Repeats the conditional write after its answer was lost. If the lost write took effect, this one conflicts, and the
/// history row shows whose write succeeded.
void sheet_service::retryLost(const std::shared_ptr<change> &entry, row_version rowVersion)
{
    if (--entry->commitsLeft <= 0) {
        entry->request->answer(storeUnreachable(request_outcome::unknown, "commit version"));
        return;
    }
    entry->retryTimer.once(lostRetryDelay, [this, entry, rowVersion] {
        if (m_store.isReachable()) {
            commit(entry, rowVersion);
            return;
        }
        // An answered read makes the store count as reachable again.
        m_store.readRow(configurationPlace(),
                        [this, entry, rowVersion](const row_result & /*result*/) { retryLost(entry, rowVersion); });
    });
}

/// Called when the version has already been written. The writer in its history row shows if this change or another one
/// wrote it.
void sheet_service::confirmWriter(const std::shared_ptr<change> &entry)
{
    m_store.readRow(historyPlace(entry->row.version), [this, entry](const row_result &result) {
        const auto winner = decodeIfReadable(result);
        if (winner && *winner == entry->row) {
            answerDone(entry);
        } else if (entry->mayHaveTakenEffect && !winner) {
            entry->request->answer(storeUnreachable(request_outcome::unknown, "commit version"));
        } else {
            answerConflict(entry, winner);
        }
    });
}

/// Answers that this change was not written. The answer names the version in force, which may be later than @p winner,
/// the version that was written instead. If neither can be read, the answer names no version.
void sheet_service::answerConflict(const std::shared_ptr<change> &entry, const std::optional<configuration_row> &winner)
{
    m_store.readRow(configurationPlace(), [entry, winner](const row_result &result) {
        const auto current = decodeIfReadable(result);
        if (const auto known = current ? current : winner) {
            entry->request->answer(versionConflict(*known));
        } else {
            entry->request->answer(storeUnreachable(request_outcome::refused, "compare version"));
        }
    });
}

void sheet_service::answerDone(const std::shared_ptr<change> &entry)
{
    const auto &row = entry->row;
    m_configuration.offer({row.version, row.hash, entry->text});
    entry->request->answer({statusOk,
                            {{"Content-Type", "application/json"}, {"ETag", entityTag(row.version)}},
                            nlohmann::json {{"outcome", "done"}, {"version", row.version}, {"hash", row.hash}}.dump()});
}

} // namespace primrosecroft
