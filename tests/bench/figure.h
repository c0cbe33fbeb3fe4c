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
 * Prints one line, `name value unit bound ok|over`. Bounds are stated targets, never
 * what a run happened to give.
 */
void printFigure(const std::string &name, double value, const std::string &unit, bound_side side, double bound);

/// A figure without a target: `name value unit - -`.
void printFigure(const std::string &name, double value, const std::string &unit);

/// How many figures were over their bounds so far; a driver's exit status.
int figuresOver();

} // namespace primrosecroft::bench
