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

/// An error at one place of a document. Lines and columns count from 1.
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
 * A node of a YAML or JSON document that validates what is read from it. Each fault is thrown as a document_fault that
 * names the file, line, column and key, and what was expected. On a collectingFaults() node and its children,
 * required(), optional(), children(), allowKeys() and runCheck() collect the faults instead, and throwFaults() throws
 * all of them as one error.
 *
 * Aliases are refused and the nesting depth is limited, so that a small document can't expand to a huge one.
 */
class checked_node
{
public:
    /// Parses YAML text. @p name is the file's name in errors. Throws error if the text can't be parsed.
    static checked_node parse(const std::string &text, const std::string &name);

    /// Parses strict JSON text. Its nodes are read with the same checks.
    static checked_node parseJson(const std::string &text, const std::string &name);

    using reader = std::function<void(const checked_node &child)>;

    /// Returns this node with faults in it and its children collected until throwFaults().
    checked_node collectingFaults() const;

    /// Throws one error with all collected faults in the document's order, one on each line. Returns if there are none.
    void throwFaults() const;

    /// Reads the child under @p key; a missing key is a fault.
    void required(std::string_view key, const reader &read) const;

    /// Reads the child under @p key if the key exists.
    void optional(std::string_view key, const reader &read) const;

    /// Reads each child of a map. Keys must be names as in name().
    void children(const std::function<void(const std::string &name, const checked_node &child)> &read) const;

    /// Runs @p check; a document_fault from it is collected, or thrown if faults aren't collected.
    void runCheck(const std::function<void()> &check) const;

    /// False also if this is not a map.
    bool has(std::string_view key) const;

    /// The child under @p key; a missing key is a fault.
    checked_node at(std::string_view key) const;

    /// The entries of a list.
    std::vector<checked_node> items() const;

    /// The keys of a map, in the document's order.
    std::vector<std::string> keys() const;

    /// Checks that this is a map, that each of its keys is in @p allowed, and that none occurs twice.
    void allowKeys(std::initializer_list<std::string_view> allowed) const;

    /// The value as a string, which may be empty.
    std::string text() const;

    /// The value as a whole number or a number from @p low to @p high, both included.
    std::int64_t integer(std::int64_t low, std::int64_t high) const;
    double number(double low, double high) const;

    /// The value, which must be true or false.
    bool boolean() const;

    /// A duration with its unit, such as 250ms, 3s, 5min or 2h, from @p low to @p high.
    std::chrono::milliseconds time(std::chrono::milliseconds low, std::chrono::milliseconds high) const;

    /// An amount of memory with its unit, such as 512MiB or 64GiB; returned in MiB.
    std::int64_t memoryMib() const;

    /// One of @p allowed.
    std::string choice(std::initializer_list<std::string_view> allowed) const;

    /// A name: 1 to @p maxLength characters, only ASCII letters, digits and . _ -
    std::string name(std::size_t maxLength = 64) const;

    /// Throws a document_fault at this node's place; its text ends in "expected" and @p expected.
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
    fault_list m_faults; ///< nullptr if each fault is thrown at once
};

} // namespace primrosecroft
