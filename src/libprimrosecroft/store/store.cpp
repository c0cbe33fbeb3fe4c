#include "store/store.h"

#include <algorithm>

namespace primrosecroft
{

const char *toString(store_outcome outcome)
{
    switch (outcome) {
    case store_outcome::done:
        return "done";
    case store_outcome::conflict:
        return "conflict";
    case store_outcome::refused:
        return "refused";
    case store_outcome::lost:
        return "lost";
    }
    return "";
}

row_range rangeOf(const row_place &place)
{
    return {place.table, place.partition, place.key, keyAfter(place.key), 1};
}

std::string keyAfter(const std::string &key)
{
    return key + '\x01'; // keys hold no character below this one
}

row_version versionOf(const std::vector<store_row> &rows, const row_place &place)
{
    const auto found = std::ranges::find(rows, place, &store_row::place);
    return found == rows.end() ? row_condition::absent : found->version;
}

} // namespace primrosecroft
