#pragma once

#include "burn_report.h"

namespace primrosecroft
{

/// Draws the report as bars on a logarithmic scale. The extension of @p path selects the format, .png or .svg. Throws
/// error for another extension or if the file can't be written.
void drawPicture(const burn_report &report, const std::string &path);

} // namespace primrosecroft
