#include "table_model.h"

#include <algorithm>
#include <ranges>

namespace primrosecroft::standins
{

std::optional<std::vector<std::int64_t>> commit(table_model &table, const table_transaction &transaction)
{
    const auto holds = [&table](const table_write &write) {
        const auto found = table.rows.find(write.key);
        const auto version = found == table.rows.end() ? table_write::noRow : found->second.version;
        return write.ifVersion == table_write::anyVersion || write.ifVersion == version;
    };
    if (!std::ranges::all_of(transaction, holds)) {
        return std::nullopt;
    }
    std::vector<std::int64_t> versions;
    for (const auto &write : transaction) {
        versions.push_back(++table.lastVersion);
        if (write.value) {
            table.rows[write.key] = {table.lastVersion, *write.value};
        } else {
            table.rows.erase(write.key);
        }
    }
    return versions;
}

std::vector<table_row> list(const table_model &table, const std::string &prefix, const std::string &after,
                            std::size_t limit)
{
    std::vector<table_row> result;
    for (auto each = table.rows.upper_bound(std::max(prefix, after)); each != table.rows.end(); ++each) {
        if (!each->first.starts_with(prefix) || result.size() >= limit) {
            break;
        }
        result.push_back({each->first, each->second.version, each->second.value});
    }
    return result;
}

} // namespace primrosecroft::standins
