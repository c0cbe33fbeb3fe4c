#pragma once

#include "burn_report.h"

namespace primrosecroft
{

/// Draws the report as bars on a logarithmic scale; the file's ending chooses .png or .svg. Throws error.
void drawPicture(const burn_report &report, const std::string &path);

} // namespace primrosecroft
