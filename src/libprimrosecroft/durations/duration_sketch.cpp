#include "durations/duration_sketch.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>

namespace primrosecroft
{

namespace
{

/// Values after which an older one weighs half.
constexpr double halfLife = 16;
constexpr float maxNewest = 1e6F; ///< beyond it all weights are scaled down, so that they stay in a float's range

std::size_t binAt(double position)
{
    const auto bin = std::floor(position * duration_sketch::binsPerOctave);
    return static_cast<std::size_t>(std::clamp(bin, 0.0, static_cast<double>(duration_sketch::binCount - 1)));
}

void scaleDown(duration_sketch &sketch)
{
    for (auto &bin : sketch.bins) {
        bin /= sketch.newest;
    }
    sketch.total = std::accumulate(sketch.bins.begin(), sketch.bins.end(), 0.0F);
    sketch.newest = 1;
}

/// Makes room for a value of this weight by letting the older ones weigh less. Returns what to add to the bins.
float weightOfNext(duration_sketch &sketch, double weight)
{
    sketch.newest *= static_cast<float>(std::exp2(weight / halfLife));
    if (sketch.newest > maxNewest) {
        scaleDown(sketch);
    }
    return sketch.newest * static_cast<float>(weight);
}

/// Returns the position below which @p share of all weight lies. Assumes that values are spread evenly in each bin.
class quantile_reader
{
public:
    explicit quantile_reader(const duration_sketch &sketch)
        : m_sketch(sketch)
    {
    }

    /// @p share must not be smaller than at the call before.
    double at(float share)
    {
        const auto wanted = share * m_sketch.total;
        while (m_bin + 1 < duration_sketch::binCount && m_below + m_sketch.bins[m_bin] < wanted) {
            m_below += m_sketch.bins[m_bin++];
        }
        const auto held = m_sketch.bins[m_bin];
        const auto part = held > 0 ? std::clamp((wanted - m_below) / held, 0.0F, 1.0F) : 0.5F;
        return (static_cast<double>(m_bin) + part) / duration_sketch::binsPerOctave;
    }

private:
    const duration_sketch &m_sketch;
    std::size_t m_bin = 0;
    float m_below = 0; ///< weight of the bins before m_bin
};

} // namespace

void add(duration_sketch &sketch, double position, double weight)
{
    const auto added = weightOfNext(sketch, weight);
    sketch.bins[binAt(position)] += added;
    sketch.total += added;
}

void addAbove(duration_sketch &sketch, double position, double weight)
{
    const auto first = std::min(binAt(position) + 1, duration_sketch::binCount - 1);
    const auto above = std::span(sketch.bins).subspan(first);
    const auto held = std::accumulate(above.begin(), above.end(), 0.0F);
    const auto added = weightOfNext(sketch, weight);
    if (held <= 0) {
        above.front() += added;
    } else {
        for (auto &bin : above) {
            bin += added * bin / held;
        }
    }
    sketch.total += added;
}

double evidence(const duration_sketch &sketch)
{
    return static_cast<double>(sketch.total) / static_cast<double>(sketch.newest);
}

sketch_quantiles quantilesOf(const duration_sketch &sketch)
{
    quantile_reader reader(sketch);
    sketch_quantiles result;
    result.early = reader.at(0.1F);
    result.median = reader.at(0.5F);
    result.late = reader.at(0.9F);
    return result;
}

} // namespace primrosecroft
