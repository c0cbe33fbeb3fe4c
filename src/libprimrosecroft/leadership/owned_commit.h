#pragma once

#include "store/limited_transaction.h"

/// The entries that each commit of an owner has in addition to its own.
namespace primrosecroft
{

/// Adds the condition of ownership under the fencing token @p token, and the renewal row if @p isRenewal.
void addOwnership(store_transaction &transaction, row_version token, bool isRenewal);

/// Size of the most that addOwnership() adds.
transaction_size ownershipSize();

} // namespace primrosecroft
