#include "control_call.h"

#include "configuration/sheet_change.h"
#include "core/error.h"
#include "core/read_file.h"
#include "io/http_client.h"
#include "io/timer.h"

#include <algorithm>
#include <array>
#include <glib.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace primrosecroft
{

namespace
{

using namespace std::chrono_literals;

constexpr auto callTimeout = 10s;
constexpr auto progressInterval = 1s;
constexpr std::array changeKindNames {"added", "removed", "changed"};

std::string readToken(const std::string &path)
{
    auto token = readFile(path);
    token.erase(token.find_last_not_of("\r\n") + 1);
    return token;
}

/// Replaces control characters of a daemon's text by '?', so that it can't send escape sequences to the terminal.
std::string printable(std::string text)
{
    std::ranges::replace_if(text, [](unsigned char each) { return each < ' ' && each != '\n' && each != '\t'; }, '?');
    return text;
}

} // namespace

http_response callEntry(const control_options &options, const std::string &method, const std::string &path,
                        http_headers headers, const std::string &body, const std::string &contentType)
{
    if (options.entry.empty()) {
        throw error("find entry daemon", "", "expected --entry or PRIMROSECROFT_ENTRY");
    }
    if (!options.tokenFile.empty()) {
        headers.push_back({"Authorization", "Bearer " + readToken(options.tokenFile)});
    }
    http_client http;
    std::optional<http_outcome> outcome;
    timer progress;
    if (isatty(STDERR_FILENO) != 0) {
        progress.every(progressInterval, [] { std::cerr << '.' << std::flush; });
    }
    http.call({method, options.entry + path, std::move(headers), body, contentType, callTimeout, false},
              [&outcome](http_outcome result) { outcome = std::move(result); });
    while (!outcome) {
        g_main_context_iteration(nullptr, TRUE);
    }
    if (const auto *failure = std::get_if<http_failure>(&*outcome)) {
        throw failure->fault;
    }
    return std::get<http_response>(*outcome);
}

bool isSuccess(const http_response &answer)
{
    return answer.status < firstErrorStatus;
}

int reportFailure(const control_options &options, const http_response &answer)
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    const auto outcome = body.is_object() ? body.value("outcome", std::string("refused")) : "refused";
    if (options.asJson || !body.is_object()) {
        std::cerr << printable(answer.body) << '\n';
    } else {
        std::cerr << printable(outcome + ": " + body.value("detail", std::string()) + " (step "
                               + body.value("step", std::string()) + ", status " + std::to_string(answer.status) + ")")
                  << '\n';
    }
    if (answer.status == statusConflict) {
        return exitConflict;
    }
    return outcome == "unknown" ? exitUnknown : exitRefused;
}

nlohmann::json parsedBody(const http_response &answer)
{
    auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (body.is_discarded()) {
        throw error("read answer", "", "expected JSON");
    }
    return body;
}

sheet_in_force fetchSheet(const control_options &options)
{
    const auto answer = callEntry(options, "GET", "/v1/sheet");
    if (answer.status == statusNotFound) {
        return {};
    }
    if (!isSuccess(answer)) {
        throw error("read sheet in force", options.entry, printable(answer.body));
    }
    const auto tag = headerValue(answer.headers, "ETag");
    sheet_in_force result;
    result.version = tag.size() > 2 ? std::stoll(tag.substr(1)) : 0;
    result.text = answer.body;
    result.sheet = readSheet(answer.body, "sheet in force");
    return result;
}

int putSheet(const control_options &options, const std::string &text, const sheet_in_force &against)
{
    http_headers headers {{"If-Match", '"' + std::to_string(against.version) + '"'}};
    if (!options.operatorName.empty()) {
        headers.push_back({"Primrosecroft-Operator", options.operatorName});
    }
    const auto answer = callEntry(options, "PUT", "/v1/sheet", std::move(headers), text, "application/yaml");
    if (isSuccess(answer)) {
        std::cout << (options.asJson ? answer.body
                                     : "in force: version " + std::to_string(parsedBody(answer).value("version", 0)))
                  << '\n';
        return 0;
    }
    const auto status = reportFailure(options, answer);
    if (status == exitConflict) {
        const auto winner = fetchSheet(options);
        std::cerr << "difference between version " << against.version << ", on which the change is based, and version "
                  << winner.version << ", which is in force:\n";
        printDifferences(options, against.sheet, winner.sheet);
    }
    return status;
}

void printDifferences(const control_options &options, const planning_sheet &before, const planning_sheet &after)
{
    const auto changes = differences(before, after);
    if (options.asJson) {
        auto list = nlohmann::json::array();
        for (const auto &each : changes) {
            list.push_back({{"kind", changeKindNames.at(static_cast<std::size_t>(each.kind))},
                            {"what", each.what},
                            {"before", each.before},
                            {"after", each.after}});
        }
        std::cout << nlohmann::json {{"changes", list}}.dump() << '\n';
        return;
    }
    for (const auto &each : changes) {
        std::cout << changeKindNames.at(static_cast<std::size_t>(each.kind)) << ' ' << each.what << '\n';
        if (!each.before.empty()) {
            std::cout << "  - " << each.before << '\n';
        }
        if (!each.after.empty()) {
            std::cout << "  + " << each.after << '\n';
        }
    }
    if (changes.empty()) {
        std::cout << "no difference\n";
    }
}

} // namespace primrosecroft
