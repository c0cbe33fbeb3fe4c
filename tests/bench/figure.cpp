#include "figure.h"

#include <iomanip>
#include <iostream>

namespace primrosecroft::bench
{

namespace
{

int &outOfBoundsCount()
{
    static int count = 0;
    return count;
}

constexpr int printedDigits = 5;

} // namespace

void printFigure(const std::string &name, double value, const std::string &unit, bound_side side, double bound)
{
    const auto isWithinBound = side == bound_side::atMost ? value <= bound : value >= bound;
    outOfBoundsCount() += isWithinBound ? 0 : 1;
    std::cout << std::setprecision(printedDigits) << name << ' ' << value << ' ' << unit << ' '
              << (side == bound_side::atMost ? "<=" : ">=") << bound << ' ' << (isWithinBound ? "ok" : "over") << '\n';
}

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::cout << std::setprecision(printedDigits) << name << ' ' << value << ' ' << unit << " - -\n";
}

int figuresOutOfBounds()
{
    return outOfBoundsCount();
}

} // namespace primrosecroft::bench
