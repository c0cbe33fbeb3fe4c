#include "workspaces/key_index.h"

#include "core/checksum.h"

#include <algorithm>
#include <bit>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <ranges>

namespace primrosecroft
{

namespace
{

constexpr std::size_t digestLength = 64; ///< hexadecimal digits
constexpr std::size_t bucketDigits = 8; ///< of a digest that select its bucket
constexpr std::size_t bucketsPerKey = 2;

/// Compares all characters, wherever the first difference is.
bool hasSameDigits(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    return std::transform_reduce(left.begin(), left.end(), right.begin(), 0U, std::bit_or<> {},
                                 [](char a, char b) { return static_cast<unsigned>(a ^ b); })
        == 0;
}

/// Returns the index of the first workspace that holds each key.
std::map<key_digest, std::size_t> holdersOf(const std::vector<workspace> &workspaces)
{
    std::map<key_digest, std::size_t> result;
    for (std::size_t index = 0; index < workspaces.size(); ++index) {
        for (const auto &digest : workspaces[index].keys) {
            result.emplace(digest, index);
        }
    }
    return result;
}

} // namespace

key_index::key_index(const std::vector<workspace> &workspaces)
{
    std::ranges::transform(workspaces, std::back_inserter(m_names), &workspace::name);
    const auto holders = holdersOf(workspaces);
    m_buckets = std::bit_ceil(std::max<std::size_t>(1, holders.size() * bucketsPerKey));
    std::vector<std::vector<entry>> buckets(m_buckets);
    for (const auto &[digest, holder] : holders) {
        buckets[bucketOf(digest)].push_back({digest, holder});
    }
    m_depth = std::ranges::max(buckets | std::views::transform(&std::vector<entry>::size));
    for (auto &bucket : buckets) {
        bucket.resize(m_depth, {std::string(digestLength, ' '), 0});
        std::ranges::move(bucket, std::back_inserter(m_entries));
    }
}

const workspace_name *key_index::find(const std::string &key) const
{
    if (key.empty()) {
        return nullptr;
    }
    const auto digest = sha256(key);
    const auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(bucketOf(digest) * m_depth);
    const workspace_name *result = nullptr;
    std::for_each(first, first + static_cast<std::ptrdiff_t>(m_depth), [&](const entry &each) {
        if (hasSameDigits(each.digest, digest)) {
            result = &m_names[each.workspace];
        }
    });
    return result;
}

std::size_t key_index::bucketOf(std::string_view digest) const
{
    std::size_t number = 0;
    for (const auto digit : digest.substr(0, bucketDigits)) {
        number = number * 16 + static_cast<std::size_t>(digit <= '9' ? digit - '0' : digit - 'a' + 10);
    }
    return number & (m_buckets - 1);
}

std::vector<shared_key> findSharedKeys(const std::vector<workspace> &workspaces)
{
    const auto holders = holdersOf(workspaces);
    std::vector<shared_key> result;
    for (std::size_t index = 0; index < workspaces.size(); ++index) {
        for (const auto &digest : workspaces[index].keys) {
            if (const auto holder = holders.at(digest); holder != index) {
                result.push_back({digest, workspaces[holder].name, workspaces[index].name});
            }
        }
    }
    return result;
}

} // namespace primrosecroft
