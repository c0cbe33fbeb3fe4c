#include "cell_emulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

/// Seeded schedules of the new path. PRIMROSECROFT_SCHEDULES sets how many, PRIMROSECROFT_SEED the first.
using namespace primrosecroft;

namespace
{

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

std::string playSeed(std::uint64_t seed, taken_out mutation = taken_out::nothing)
{
    emulation_settings settings;
    settings.seed = seed;
    settings.mutation = mutation;
    cell_emulation emulation(settings);
    return emulation.play();
}

/// The first of so many seeds that shows the rule missing; 0 when none does.
std::uint64_t firstBreach(taken_out mutation, std::uint64_t most)
{
    for (std::uint64_t seed = 1; seed <= most; ++seed) {
        if (!playSeed(seed, mutation).empty()) {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("no schedule breaks a promise", "[schedules]")
{
    const auto first = numberFrom("PRIMROSECROFT_SEED", 1);
    const auto count = numberFrom("PRIMROSECROFT_SCHEDULES", 400);
    for (auto seed = first; seed < first + count; ++seed) {
        const auto breach = playSeed(seed);
        INFO("seed " << seed << ": " << breach);
        CHECK(breach.empty());
    }
}

TEST_CASE("each safety rule that is taken out is missed by the checks", "[mutations]")
{
    constexpr std::uint64_t mostSeeds = 2'000;
    CHECK(firstBreach(taken_out::leaseFromConfirmation, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::doubtAfterTakeOver, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::fences, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::barBeforeRestart, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::chainOfRecords, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::ownershipCondition, mostSeeds) != 0);
    CHECK(firstBreach(taken_out::endsBeforeNoted, mostSeeds) != 0);
}
