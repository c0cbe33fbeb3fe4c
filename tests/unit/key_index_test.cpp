#include "core/checksum.h"
#include "workspaces/key_index.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

/// Tests of the index that finds a key's workspace.
using namespace primrosecroft;

namespace
{

workspace makeWorkspace(const std::string &name, const std::vector<std::string> &keys)
{
    workspace result;
    result.name = name;
    for (const auto &key : keys) {
        result.keys.insert(sha256(key));
    }
    return result;
}

std::string nameOf(const key_index &index, const std::string &key)
{
    const auto *found = index.find(key);
    return found == nullptr ? "none" : *found;
}

} // namespace

TEST_CASE("a key finds its workspace, another one none")
{
    const key_index index({makeWorkspace("a", {"first", "second"}), makeWorkspace("b", {"third"})});
    CHECK(nameOf(index, "first") == "a");
    CHECK(nameOf(index, "second") == "a");
    CHECK(nameOf(index, "third") == "b");
    for (const auto *key : {"", "firs", "first ", "First", "fourth"}) {
        CAPTURE(key);
        CHECK(nameOf(index, key) == "none");
    }
    CHECK(nameOf(index, sha256("first")) == "none"); // a digest isn't a key
}

TEST_CASE("without workspaces or keys no key is found")
{
    CHECK(nameOf(key_index({}), "first") == "none");
    CHECK(nameOf(key_index({makeWorkspace("a", {}), makeWorkspace("b", {})}), "first") == "none");
}

TEST_CASE("an empty key finds no workspace, also if a workspace holds it")
{
    CHECK(nameOf(key_index({makeWorkspace("a", {""})}), "") == "none");
}

TEST_CASE("a key that two workspaces hold belongs to the first one and is reported")
{
    const std::vector<workspace> workspaces {makeWorkspace("b", {"shared", "own"}), makeWorkspace("a", {"shared"})};
    CHECK(nameOf(key_index(workspaces), "shared") == "b");
    CHECK(findSharedKeys(workspaces) == std::vector<shared_key> {{sha256("shared"), "b", "a"}});
    CHECK(findSharedKeys({workspaces.front()}).empty());
}

TEST_CASE("each of many keys is found")
{
    std::vector<workspace> workspaces;
    for (int number = 0; number < 300; ++number) {
        const auto name = std::to_string(number);
        workspaces.push_back(makeWorkspace("w" + name, {"x" + name, "y" + name, "z" + name}));
    }
    const key_index index(workspaces);
    for (int number = 0; number < 300; ++number) {
        const auto name = std::to_string(number);
        CHECK(nameOf(index, "x" + name) == "w" + name);
        CHECK(nameOf(index, "z" + name) == "w" + name);
        CHECK(nameOf(index, "u" + name) == "none");
    }
}
