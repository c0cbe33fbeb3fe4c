#pragma once

#include <array>
#include <cstddef>

/// A distribution of values of which newer ones weigh more, in bounded space.
namespace primrosecroft
{

/// Values are held as binary logarithms, in bins of equal width. A value outside of the bins counts for the nearest
/// one.
struct duration_sketch
{
    static constexpr std::size_t binCount = 80;
    static constexpr double binsPerOctave = 4;

    std::array<float, binCount> bins {};
    float total = 0; ///< sum of the bins
    float newest = 1; ///< weight of a whole value that is added next; grows, so that older values weigh less
};

/// Quantiles of a distribution, as binary logarithms.
struct sketch_quantiles
{
    double early = 0; ///< one value in ten is smaller
    double median = 0;
    double late = 0; ///< nine values in ten are smaller
};

/// Adds a value, given above the lower end of the bins, with a weight from 0 to 1.
void add(duration_sketch &sketch, double position, double weight);

/// Adds a value of which only a lower bound is known: its weight goes to the bins above, in proportion to what they
/// hold, or to the bin just above @p position if they hold nothing.
void addAbove(duration_sketch &sketch, double position, double weight);

/// Number of whole values that the sketch holds, of which older ones count in part.
double evidence(const duration_sketch &sketch);

/// Returns the quantiles above the lower end of the bins. The sketch must not be empty.
sketch_quantiles quantilesOf(const duration_sketch &sketch);

} // namespace primrosecroft
