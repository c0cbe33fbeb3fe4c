#pragma once

#include "configuration/sheet.h"

#include <string>
#include <vector>

/// Differences between sheets, and small changes to a sheet's text.
namespace primrosecroft
{

enum class change_kind
{
    added,
    removed,
    changed,
};

/// One difference of two sheets.
struct sheet_change
{
    change_kind kind = change_kind::changed;
    std::string what; ///< such as workers.grangemouth-w01
    std::string before; ///< empty when added
    std::string after; ///< empty when removed

    friend bool operator==(const sheet_change &, const sheet_change &) = default;
};

/// What makes @p after of @p before, in the order of the sheet's parts.
std::vector<sheet_change> differences(const planning_sheet &before, const planning_sheet &after);

/**
 * The text with `draining` of one worker set and everything else, comments too, left
 * as it is. Throws error when the sheet has no such worker or can't be changed so.
 */
std::string withDraining(const std::string &text, const worker_id &worker, bool draining);

} // namespace primrosecroft
