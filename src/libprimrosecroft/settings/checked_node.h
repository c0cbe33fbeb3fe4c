#pragma once

#include "core/error.h"

#include <chrono>
#include <cstdint>
#include <functional>
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

/// A fault at one place of a document; lines and columns count from 1.
class document_fault : public error
{
public:
    document_fault(const std::string &file, int line, int column, const std::string &reason);

    int line() const
    {
        return m_line;
    }

    int column() const
    {
        return m_column;
    }

private:
    int m_line;
    int m_column;
};

/**
 * A place in a YAML or JSON document that is read with checks. Each fault is
 * thrown as document_fault naming file, line, column, key and what was expected.
 * Below a collectingFaults() node, required(), optional() and allowKeys() keep the faults
 * instead, and throwFaults() throws all of them as one error.
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

    using reader = std::function<void(const checked_node &child)>;

    /// This place, with the faults below it kept until throwFaults().
    checked_node collectingFaults() const;

    /// Throws error with all faults that were kept, in the document's order, a line each.
    void throwFaults() const;

    /// Reads the child under @p key, which has to be there.
    void required(std::string_view key, const reader &read) const;

    /// Reads the child under @p key if there is one.
    void optional(std::string_view key, const reader &read) const;

    /// Reads each child of a map under its name; names are checked as name() does.
    void children(const std::function<void(const std::string &name, const checked_node &child)> &read) const;

    /// Runs a check on what was read; its fault is kept or thrown.
    void runCheck(const std::function<void()> &check) const;

    bool has(std::string_view key) const;
    checked_node at(std::string_view key) const;
    std::vector<checked_node> items() const;
    std::vector<std::string> keys() const;

    /// Throws unless this is a map and each of its keys is among @p allowed and stands there once.
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

    /// Text that names something: 1 to @p maxLength letters, digits and . _ - only.
    std::string name(std::size_t maxLength = 64) const;

    [[noreturn]] void fail(const std::string &expected) const;

private:
    using fault_list = std::shared_ptr<std::vector<document_fault>>;

    checked_node(std::shared_ptr<const YAML::Node> node, std::string file, std::string path, fault_list faults);
    checked_node child(const YAML::Node &node, const std::string &path) const;
    std::string pathOf(const std::string &key) const;
    void refuseRepeatedKeys() const;

    std::shared_ptr<const YAML::Node> m_node;
    std::string m_file;
    std::string m_path;
    fault_list m_faults; ///< none when each fault is thrown at once
};

} // namespace primrosecroft
