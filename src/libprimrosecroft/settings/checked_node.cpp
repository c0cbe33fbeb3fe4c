#include "settings/checked_node.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ranges>
#include <set>
#include <sstream>
#include <tuple>
#include <utility>
#include <yaml-cpp/anchor.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace primrosecroft
{

namespace
{

constexpr int maxNestingDepth = 24;
constexpr std::size_t maxCollectedFaults = 200;
constexpr std::size_t maxDocumentBytes = std::size_t {8} * 1024 * 1024;

/// Refuses aliases and deep nesting while the text is parsed, before a tree of nodes is built in memory.
class event_guard : public YAML::EventHandler
{
public:
    explicit event_guard(std::string file)
        : m_file(std::move(file))
    {
    }

    void OnDocumentStart(const YAML::Mark &mark) override
    {
        // At a stray token, such as a leading comma, the parser starts a new document without consuming the token, and
        // would do so forever.
        if (std::exchange(m_hasDocument, true)) {
            refuse(mark, "expected one document");
        }
    }

    void OnDocumentEnd() override
    {
    }

    void OnNull(const YAML::Mark & /*mark*/, YAML::anchor_t /*anchor*/) override
    {
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        refuse(mark, "aliases are not allowed");
    }

    void OnScalar(const YAML::Mark & /*mark*/, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string & /*value*/) override
    {
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        enter(mark);
    }

    void OnSequenceEnd() override
    {
        --m_depth;
    }

    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        enter(mark);
    }

    void OnMapEnd() override
    {
        --m_depth;
    }

private:
    void enter(const YAML::Mark &mark)
    {
        if (++m_depth > maxNestingDepth) {
            refuse(mark, "nested too deeply");
        }
    }

    [[noreturn]] void refuse(const YAML::Mark &mark, const std::string &reason) const
    {
        throw document_fault(m_file, mark.line + 1, mark.column + 1, ": " + reason);
    }

    std::string m_file;
    int m_depth = 0;
    bool m_hasDocument = false;
};

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '.' || character == '_' || character == '-';
}

/// Returns false unless the whole text is a number that fits into the type of @p result.
template<typename value>
bool parseNumber(std::string_view text, value &result)
{
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), result);
    return status == std::errc {} && end == text.data() + text.size();
}

} // namespace

document_fault::document_fault(const std::string &file, int line, int column, const std::string &reason)
    : error("read " + file, "", "line " + std::to_string(line) + ", column " + std::to_string(column) + reason)
    , m_line(line)
    , m_column(column)
{
}

checked_node::checked_node(std::shared_ptr<const YAML::Node> node, std::string file, std::string path,
                           fault_list faults)
    : m_node(std::move(node))
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_faults(std::move(faults))
{
}

checked_node checked_node::child(const YAML::Node &node, const std::string &path) const
{
    return {std::make_shared<const YAML::Node>(node), m_file, path, m_faults};
}

std::string checked_node::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + '.' + key;
}

checked_node checked_node::collectingFaults() const
{
    return {m_node, m_file, m_path, std::make_shared<std::vector<document_fault>>()};
}

void checked_node::throwFaults() const
{
    if (!m_faults || m_faults->empty()) {
        return;
    }
    std::ranges::sort(*m_faults, {}, [](const document_fault &fault) {
        return std::tuple(fault.line(), fault.column(), std::string(fault.what()));
    });
    const auto &step = m_faults->front().step();
    std::string reason;
    for (const auto &fault : *m_faults) {
        const std::string text = fault.what();
        // `error` puts the step in front of the first line. The other lines repeat it, so that each is complete.
        reason += reason.empty() ? text.substr(step.size() + 2) : '\n' + text;
    }
    if (m_faults->size() == maxCollectedFaults) {
        reason += "\n" + step + ": more faults are not shown";
    }
    throw error(step, "", reason);
}

void checked_node::runCheck(const std::function<void()> &check) const
{
    if (!m_faults) {
        check();
        return;
    }
    try {
        check();
    } catch (const document_fault &fault) {
        if (m_faults->size() < maxCollectedFaults) {
            m_faults->push_back(fault);
        }
    }
}

void checked_node::required(std::string_view key, const reader &read) const
{
    runCheck([&] { read(at(key)); });
}

void checked_node::optional(std::string_view key, const reader &read) const
{
    if (has(key)) {
        required(key, read);
    }
}

void checked_node::children(const std::function<void(const std::string &name, const checked_node &child)> &read) const
{
    refuseRepeatedKeys();
    for (const auto &entry : *m_node) {
        runCheck([&] {
            const auto key = child(entry.first, pathOf("name")).name();
            read(key, child(entry.second, pathOf(key)));
        });
    }
}

checked_node checked_node::parse(const std::string &text, const std::string &name)
{
    if (text.size() > maxDocumentBytes) {
        throw error("read " + name, "", "larger than " + std::to_string(maxDocumentBytes) + " bytes");
    }
    try {
        std::istringstream stream(text);
        YAML::Parser parser(stream);
        event_guard guard(name);
        while (parser.HandleNextDocument(guard)) {
        }
        return {std::make_shared<const YAML::Node>(YAML::Load(text)), name, "", nullptr};
    } catch (const YAML::Exception &fault) {
        throw document_fault(name, fault.mark.line + 1, fault.mark.column + 1, ": " + fault.msg);
    }
}

checked_node checked_node::parseJson(const std::string &text, const std::string &name)
{
    const auto depthLimit = [](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        if (depth > maxNestingDepth) {
            throw error("read request", "", "nested too deeply");
        }
        return true;
    };
    try {
        return parse(nlohmann::json::parse(text, depthLimit).dump(), name);
    } catch (const nlohmann::json::exception &fault) {
        throw error("read " + name, "", fault.what());
    }
}

bool checked_node::has(std::string_view key) const
{
    return m_node->IsMap() && (*m_node)[std::string(key)].IsDefined();
}

checked_node checked_node::at(std::string_view key) const
{
    if (!m_node->IsMap()) {
        fail("a map");
    }
    const auto found = (*m_node)[std::string(key)];
    if (!found.IsDefined()) {
        fail("the key '" + std::string(key) + "'");
    }
    return child(found, pathOf(std::string(key)));
}

std::vector<checked_node> checked_node::items() const
{
    if (!m_node->IsSequence()) {
        fail("a list");
    }
    std::vector<checked_node> result;
    for (const auto index : std::views::iota(std::size_t {0}, m_node->size())) {
        result.push_back(child((*m_node)[index], m_path + '[' + std::to_string(index) + ']'));
    }
    return result;
}

std::vector<std::string> checked_node::keys() const
{
    if (!m_node->IsMap()) {
        fail("a map");
    }
    std::vector<std::string> result;
    std::ranges::transform(*m_node, std::back_inserter(result),
                           [](const auto &entry) { return entry.first.template as<std::string>(); });
    return result;
}

void checked_node::refuseRepeatedKeys() const
{
    if (!m_node->IsMap()) {
        fail("a map");
    }
    std::set<std::string> seen;
    for (const auto &entry : *m_node) {
        const auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        runCheck([&] {
            if (!seen.insert(key).second) {
                child(entry.first, pathOf(key)).fail("the key once");
            }
        });
    }
}

void checked_node::allowKeys(std::initializer_list<std::string_view> allowed) const
{
    refuseRepeatedKeys();
    for (const auto &entry : *m_node) {
        const auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        if (std::ranges::find(allowed, key) != allowed.end()) {
            continue;
        }
        std::string list;
        std::ranges::for_each(allowed, [&list](auto name) { list += (list.empty() ? "" : ", ") + std::string(name); });
        runCheck([&] { child(entry.first, pathOf(key)).fail("one of the keys " + list); });
    }
}

std::string checked_node::text() const
{
    if (!m_node->IsScalar()) {
        fail("a string");
    }
    return m_node->Scalar();
}

std::int64_t checked_node::integer(std::int64_t low, std::int64_t high) const
{
    std::int64_t value = 0;
    if (!m_node->IsScalar() || !parseNumber(m_node->Scalar(), value) || value < low || value > high) {
        fail("a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return value;
}

double checked_node::number(double low, double high) const
{
    double value = 0;
    if (!m_node->IsScalar() || !parseNumber(m_node->Scalar(), value) || !std::isfinite(value) || value < low
        || value > high) {
        fail("a number from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return value;
}

bool checked_node::boolean() const
{
    const auto value = text();
    if (value != "true" && value != "false") {
        fail("true or false");
    }
    return value == "true";
}

std::chrono::milliseconds checked_node::time(std::chrono::milliseconds low, std::chrono::milliseconds high) const
{
    struct unit
    {
        std::string_view suffix;
        std::int64_t milliseconds;
    };
    static constexpr std::array units {unit {"ms", 1}, unit {"min", 60'000}, unit {"s", 1'000}, unit {"h", 3'600'000}};
    const auto value = m_node->IsScalar() ? m_node->Scalar() : std::string();
    const auto found = std::ranges::find_if(units, [&value](const unit &each) { return value.ends_with(each.suffix); });
    const auto range = "a time with its unit (ms, s, min, h) from " + std::to_string(low.count()) + "ms to "
        + std::to_string(high.count()) + "ms";
    std::int64_t count = 0;
    if (found == units.end()
        || !parseNumber(std::string_view(value).substr(0, value.size() - found->suffix.size()), count) || count < 0
        || count > high.count()) {
        fail(range);
    }
    const std::chrono::milliseconds result {count * found->milliseconds};
    if (result < low || result > high) {
        fail(range);
    }
    return result;
}

std::int64_t checked_node::memoryMib() const
{
    constexpr std::int64_t maxMib = std::int64_t {1} << 30;
    const auto value = text();
    const auto isGib = value.ends_with("GiB");
    std::int64_t count = 0;
    if ((!isGib && !value.ends_with("MiB")) || !parseNumber(std::string_view(value).substr(0, value.size() - 3), count)
        || count < 0 || count > maxMib) {
        fail("an amount of memory such as 512MiB or 64GiB");
    }
    return isGib ? count * 1024 : count;
}

std::string checked_node::choice(std::initializer_list<std::string_view> allowed) const
{
    const auto value = text();
    if (std::ranges::find(allowed, value) == allowed.end()) {
        std::string list;
        std::ranges::for_each(allowed, [&list](auto name) { list += (list.empty() ? "" : ", ") + std::string(name); });
        fail("one of " + list);
    }
    return value;
}

std::string checked_node::name(std::size_t maxLength) const
{
    const auto value = text();
    if (value.empty() || value.size() > maxLength || !std::ranges::all_of(value, isNameCharacter)) {
        fail("a name of 1 to " + std::to_string(maxLength) + " letters, digits or . _ -");
    }
    return value;
}

void checked_node::fail(const std::string &expected) const
{
    const auto mark = m_node->Mark();
    const auto key = m_path.empty() ? std::string("the document") : m_path;
    // The mark of an empty document has negative positions.
    throw document_fault(m_file, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1,
                         ", " + key + ": expected " + expected);
}

} // namespace primrosecroft
