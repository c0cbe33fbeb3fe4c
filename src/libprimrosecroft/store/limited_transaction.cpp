#include "store/limited_transaction.h"

#include <algorithm>

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxEntries = 100; ///< of one call; a limit of the platform
constexpr std::size_t maxBytes = 1'000'000; ///< likewise
constexpr std::size_t bytesPerEntry = 100; ///< more than the names of an entry's fields, its version and separators
constexpr std::size_t maxBytesPerCharacter = 6; ///< of a name, if the character has to be escaped

std::size_t bytesOf(const row_place &place)
{
    return bytesPerEntry + maxBytesPerCharacter * (place.table.size() + place.partition.size() + place.key.size());
}

/// Values are sent as text that has four characters for each three bytes.
std::size_t bytesOf(const row_write &write)
{
    return bytesOf(write.place) + (write.value.size() + 2) / 3 * 4;
}

} // namespace

transaction_size sizeOf(const store_transaction &transaction)
{
    transaction_size size;
    size.entries = transaction.conditions.size() + transaction.writes.size() + transaction.removals.size();
    std::ranges::for_each(transaction.conditions, [&size](const auto &each) { size.bytes += bytesOf(each.place); });
    std::ranges::for_each(transaction.writes, [&size](const auto &each) { size.bytes += bytesOf(each); });
    std::ranges::for_each(transaction.removals, [&size](const auto &each) { size.bytes += bytesOf(each); });
    return size;
}

bool fitsOneCall(const transaction_size &size)
{
    return size.entries <= maxEntries && size.bytes <= maxBytes;
}

limited_transaction::limited_transaction(const transaction_size &reserved)
    : m_reserved(reserved)
    , m_size(reserved)
{
}

bool limited_transaction::add(const store_transaction &part)
{
    const auto size = m_size + sizeOf(part);
    if (!fitsOneCall(size)) {
        return false;
    }
    m_size = size;
    std::ranges::copy(part.conditions, std::back_inserter(m_entries.conditions));
    std::ranges::copy(part.writes, std::back_inserter(m_entries.writes));
    std::ranges::copy(part.removals, std::back_inserter(m_entries.removals));
    return true;
}

bool limited_transaction::fitsAlone(const store_transaction &part) const
{
    return fitsOneCall(m_reserved + sizeOf(part));
}

const store_transaction &limited_transaction::entries() const
{
    return m_entries;
}

} // namespace primrosecroft
