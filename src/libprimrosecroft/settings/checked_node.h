#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace YAML
{
class Node;
}

namespace primrosecroft
{

/**
 * A place in a YAML or JSON document that is read with checks. Each fault is
 * thrown as error naming file, line, column, key and what was expected.
 *
 * Aliases are refused, and nesting is bounded, so that a small document cannot
 * stand for a huge one.
 */
class checked_node
{
public:
    /// Parses YAML text. @p name is the file's name in errors.
    static checked_node parse(const std::string &text, const std::string &name);

    /// Parses strict JSON text, read afterwards by the same checks.
    static checked_node parseJson(const std::string &text, const std::string &name);

    bool has(std::string_view key) const;
    checked_node at(std::string_view key) const;
    std::vector<checked_node> items() const;
    std::vector<std::string> keys() const;

    /// Throws unless this is a map and each of its keys is among @p allowed.
    void allowKeys(std::initializer_list<std::string_view> allowed) const;

    std::string text() const;
    std::int64_t integer(std::int64_t low, std::int64_t high) const;
    double number(double low, double high) const;
    bool boolean() const;

    /// A duration with its unit: 250ms, 3s, 5min, 2h.
    std::chrono::milliseconds time(std::chrono::milliseconds low, std::chrono::milliseconds high) const;

    /// An amount of memory with its unit: 512MiB, 64GiB. In MiB.
    std::int64_t memoryMib() const;

    /// One of @p allowed.
    std::string choice(std::initializer_list<std::string_view> allowed) const;

    /// Text that names something: 1 to @p longest letters, digits and . _ - only.
    std::string name(std::size_t longest = 64) const;

    [[noreturn]] void fail(const std::string &expected) const;

private:
    checked_node(std::shared_ptr<const YAML::Node> node, std::string file, std::string path);

    std::shared_ptr<const YAML::Node> m_node;
    std::string m_file;
    std::string m_path;
};

} // namespace primrosecroft
