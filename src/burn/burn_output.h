#pragma once

#include "burn_report.h"

namespace primrosecroft
{

/// A table for people, a line a row, with what was not seen below its row.
std::string toText(const burn_report &report);

std::string toJson(const burn_report &report);

} // namespace primrosecroft
