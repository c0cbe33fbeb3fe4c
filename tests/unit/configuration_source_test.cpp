#include "queues/configuration_source.h"

#include <catch2/catch.hpp>

/// The owner's choice of the daemon that reads the configuration for the others of its region.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr instant now {1h};

configuration_candidate candidate(const std::string &region, std::chrono::milliseconds roundTrip)
{
    configuration_candidate result;
    result.region = region;
    result.lastContactAt = now - 100ms;
    result.storeRoundTrip = roundTrip;
    result.configurationAge = 800ms;
    result.linkMbps = 1'000;
    return result;
}

std::string sourceOfFar(const configuration_candidates &candidates, const configuration_sources &before = {})
{
    const auto sources = chooseConfigurationSources(candidates, before, now);
    return sources.contains("far") ? sources.at("far") : "";
}

} // namespace

TEST_CASE("only regions far from the store get a source, each its own")
{
    const auto sources = chooseConfigurationSources({{"a", candidate("near", 4ms)},
                                                     {"b", candidate("far", 46ms)},
                                                     {"c", candidate("far", 46ms)},
                                                     {"d", candidate("farther", 90ms)},
                                                     {"e", candidate("", 90ms)}},
                                                    {}, now);
    CHECK(sources == configuration_sources {{"far", "b"}, {"farther", "d"}});
}

TEST_CASE("the source has the widest link of its region")
{
    configuration_candidates candidates {
        {"a", candidate("far", 46ms)}, {"b", candidate("far", 46ms)}, {"c", candidate("far", 46ms)}};
    candidates["a"].linkMbps = 60;
    candidates["b"].linkMbps.reset(); // counts as usual
    CHECK(sourceOfFar(candidates) == "b");
    candidates["c"].linkMbps = 10'000;
    CHECK(sourceOfFar(candidates) == "c");
    CHECK(sourceOfFar(candidates, {{"far", "b"}}) == "b"); // kept while it is usable
}

TEST_CASE("a daemon that isn't usable is no source, nor is it kept as one")
{
    auto candidates = configuration_candidates {{"a", candidate("far", 46ms)}, {"b", candidate("far", 46ms)}};
    auto &first = candidates["a"];
    REQUIRE(sourceOfFar(candidates) == "a");
    SECTION("it leaves")
    {
        first.isLeaving = true;
    }
    SECTION("it hasn't been heard of")
    {
        first.lastContactAt = now - 1'300ms;
    }
    SECTION("its configuration isn't confirmed")
    {
        first.configurationAge = 2'150ms;
    }
    SECTION("it doesn't tell the age of its configuration, as an earlier build")
    {
        first.configurationAge.reset();
    }
    SECTION("its ticks are late")
    {
        first.lateness = 200ms;
    }
    SECTION("it is near the store now")
    {
        first.storeRoundTrip = 3ms;
    }
    SECTION("it has moved to another region")
    {
        first.region = "other";
    }
    CHECK(sourceOfFar(candidates) == "b");
    CHECK(sourceOfFar(candidates, {{"far", "a"}}) == "b");
    CHECK(sourceOfFar(candidates, {{"far", "gone"}}) == "b");
}
