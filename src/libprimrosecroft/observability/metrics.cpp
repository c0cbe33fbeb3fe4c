#include "observability/metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace primrosecroft
{

namespace
{

constexpr std::size_t maxLabelValues = 64;

} // namespace

struct metrics::parts
{
    /// Returns the value, or `other` if it is new and the metric has reached maxLabelValues.
    std::string boundedLabelValue(const std::string &name, const std::string &value)
    {
        auto &known = values[name];
        if (!known.contains(value) && known.size() >= maxLabelValues) {
            return "other";
        }
        return *known.insert(value).first;
    }

    prometheus::Registry registry;
    std::map<std::string, std::set<std::string>> values; ///< known values of the label, by metric
};

namespace
{

const prometheus::Histogram::BucketBoundaries &durationBuckets()
{
    static const prometheus::Histogram::BucketBoundaries seconds {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                                  0.25,  0.5,    1,     2.5,  5,     10,   30};
    return seconds;
}

} // namespace

metrics::metrics()
    : m_parts(std::make_unique<parts>())
{
}

metrics::~metrics() = default;

void metrics::count(const std::string &name, const std::string &label, const std::string &value, double amount)
{
    prometheus::BuildCounter()
        .Name(name)
        .Register(m_parts->registry)
        .Add({{label, m_parts->boundedLabelValue(name, value)}})
        .Increment(amount);
}

void metrics::set(const std::string &name, double value)
{
    prometheus::BuildGauge().Name(name).Register(m_parts->registry).Add({}).Set(value);
}

void metrics::observe(const std::string &name, const std::string &label, const std::string &value,
                      std::chrono::microseconds took)
{
    prometheus::BuildHistogram()
        .Name(name)
        .Register(m_parts->registry)
        .Add({{label, m_parts->boundedLabelValue(name, value)}}, durationBuckets())
        .Observe(std::chrono::duration<double>(took).count());
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_parts->registry.Collect());
}

} // namespace primrosecroft
