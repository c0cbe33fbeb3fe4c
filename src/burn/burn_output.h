#pragma once

#include "burn_report.h"

namespace primrosecroft
{

/// Formats the report as a table. Below each row, lines name the daemons with missing scrapes or reset counters.
std::string toText(const burn_report &report);

std::string toJson(const burn_report &report);

} // namespace primrosecroft
