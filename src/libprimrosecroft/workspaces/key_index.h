#pragma once

#include "workspaces/workspace.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace primrosecroft
{

/**
 * Finds the workspace of a key. Made once for each configuration.
 *
 * A lookup compares the key's digest over its whole length with the same number of entries, whether it is known or not.
 * So the time that it takes tells nothing of the keys.
 */
class key_index
{
public:
    /// A key that several workspaces hold belongs to the first of them in @p workspaces.
    explicit key_index(const std::vector<workspace> &workspaces);

    /// Returns the name of the workspace that holds @p key, or nullptr if none does or the key is empty.
    const workspace_name *find(const std::string &key) const;

private:
    struct entry
    {
        key_digest digest; ///< blanks in an unused entry
        std::size_t workspace = 0; ///< index into m_names
    };

    std::size_t bucketOf(std::string_view digest) const;

    std::vector<workspace_name> m_names;
    std::vector<entry> m_entries; ///< of all buckets, one bucket after the other
    std::size_t m_buckets = 1;
    std::size_t m_depth = 0; ///< entries of each bucket
};

/// A key that several workspaces hold.
struct shared_key
{
    key_digest digest;
    workspace_name holder; ///< the first workspace with the key, which it belongs to
    workspace_name other;

    friend bool operator==(const shared_key &, const shared_key &) = default;
};

/// Returns the keys that several workspaces hold, with each further holder.
std::vector<shared_key> findSharedKeys(const std::vector<workspace> &workspaces);

} // namespace primrosecroft
