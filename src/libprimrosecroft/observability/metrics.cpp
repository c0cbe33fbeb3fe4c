#include "observability/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace primrosecroft
{

struct metrics::parts
{
    prometheus::Registry registry;
};

namespace
{

const prometheus::Histogram::BucketBoundaries &waitingBuckets()
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
    prometheus::BuildCounter().Name(name).Register(m_parts->registry).Add({{label, value}}).Increment(amount);
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
        .Add({{label, value}}, waitingBuckets())
        .Observe(std::chrono::duration<double>(took).count());
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_parts->registry.Collect());
}

} // namespace primrosecroft
