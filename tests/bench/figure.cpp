#include "figure.h"

#include <iomanip>
#include <iostream>

namespace primrosecroft::bench
{

namespace
{

int &overCount()
{
    static int count = 0;
    return count;
}

constexpr int shownDigits = 5;

} // namespace

void printFigure(const std::string &name, double value, const std::string &unit, bound_side side, double bound)
{
    const auto good = side == bound_side::atMost ? value <= bound : value >= bound;
    overCount() += good ? 0 : 1;
    std::cout << std::setprecision(shownDigits) << name << ' ' << value << ' ' << unit << ' '
              << (side == bound_side::atMost ? "<=" : ">=") << bound << ' ' << (good ? "ok" : "over") << '\n';
}

void printFigure(const std::string &name, double value, const std::string &unit)
{
    std::cout << std::setprecision(shownDigits) << name << ' ' << value << ' ' << unit << " - -\n";
}

int figuresOver()
{
    return overCount();
}

} // namespace primrosecroft::bench
