#include "leadership/owned_commit.h"

#include "leadership/leadership.h"

namespace primrosecroft
{

void addOwnership(store_transaction &transaction, row_version token, bool isRenewal)
{
    transaction.conditions.push_back({ownerPlace(), token});
    if (isRenewal) {
        transaction.writes.push_back({renewalPlace(), "1"});
    }
}

transaction_size ownershipSize()
{
    store_transaction transaction;
    addOwnership(transaction, 0, true);
    return sizeOf(transaction);
}

} // namespace primrosecroft
