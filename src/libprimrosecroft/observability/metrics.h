#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace primrosecroft
{

/**
 * The metrics of one process, exported in the text format of Prometheus. Each metric keeps at most 64 values of its
 * label; further values are counted as `other`.
 */
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Adds to the counter @p name with the one label @p label=@p value.
    void count(const std::string &name, const std::string &label, const std::string &value, double amount = 1);

    /// Sets the gauge @p name, which has no label.
    void set(const std::string &name, double value);

    /// Adds one duration to the histogram @p name, whose buckets are in seconds.
    void observe(const std::string &name, const std::string &label, const std::string &value,
                 std::chrono::microseconds took);

    /// Returns all metrics in the text format of Prometheus.
    std::string text() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
