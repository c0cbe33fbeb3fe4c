#pragma once

#include "configuration/sheet.h"
#include "control_commands.h"
#include "io/http.h"

#include <nlohmann/json_fwd.hpp>

namespace primrosecroft
{

/// Sends one request to the entry daemon and waits for the whole answer. Throws error if there is none in time, if no
/// entry daemon was named, or if the token file can't be read.
http_response callEntry(const control_options &options, const std::string &method, const std::string &path,
                        http_headers headers = {}, const std::string &body = {}, const std::string &contentType = {});

bool isSuccess(const http_response &answer);

/// Prints on standard error why a request was refused, or that its outcome is unknown. Returns the exit status.
int reportFailure(const control_options &options, const http_response &answer);

/// Returns the parsed body of an answer. Throws error if it isn't JSON.
nlohmann::json parsedBody(const http_response &answer);

/// The sheet in force and its version. Version 0 and an empty sheet if there hasn't been one yet.
struct sheet_in_force
{
    std::int64_t version = 0;
    std::string text;
    planning_sheet sheet;
};

/// Reads the sheet in force. Throws error if the entry daemon refuses the request.
sheet_in_force fetchSheet(const control_options &options);

/// Puts @p text in force if @p against is still the version in force, and prints the result. On a conflict it also
/// prints how the version in force differs from @p against. Returns the exit status.
int putSheet(const control_options &options, const std::string &text, const sheet_in_force &against);

/// Prints the differences as text lines or as JSON.
void printDifferences(const control_options &options, const planning_sheet &before, const planning_sheet &after);

} // namespace primrosecroft
