#pragma once

#include "configuration/sheet.h"
#include "control_commands.h"
#include "io/http.h"

#include <nlohmann/json_fwd.hpp>

namespace primrosecroft
{

/// One request to the entry daemon; waits for the whole answer. Throws error when none came.
http_response callEntry(const control_options &options, const std::string &method, const std::string &path,
                        http_headers headers = {}, const std::string &body = {}, const std::string &contentType = {});

bool isSuccess(const http_response &answer);

/// Tells a refusal on standard error and gives its exit status.
int reportFailure(const control_options &options, const http_response &answer);

/// The body of a good answer. Throws error when it is not JSON.
nlohmann::json parsedBody(const http_response &answer);

/// A sheet in force and its version; version 0 and an empty sheet before the first.
struct sheet_in_force
{
    std::int64_t version = 0;
    std::string text;
    planning_sheet sheet;
};

/// Throws error when the entry daemon refuses to show it.
sheet_in_force fetchSheet(const control_options &options);

/// Puts @p text in force over @p against and tells what came of it; gives the exit status.
int putSheet(const control_options &options, const std::string &text, const sheet_in_force &against);

/// Differences as text lines or JSON.
void printDifferences(const control_options &options, const planning_sheet &before, const planning_sheet &after);

} // namespace primrosecroft
