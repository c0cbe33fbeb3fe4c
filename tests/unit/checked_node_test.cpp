#include "core/error.h"
#include "settings/checked_node.h"

#include <catch2/catch.hpp>

using namespace primrosecroft;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

TEST_CASE("a fault names file, line, key and what was expected")
{
    const auto root = checked_node::parse("first: 1\nsecond: many\n", "example.yaml");
    REQUIRE_THROWS_WITH(root.at("second").integer(0, 9),
                        Contains("example.yaml") && Contains("line 2") && Contains("second")
                            && Contains("whole number from 0 to 9"));
}

TEST_CASE("the fault about an unknown key names the allowed keys")
{
    const auto root = checked_node::parse("cores: 1\ncoers: 2\n", "example.yaml");
    REQUIRE_THROWS_WITH(root.allowKeys({"cores", "memory"}),
                        Contains("line 2") && Contains("coers") && Contains("cores, memory"));
}

TEST_CASE("aliases and deep nesting are refused before a tree is built")
{
    REQUIRE_THROWS_WITH(checked_node::parse("a: &x [1, 2]\nb: [*x, *x]\n", "bomb.yaml"), Contains("aliases"));
    REQUIRE_THROWS_WITH(checked_node::parse(std::string(200, '['), "deep.yaml"), Contains("nested too deeply"));
    REQUIRE_THROWS_AS(checked_node::parseJson(std::string(200, '['), "deep.json"), error);
}

TEST_CASE("durations and amounts of memory need a unit")
{
    const auto root = checked_node::parse("a: 250ms\nb: 3s\nc: 2min\nd: 64GiB\ne: 3\n", "units.yaml");
    CHECK(root.at("a").time(0ms, 1h) == 250ms);
    CHECK(root.at("b").time(0ms, 1h) == 3s);
    CHECK(root.at("c").time(0ms, 1h) == 2min);
    CHECK(root.at("d").memoryMib() == 65'536);
    CHECK_THROWS_AS(root.at("e").time(0ms, 1h), error);
    CHECK_THROWS_AS(root.at("b").time(0ms, 2s), error);
}

TEST_CASE("huge and infinite numbers are refused")
{
    const auto root = checked_node::parse("a: 99999999999999999999\nb: 1e999\nc: nan\nd: 9000000000000000000s\n", "n");
    CHECK_THROWS_AS(root.at("a").integer(0, 10), error);
    CHECK_THROWS_AS(root.at("b").number(0, 10), error);
    CHECK_THROWS_AS(root.at("c").number(0, 10), error);
    CHECK_THROWS_AS(root.at("d").time(0ms, 1h), error);
}

TEST_CASE("only strict JSON is accepted")
{
    CHECK(checked_node::parseJson(R"({"a": 5})", "request").at("a").integer(0, 9) == 5);
    CHECK_THROWS_AS(checked_node::parseJson("a: 5", "request"), error);
    CHECK_THROWS_AS(checked_node::parseJson(R"({"a": 5)", "request"), error);
}

TEST_CASE("text outside the document is a fault and doesn't make the parser hang")
{
    // A stray comma made the parser loop forever. The fuzz test found this.
    CHECK_THROWS_AS(checked_node::parse(",a: 1\n", "stray.yaml"), error);
    CHECK_THROWS_WITH(checked_node::parse("a: 1\n---\na: 2\n", "two.yaml"),
                      Contains("line 2") && Contains("one document"));
}
