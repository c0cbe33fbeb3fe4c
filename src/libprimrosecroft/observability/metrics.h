#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace primrosecroft
{

/// A process's own measures, shown in Prometheus' text format. Past 64 values of a label, further ones count as
/// `other`.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Adds to the counter @p name with the one label @p label=@p value.
    void count(const std::string &name, const std::string &label, const std::string &value, double amount = 1);
    void set(const std::string &name, double value);
    void observe(const std::string &name, const std::string &label, const std::string &value,
                 std::chrono::microseconds took);

    std::string text() const;

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace primrosecroft
