#include "callers/waiting_counts.h"
#include "loopback.h"
#include "owner_process.h"

#include <catch2/catch.hpp>

/// Tests of the counts of waiting jobs: a count that isn't known is never shown as zero.
using namespace primrosecroft;
using namespace std::chrono_literals;
using loopback::runUntil;

namespace
{

const instant begin = instant {} + 1h;

waiting_counts countsAsOf(instant asOf)
{
    return {{{"queue", 7}}, "owner", 3, asOf};
}

} // namespace

TEST_CASE("counts that are missing or too old are not zero counts")
{
    CHECK_FALSE(countOf(std::nullopt, "queue", begin));
    CHECK_FALSE(countOf(countsAsOf(begin), "queue", begin + 2'001ms));
    REQUIRE(countOf(countsAsOf(begin), "queue", begin + 1'900ms));
    CHECK(countOf(countsAsOf(begin), "queue", begin + 1'900ms)->jobs == 7);
    CHECK(countOf(countsAsOf(begin), "queue", begin + 1'900ms)->age == 1'900ms);
    CHECK(countOf(countsAsOf(begin), "other", begin)->jobs == 0);
}

TEST_CASE("counts that arrive late do not replace later ones")
{
    std::optional<waiting_counts> kept;
    keepLater(kept, countsAsOf(begin));
    keepLater(kept, {{}, "former owner", 2, begin - 500ms});
    REQUIRE(kept);
    CHECK(kept->owner == "owner");
    keepLater(kept, {{}, "next owner", 4, begin + 1ms});
    CHECK(kept->owner == "next owner");
}

TEST_CASE("an owner's counts hold as of its last confirmation, or as of an overdue scan")
{
    CHECK(countsHoldAsOf(begin, begin - 1s, 2s) == begin);
    CHECK(countsHoldAsOf(begin, begin - 5s, 2s) == begin - 3s);
}

TEST_CASE("the counts of an owner that the store no longer answers grow old")
{
    owner_process owner;
    owner.begin();
    REQUIRE(owner.runner.isServing());
    owner.rows.isUnreachable = true;
    const auto lostAt = bootNow();
    runUntil([&] { return bootNow() > lostAt + 300ms; });
    CHECK(owner.runner.countsHoldAsOf() <= lostAt);
}

TEST_CASE("a scan of the stored jobs that fails does not count")
{
    owner_process owner;
    owner.begin();
    const auto begun = bootNow();
    owner.rows.heldTable = jobTable;
    runUntil([&] { return bootNow() > begun + 2'600ms; });
    CHECK(owner.runner.confirmedAt() > begun + 2'000ms);
    CHECK(owner.runner.countsHoldAsOf() <= begun + 2'000ms); // the scan that is due then has no answer
    owner.rows.releaseHeldTable();
    CHECK(owner.runner.countsHoldAsOf() > begun + 2'000ms);
}
