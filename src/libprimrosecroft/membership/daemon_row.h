#pragma once

#include "membership/membership.h"
#include "store/store.h"

/// The store's row by which entry daemons find each other. Each daemon writes its own row and renews it at intervals.
namespace primrosecroft
{

inline constexpr const char *daemonTable = "daemons";

/// A daemon whose row is older counts as ended.
inline constexpr std::chrono::minutes maxDaemonRowAge {5};

struct daemon_row
{
    listed_vm vm;
    std::chrono::milliseconds writtenAt {0}; ///< on the store's steady clock

    friend bool operator==(const daemon_row &, const daemon_row &) = default;
};

row_place daemonPlace(const std::string &id);
std::string encodeDaemon(const daemon_row &row);

/// Throws error if @p row is not the text of such a row.
daemon_row decodeDaemon(const std::string &id, const std::string &row);

} // namespace primrosecroft
