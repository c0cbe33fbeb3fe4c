#pragma once

#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>

namespace primrosecroft
{

/// A version of the configuration as it is offered by the table or a peer.
struct configuration_version
{
    std::int64_t version = 0;
    std::string hash; ///< SHA-256 of the sheet's text, its name in the object store
    std::string text;

    friend bool operator==(const configuration_version &, const configuration_version &) = default;
};

/// The table's row that names the version in force.
struct configuration_row
{
    std::int64_t version = 0;
    std::string hash;
    std::string writer; ///< tells one's own write from another's when its answer was lost

    friend bool operator==(const configuration_row &, const configuration_row &) = default;
};

/// The row that names the version in force.
row_place configurationPlace();

/// What was in force under an earlier version, and by whom.
row_place historyPlace(std::int64_t version);

std::string toJson(const configuration_row &row);

/// Throws error when @p text is not such a row.
configuration_row configurationRowFromJson(const std::string &text);

/// Whether @p offered goes into force over @p current: versions only grow, and the text must match its hash.
bool supersedes(const configuration_version &offered, const std::optional<configuration_version> &current);

} // namespace primrosecroft
