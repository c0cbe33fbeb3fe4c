#pragma once

#include "membership/membership.h"
#include "store/store.h"

/// The row by which an entry daemon is found: each writes its own, and again from time to time.
namespace primrosecroft
{

inline constexpr const char *daemonTable = "daemons";

/// A row that is older is of a daemon that has gone.
inline constexpr std::chrono::minutes maxDaemonRowAge {5};

struct daemon_row
{
    listed_vm vm;
    std::chrono::milliseconds writtenAt {0}; ///< on the store's steady clock

    friend bool operator==(const daemon_row &, const daemon_row &) = default;
};

row_place daemonPlace(const std::string &id);
std::string encodeDaemon(const daemon_row &row);

/// Throws error when @p row is no such text.
daemon_row decodeDaemon(const std::string &id, const std::string &row);

} // namespace primrosecroft
