#include "virtual_cell.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ranges>

using namespace primrosecroft;
using namespace std::chrono_literals;
using standins::virtual_cell;

namespace
{

constexpr resources wholeWorker {32'000, 65'536, 0};
constexpr std::size_t rackSize = 8;

virtual_cell makeCell(std::size_t workers, const scheduler_settings &settings = {})
{
    virtual_cell cell;
    cell.now = instant(1h);
    cell.scheduler = makeScheduler(settings);
    standins::addWorkers(cell, workers, wholeWorker, rackSize);
    standins::takeOver(cell);
    return cell;
}

demand_spec batchOf(std::int32_t tasks, const resources &size, std::chrono::milliseconds runTime)
{
    demand_spec spec;
    spec.tasks = tasks;
    spec.size = size;
    spec.declaredRunTime = runTime;
    return spec;
}

demand_spec gangOf(std::int32_t tasks, const resources &size, std::chrono::milliseconds runTime)
{
    auto spec = batchOf(tasks, size, runTime);
    spec.kind = demand_kind::gang;
    return spec;
}

/// Runs the cell and notes the promise that no worker is given more than it has.
void checkNothingOvercommitted(const virtual_cell &cell)
{
    for (const auto &[id, worker] : cell.workers) {
        CHECK(fits(standins::inUse(worker), worker.total));
        CHECK(worker.overcommitRefusals == 0);
        const auto &free = cell.scheduler.workers.at(id).free;
        CHECK(fits({}, free));
    }
}

} // namespace

TEST_CASE("a full cell's queue is not tried again until room for it is gained", "[placement]")
{
    auto cell = makeCell(4);
    standins::submit(cell, "filling", batchOf(4, wholeWorker, 10s));
    standins::submit(cell, "waiting", batchOf(1, wholeWorker, 1s));
    standins::runUntil(cell, cell.now + 1s);
    CHECK(cell.scheduler.blocked == std::vector<resources> {wholeWorker});
    CHECK(standins::runningTasks(cell, "waiting") == 0);
    standins::runUntil(cell, cell.now + 14s);
    CHECK(cell.placed.count({"waiting", 0}) == 1);
    CHECK(cell.scheduler.blocked.empty());
    checkNothingOvercommitted(cell);
}

TEST_CASE("a size that fits nowhere does not block a smaller one", "[placement]")
{
    auto cell = makeCell(2);
    standins::submit(cell, "filling", batchOf(2, {31'000, 1'024, 0}, 60s));
    standins::submit(cell, "large", batchOf(1, {2'000, 1'024, 0}, 1s));
    standins::submit(cell, "small", batchOf(2, {1'000, 1'024, 0}, 1s));
    standins::runUntil(cell, cell.now + 1s);
    CHECK(cell.placed.count({"large", 0}) == 0);
    CHECK(cell.placed.count({"small", 0}) == 1);
    CHECK(cell.placed.count({"small", 1}) == 1);
    checkNothingOvercommitted(cell);
}

TEST_CASE("a worker that lapsed between two walks is given nothing", "[placement]")
{
    auto cell = makeCell(3);
    cell.unreachable.insert("w0000");
    const auto lapses = cell.scheduler.ownership.workers.at("w0000").heldUntil;
    standins::runUntil(cell, lapses + 1ms);
    standins::submit(cell, "late", batchOf(3, wholeWorker, 60s));
    standins::runUntil(cell, cell.now + 1s);
    CHECK(cell.scheduler.records.at("w0000").occupied.empty());
    CHECK(standins::runningTasks(cell, "late") == 2);
}

TEST_CASE("a gang whose start fails at one worker leaves no member behind", "[placement]")
{
    auto cell = makeCell(3);
    // The worker lost memory since its last listing, so it refuses the start as full.
    cell.workers.at("w0001").total.memoryMib = 1'024;
    standins::submit(cell, "gang", gangOf(3, wholeWorker, 60s));
    standins::runUntil(cell, cell.now + 10s);
    CHECK(cell.workers.at("w0001").overcommitRefusals > 0);
    CHECK(standins::runningTasks(cell, "gang") == 0);
    cell.workers.at("w0001").total = wholeWorker;
    standins::cancel(cell, "gang");
    standins::submit(cell, "next", gangOf(3, wholeWorker, 60s));
    standins::runUntil(cell, cell.now + 20s);
    CHECK(standins::runningTasks(cell, "gang") == 0);
}

namespace
{

/// Keeps small tasks waiting all the time, whose real run times are declared ones times the factor of the workers.
void streamSmallTasks(virtual_cell &cell, std::chrono::milliseconds length, std::chrono::milliseconds runTime)
{
    constexpr auto pause = 250ms;
    const auto end = cell.now + length;
    for (int number = 0; cell.now < end; ++number) {
        standins::submit(cell, "small" + std::to_string(cell.lastEvent) + '-' + std::to_string(number),
                         batchOf(8, {4'000, 4'096, 0}, runTime));
        standins::runUntil(cell, cell.now + pause);
    }
}

} // namespace

TEST_CASE("two large gangs start in turn under a stream of small tasks", "[placement]")
{
    auto cell = makeCell(4);
    constexpr auto smallRun = 8s;
    constexpr auto gangRun = 10s;
    streamSmallTasks(cell, 10s, smallRun);
    standins::submit(cell, "first", gangOf(4, wholeWorker, gangRun));
    standins::submit(cell, "second", gangOf(4, wholeWorker, gangRun));
    streamSmallTasks(cell, 60s, smallRun);
    constexpr auto noticed = 4s; // an end is seen at the next exchange
    REQUIRE(cell.placed.count({"first", 3}) == 1);
    REQUIRE(cell.placed.count({"second", 3}) == 1);
    CHECK(cell.placed.find({"first", 3})->second.waited <= smallRun + noticed);
    CHECK(cell.placed.find({"second", 3})->second.waited <= 2 * (smallRun + noticed) + gangRun + noticed);
    checkNothingOvercommitted(cell);
}

TEST_CASE("a gang's wait stays bounded when run times are declared ten times too short", "[placement]")
{
    auto cell = makeCell(4);
    for (auto &[id, worker] : cell.workers) {
        worker.runTimeFactor = 10;
    }
    streamSmallTasks(cell, 10s, 1s);
    standins::submit(cell, "gang", gangOf(4, wholeWorker, 1s));
    streamSmallTasks(cell, 60s, 1s);
    REQUIRE(cell.placed.count({"gang", 3}) == 1);
    // What was let in before the reservation's time runs its real time to the end.
    CHECK(cell.placed.find({"gang", 3})->second.waited <= 10s + 1s + 4s);
    checkNothingOvercommitted(cell);
}

TEST_CASE("short tasks use the room kept for a gang until its time comes", "[placement]")
{
    auto cell = makeCell(2);
    standins::submit(cell, "long", batchOf(1, wholeWorker, 30s));
    standins::submit(cell, "gang", gangOf(2, wholeWorker, 5s));
    standins::submit(cell, "service", [] {
        auto spec = batchOf(1, {1'000, 1'024, 0}, 1s);
        spec.kind = demand_kind::service;
        return spec;
    }());
    standins::submit(cell, "short", batchOf(1, {8'000, 1'024, 0}, 5s));
    standins::runUntil(cell, cell.now + 2s);
    CHECK(standins::runningTasks(cell, "short") == 1);
    CHECK(standins::runningTasks(cell, "service") == 0);
    standins::runUntil(cell, cell.now + 36s);
    CHECK(cell.placed.count({"gang", 1}) == 1);
}

namespace
{

std::size_t quarantinedWorkers(const virtual_cell &cell)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(cell.scheduler.records | std::views::values,
                              [](const worker_record &record) { return record.health.quarantined; }));
}

/// Many small demands, so that every worker gets tasks of several.
void submitGoodDemands(virtual_cell &cell, const std::string &prefix, int count)
{
    for (int number = 0; number < count; ++number) {
        standins::submit(cell, prefix + std::to_string(number), batchOf(4, {8'000, 4'096, 0}, 2s));
        standins::runUntil(cell, cell.now + 200ms);
    }
}

demand_outcome outcomeOf(const virtual_cell &cell, const demand_key &key)
{
    return cell.rows.at(key).row.outcome;
}

} // namespace

TEST_CASE("a worker that fails every task and a demand that fails everywhere are told apart", "[placement]")
{
    auto cell = makeCell(10);
    cell.workers.at("w0003").failsEveryTask = true;
    for (auto &[id, worker] : cell.workers) {
        worker.failingDemands = {"never0", "never1"};
    }
    standins::submit(cell, "never0", batchOf(2, {1'000, 1'024, 0}, 1s));
    submitGoodDemands(cell, "good", 40);
    standins::submit(cell, "never1", batchOf(2, {1'000, 1'024, 0}, 1s));
    standins::runUntil(cell, cell.now + 40s);
    CHECK(quarantinedWorkers(cell) == 1);
    CHECK(cell.scheduler.records.at("w0003").health.quarantined);
    for (const auto *const key : {"never0", "never1"}) {
        CHECK(outcomeOf(cell, key) == demand_outcome::failed);
        CHECK(cell.rows.at(key).row.reason.ends_with("failed on 3 workers"));
    }
    for (int number = 0; number < 40; ++number) {
        CHECK(outcomeOf(cell, "good" + std::to_string(number)) == demand_outcome::done);
    }

    cell.workers.at("w0003").failsEveryTask = false;
    standins::runUntil(cell, cell.now + 2min);
    submitGoodDemands(cell, "later", 40);
    standins::runUntil(cell, cell.now + 20s);
    CHECK(quarantinedWorkers(cell) == 0);
    for (int number = 0; number < 40; ++number) {
        CHECK(outcomeOf(cell, "later" + std::to_string(number)) == demand_outcome::done);
    }
}

TEST_CASE("no more than the stated share of workers is quarantined at once", "[placement]")
{
    auto cell = makeCell(20);
    for (auto &[id, worker] : cell.workers) {
        worker.failsEveryTask = id < "w0008";
    }
    for (int round = 0; round < 5; ++round) {
        submitGoodDemands(cell, "round" + std::to_string(round) + '-', 20);
        CHECK(quarantinedWorkers(cell) <= 2);
    }
    CHECK(quarantinedWorkers(cell) == 2);
}

namespace
{

demand_spec urgentBatchOf(std::int32_t tasks, const resources &size, std::chrono::milliseconds runTime)
{
    auto spec = batchOf(tasks, size, runTime);
    spec.priority = demand_priority::urgent;
    return spec;
}

constexpr resources quarterWorker {8'000, 16'384, 0};
constexpr auto urgentTarget = 2'500ms;

} // namespace

TEST_CASE("urgent work starts in time on a full cell, however slow checkpoints are", "[placement]")
{
    const auto checkpointTime = GENERATE(300ms, 20'000ms);
    auto cell = makeCell(10);
    for (auto &[id, worker] : cell.workers) {
        worker.checkpointTime = checkpointTime;
    }
    standins::submit(cell, "filling", batchOf(60, quarterWorker, 10min));
    standins::runUntil(cell, cell.now + 5s);
    for (int number = 0; number < 5; ++number) {
        const auto key = "urgent" + std::to_string(number);
        standins::submit(cell, key, urgentBatchOf(4, quarterWorker, 10min));
        standins::runUntil(cell, cell.now + 3s);
        for (std::int32_t index = 0; index < 4; ++index) {
            REQUIRE(cell.placed.count({key, index}) == 1);
            CHECK(cell.placed.find({key, index})->second.waited <= urgentTarget);
        }
    }
    CHECK(standins::runningTasks(cell, "filling") == 20);
    checkNothingOvercommitted(cell);
}

TEST_CASE("gangs and work that must not be repeated are never preempted", "[placement]")
{
    auto cell = makeCell(4);
    auto once = batchOf(8, quarterWorker, 10min);
    once.repeatable = false;
    standins::submit(cell, "once", once);
    standins::submit(cell, "gang", gangOf(8, quarterWorker, 10min));
    standins::runUntil(cell, cell.now + 5s);
    standins::submit(cell, "urgent", urgentBatchOf(1, quarterWorker, 1s));
    standins::runUntil(cell, cell.now + 20s);
    CHECK(standins::runningTasks(cell, "once") == 8);
    CHECK(standins::runningTasks(cell, "gang") == 8);
    CHECK(cell.placed.count({"urgent", 0}) == 0);
    CHECK(cell.scheduler.evictions.empty());
}

TEST_CASE("one task is evicted no more often than its budget allows", "[placement]")
{
    auto cell = makeCell(1);
    standins::submit(cell, "victim", batchOf(1, wholeWorker, 10min));
    standins::runUntil(cell, cell.now + 4s);
    for (int number = 0; number < 4; ++number) {
        standins::submit(cell, "urgent" + std::to_string(number), urgentBatchOf(1, wholeWorker, 2s));
        standins::runUntil(cell, cell.now + 12s);
    }
    CHECK(cell.workers.at("w0000").checkpoints == 2);
    CHECK(standins::runningTasks(cell, "victim") == 1);
    CHECK(cell.scheduler.demands.at("victim").tasks.at(0).evictions == 2);
}

TEST_CASE("a wave of cancellations is constant work each and coalesced towards workers", "[placement]")
{
    auto cell = makeCell(50);
    constexpr int wave = 10'000;
    constexpr resources tiny {320, 64, 0}; // half of the wave fills the cell, the rest waits
    for (int number = 0; number < wave; ++number) {
        standins::submit(cell, "d" + std::to_string(number), batchOf(1, tiny, 1h));
    }
    standins::runUntil(cell, cell.now + 10s);
    const auto before = cell.scheduler.counts;
    const auto exchanges = cell.exchanges;
    for (int number = 0; number < wave; ++number) {
        standins::cancel(cell, "d" + std::to_string(number));
    }
    CHECK(cell.scheduler.counts.visited - before.visited <= wave);
    CHECK(cell.scheduler.counts.choices == before.choices);
    standins::submit(cell, "new", batchOf(1, tiny, 1s));
    standins::runUntil(cell, cell.now + 1s);
    CHECK(cell.exchanges - exchanges <= 4 * cell.workers.size());
    CHECK(cell.placed.count({"new", 0}) == 1);
    CHECK(standins::inUse(cell) == tiny);
}

TEST_CASE("placing a task looks at each worker once", "[placement]")
{
    auto cell = makeCell(50);
    const auto before = cell.scheduler.counts;
    standins::submit(cell, "d", batchOf(100, {1'000, 1'024, 0}, 1h));
    CHECK(cell.scheduler.counts.choices - before.choices == 100);
    CHECK(cell.scheduler.counts.candidates - before.candidates == std::uint64_t {100} * 50);
}
