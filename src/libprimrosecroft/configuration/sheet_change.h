#pragma once

#include "configuration/sheet.h"

#include <string>
#include <vector>

/// Differences between sheets, and changes to a sheet's text.
namespace primrosecroft
{

enum class change_kind
{
    added,
    removed,
    changed,
};

/// One difference between two sheets.
struct sheet_change
{
    change_kind kind = change_kind::changed;
    std::string what; ///< path of the changed part, such as workers.grangemouth-w01
    std::string before; ///< empty when added
    std::string after; ///< empty when removed

    friend bool operator==(const sheet_change &, const sheet_change &) = default;
};

/// The changes that lead from @p before to @p after, in the order of the sheet's parts. Of the policy, only
/// packingWeight and spreadWeight are compared.
std::vector<sheet_change> differences(const planning_sheet &before, const planning_sheet &after);

/**
 * Returns the sheet's text with `draining` of one worker set, and everything else, comments too, unchanged. Throws
 * error if the sheet has no such worker, or if its form doesn't allow the change.
 */
std::string withDraining(const std::string &text, const worker_id &worker, bool draining);

} // namespace primrosecroft
