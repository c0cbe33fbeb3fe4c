#pragma once

#include "store/store.h"

#include <cstdint>
#include <optional>
#include <string>

namespace primrosecroft
{

/// A version of the configuration with its body, the sheet's text.
struct configuration_version
{
    std::int64_t version = 0; ///< counts from 1
    std::string hash; ///< SHA-256 of the text, and its name in the object store
    std::string text;

    friend bool operator==(const configuration_version &, const configuration_version &) = default;
};

/// A row of the configuration table. One row names the version in force, and each version has a history row.
struct configuration_row
{
    std::int64_t version = 0; ///< counts from 1
    std::string hash; ///< as in configuration_version
    std::string writer; ///< unique for each change; identifies one's own write after its answer was lost

    friend bool operator==(const configuration_row &, const configuration_row &) = default;
};

/// Place of the row that names the version in force.
row_place configurationPlace();

/// Place of the row that keeps the hash and the writer of a version.
row_place historyPlace(std::int64_t version);

std::string toJson(const configuration_row &row);

/// Throws error if @p text is not such a row.
configuration_row configurationRowFromJson(const std::string &text);

/// True if @p offered replaces @p current: its version must be higher, because versions only grow, and its text must
/// match its hash.
bool supersedes(const configuration_version &offered, const std::optional<configuration_version> &current);

} // namespace primrosecroft
