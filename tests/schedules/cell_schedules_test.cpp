#include "cell_emulation.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

/// Runs the cell's emulation with random faults, one schedule for each seed. PRIMROSECROFT_SCHEDULES sets the number of
/// schedules and PRIMROSECROFT_SEED the first seed.
using namespace primrosecroft;

namespace
{

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

std::string runSeed(std::uint64_t seed, taken_out mutation = taken_out::nothing)
{
    emulation_settings settings;
    settings.seed = seed;
    settings.mutation = mutation;
    cell_emulation emulation(settings);
    return emulation.play();
}

/// Returns the first seed up to @p maxSeed with which the checks detect that the rule is missing, or 0 if there is
/// none.
std::uint64_t firstBreach(taken_out mutation, std::uint64_t maxSeed)
{
    for (std::uint64_t seed = 1; seed <= maxSeed; ++seed) {
        if (!runSeed(seed, mutation).empty()) {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("no schedule breaks a guarantee", "[schedules]")
{
    const auto first = numberFrom("PRIMROSECROFT_SEED", 1);
    const auto count = numberFrom("PRIMROSECROFT_SCHEDULES", 400);
    for (auto seed = first; seed < first + count; ++seed) {
        const auto breach = runSeed(seed);
        INFO("seed " << seed << ": " << breach);
        CHECK(breach.empty());
    }
}

TEST_CASE("the checks detect each safety rule that is removed", "[mutations]")
{
    constexpr std::uint64_t maxSeeds = 2'000;
    CHECK(firstBreach(taken_out::leaseFromConfirmation, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::doubtAfterTakeOver, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::fences, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::barBeforeRestart, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::chainOfRecords, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::ownershipCondition, maxSeeds) != 0);
    CHECK(firstBreach(taken_out::endsBeforeNoted, maxSeeds) != 0);
}
