#pragma once

#include <string>

namespace primrosecroft::bench
{

/// Which side of its bound a figure has to stay on.
enum class bound_side
{
    atMost,
    atLeast,
};

/**
 * Prints one line, `name value unit bound ok|over`. Bounds are stated targets, not the results of earlier runs.
 */
void printFigure(const std::string &name, double value, const std::string &unit, bound_side side, double bound);

/// Prints a figure without a target: `name value unit - -`.
void printFigure(const std::string &name, double value, const std::string &unit);

/// Returns how many figures so far were on the wrong side of their bounds. A benchmark fails if there are any.
int figuresOutOfBounds();

} // namespace primrosecroft::bench
