#pragma once

#include "store/store.h"

#include <cstddef>

/// The size of transactions, which the platform limits.
namespace primrosecroft
{

struct transaction_size
{
    std::size_t entries = 0; ///< conditions, writes and removals together
    std::size_t bytes = 0; ///< upper bound on their encoded length

    friend transaction_size operator+(const transaction_size &left, const transaction_size &right)
    {
        return {left.entries + right.entries, left.bytes + right.bytes};
    }
};

transaction_size sizeOf(const store_transaction &transaction);

/// Returns whether the store takes a transaction of this size in one call.
bool fitsOneCall(const transaction_size &size);

/// A transaction that is made of parts, as long as the store takes them in one call.
class limited_transaction
{
public:
    /// Keeps room for entries of the size @p reserved, which are added later.
    explicit limited_transaction(const transaction_size &reserved);

    /// Adds the entries of @p part and returns true, or adds none and returns false if they don't fit.
    bool add(const store_transaction &part);

    /// Returns whether @p part would fit if it were the only one.
    bool fitsAlone(const store_transaction &part) const;

    const store_transaction &entries() const; ///< the parts so far, without what is reserved

private:
    store_transaction m_entries;
    transaction_size m_reserved;
    transaction_size m_size;
};

} // namespace primrosecroft
