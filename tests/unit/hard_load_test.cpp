#include "load_replay.h"

#include <catch2/catch.hpp>
#include <iostream>

/// Replays of hard load: how callers are served with what is learned of durations, against the callers' estimates.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// Two pools of which each is four fifths full: short urgent jobs beside long wide ones of several steps, and gangs
/// that need accelerators beside wide jobs that do.
load_pattern twoPools()
{
    load_pattern result;
    result.kinds = {
        {"lookup",
         "narrow",
         13.4,
         0,
         1.0,
         9.5,
         0.7,
         {2'700, 2'700, 0},
         {0},
         700ms,
         0.5,
         0.9,
         false,
         1.5,
         500ms,
         {15ms, 210us, 2s},
         0.7},
        {"batch",
         "narrow",
         0.706,
         2,
         1.5,
         22,
         0.55,
         {4'500, 6'400, 0},
         {0},
         4'500ms,
         0.5,
         0.9,
         false,
         4,
         3s,
         {160ms, 2'300us, 2s},
         0.45},
        {"gang",
         "accelerated",
         4.05,
         1,
         0.5,
         4.1,
         0.55,
         {62'000, 130'000, 0},
         {2, 4, 8, 8},
         4'500ms,
         0.5,
         0.9,
         true,
         2.2,
         1'200ms,
         {550ms, 7'900us, 2s},
         0.3},
        {"screen",
         "accelerated",
         4.59,
         2,
         0.5,
         13,
         0.55,
         {11'000, 23'000, 0},
         {1},
         3'800ms,
         0.5,
         0.2,
         false,
         4,
         3s,
         {150ms, 2'100us, 2s},
         0.45},
    };
    result.workers = {
        {"narrow", 36, {16'000, 32'768, 0}, 1},        {"narrow", 18, {8'000, 16'384, 0}, 1.3},
        {"narrow", 18, {32'000, 65'536, 0}, 1},        {"accelerated", 33, {128'000, 262'144, 8}, 0.8},
        {"accelerated", 33, {128'000, 262'144, 8}, 1}, {"accelerated", 32, {128'000, 262'144, 8}, 1.25},
    };
    result.adviceRoutes = 20;
    return result;
}

load_results sum(load_results left, const load_results &right)
{
    for (const auto &[name, each] : right.pools) {
        auto &result = left.pools[name];
        result.offered += each.offered;
        result.used += each.used;
        result.idle += each.idle;
    }
    for (const auto &[name, each] : right.kinds) {
        auto &result = left.kinds[name];
        result.sent += each.sent;
        result.inTime += each.inTime;
        result.late += each.late;
        result.failed += each.failed;
        result.turnedAway += each.turnedAway;
        result.turnedAwayWithRoom += each.turnedAwayWithRoom;
        result.adviceCalls += each.adviceCalls;
        result.adviceSeconds += each.adviceSeconds;
        result.steps += each.steps;
    }
    return left;
}

load_results replaySeeds(const load_pattern &load, duration_source source)
{
    constexpr std::uint32_t seeds = 2;
    load_results result;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        result = sum(std::move(result), replayLoad(load, source, seed));
    }
    return result;
}

void print(const std::string &title, const load_results &results)
{
    std::cout << title << '\n';
    for (const auto &[name, each] : results.kinds) {
        std::cout << "  " << name << ": served " << shareServed(each) << ", sent " << each.sent << ", in time "
                  << each.inTime << ", late " << each.late << ", failed " << each.failed << ", turned away "
                  << each.turnedAway << ", refusals with room " << each.turnedAwayWithRoom << ", calls for advice "
                  << each.adviceCalls << " for " << each.steps << " steps, of " << each.adviceSeconds << " s" << '\n';
    }
    for (const auto &[name, each] : results.pools) {
        std::cout << "  " << name << ": used " << each.used / each.offered << ", idle " << each.idle / each.offered
                  << '\n';
    }
}

} // namespace

TEST_CASE("while tasks wait that may run on them, at most a tenth of the cores is free")
{
    constexpr double mostIdle = 0.1;
    auto load = twoPools();
    load.phases = {{34s, GENERATE(1.0, 1.2), ""}};
    const auto results = replaySeeds(load, duration_source::learned);
    print("at " + std::to_string(load.phases.front().factor) + " of the usual rate", results);
    for (const auto &[name, pool] : results.pools) {
        CAPTURE(name);
        CHECK(pool.idle <= mostIdle * pool.offered);
    }
}

TEST_CASE("no job is turned away while workers that may run it have room")
{
    auto load = twoPools();
    load.phases = GENERATE(std::vector<load_phase> {{34s, 1.2, ""}},
                           std::vector<load_phase> {{10s, 1, ""}, {8s, 2, ""}, {16s, 1, ""}});
    const auto results = replaySeeds(load, duration_source::learned);
    for (const auto &[name, each] : results.kinds) {
        CAPTURE(name);
        CHECK(each.turnedAwayWithRoom == 0);
    }
}

TEST_CASE("costly calls of gangs leave advice to the other kinds in a backlog of all")
{
    auto load = twoPools();
    load.phases = {{34s, 1.5, ""}};
    const auto results = replaySeeds(load, duration_source::learned);
    print("at one and a half times the usual rate", results);
    for (const auto *name : {"lookup", "batch", "screen"}) {
        CAPTURE(name);
        CHECK(shareServed(results.kinds.at(name)) >= 0.9);
    }
}

TEST_CASE("with what is learned each kind of work is served as well as with estimates", "[.][learned]")
{
    auto load = twoPools();
    load.phases = {{34s, GENERATE(1.0, 1.2, 1.5), ""}};
    const auto estimates = replaySeeds(load, duration_source::estimates);
    const auto learned = replaySeeds(load, duration_source::learned);
    print("with estimates", estimates);
    print("with what is learned", learned);
    for (const auto &[name, each] : learned.kinds) {
        CAPTURE(name);
        CHECK(shareServed(each) >= shareServed(estimates.kinds.at(name)));
    }
}
