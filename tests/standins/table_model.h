#pragma once

#include "platform/platform_client.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// The platform's transactional table, without I/O. Shared by the stand-in process and the tests.
namespace primrosecroft::standins
{

struct stored_row
{
    std::int64_t version = 0;
    std::string value;
};

struct table_model
{
    std::map<std::string, stored_row> rows;
    std::int64_t lastVersion = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// All writes of the transaction or none; the new versions when it was committed.
std::optional<std::vector<std::int64_t>> commit(table_model &table, const table_transaction &transaction);

std::vector<table_row> list(const table_model &table, const std::string &prefix, const std::string &after,
                            std::size_t limit);

} // namespace primrosecroft::standins
