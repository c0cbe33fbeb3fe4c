#include "loopback.h"
#include "owner_process.h"

#include <catch2/catch.hpp>

/// Tests of an owner that takes long to load the stored state.
using namespace primrosecroft;
using namespace std::chrono_literals;
using loopback::runUntil;

TEST_CASE("an owner that loads for long stays confirmed, so that it doesn't hand over as soon as it serves")
{
    owner_process owner;
    owner.rows.heldTable = jobTable;
    const auto begun = bootNow();
    owner.begin();
    runUntil([&] { return bootNow() > begun + 1'500ms; });
    CHECK(owner.runner.confirmedAt() > begun + 900ms);
    owner.rows.releaseHeldTable();
    CHECK(owner.runner.isServing());
}
