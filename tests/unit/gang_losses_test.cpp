#include "crashing_cell.h"
#include "jobs/job_rows.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// What the crash of one of a gang's workers says of each member: it speaks against those that ran there, and against
/// no others, however many workers the gang loses.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

/// When a worker crashes, from the start of the gang.
enum class crash_time
{
    early, ///< before it has survived the start
    late, ///< in the middle of its work
};

/// How the owner sees that a worker has crashed.
enum class crash_sight
{
    restarted, ///< it answers in its next boot at once
    silent, ///< it answers no more until its leases have expired
    unlisted, ///< likewise, and its entry is gone before it answers in its next boot
};

step_spec makeGang(std::int32_t count, std::int32_t maxPerWorker)
{
    auto gang = crashing_cell::makeStep(count);
    gang.isGang = true;
    gang.maxPerWorker = maxPerWorker;
    return gang;
}

std::string workerName(std::size_t number)
{
    return "w" + std::to_string(number);
}

/// A cell with one gang, whose workers end all its members once one of them is gone.
struct gang_cell
{
    static constexpr int maxPasses = 80; ///< until the gang has to run again, with a pause between them
    static constexpr auto passInterval = 200ms;
    static constexpr auto awayTime = 9'000ms; ///< longer than leases and entries last

    explicit gang_cell(const step_spec &spec, std::size_t workers, const job_progress &progress = {})
        : gang(spec)
    {
        for (std::size_t number = 0; number < workers; ++number) {
            const auto id = workerName(number);
            cell.cell.addWorker(owned_cell::makeWorker(id, "r", crashing_cell::wholeWorker));
            cell.boots[id] = crashing_cell::firstBoot;
        }
        step(cell.cell.state, job_arrived {owned_cell::makeJob("gang", {gang}), progress, 11, false}, cell.cell.now,
             cell.cell.actions);
    }

    /// Starts all members, after at most maxPasses passes. Returns whether they run.
    bool startAll()
    {
        isRunning = false;
        for (int pass = 0; pass < maxPasses && !cell.hasFailed("gang"); ++pass) {
            cell.advanceAndList(passInterval);
            const auto starts = cell.startPending();
            if (std::ssize(starts) == gang.count) {
                members.clear();
                std::ranges::for_each(starts,
                                      [this](const send_start &each) { members[each.run.task.index] = each.worker; });
                isRunning = true;
                break;
            }
        }
        return isRunning;
    }

    /// The members on the workers that run on end as broken.
    void breakRest()
    {
        for (const auto &[id, boot] : cell.boots) {
            std::vector<listed_end> ends;
            for (const auto &each : std::exchange(cell.running[id], {})) {
                ends.push_back({++lastEnds[id], each.run, run_end::gangBroken, ""});
            }
            cell.cell.answerList(id, {}, ends, boot);
        }
    }

    void crashWorker(const worker_id &id, crash_time when, crash_sight sight)
    {
        if (when == crash_time::late) {
            cell.advanceAndList(500ms);
            cell.advanceAndList(500ms);
        }
        lastEnds.erase(id);
        if (sight == crash_sight::restarted) {
            cell.crash(id);
            breakRest();
            return;
        }
        const auto boot = cell.boots.at(id);
        cell.boots.erase(id);
        cell.running[id].clear();
        breakRest();
        passWithout(id, sight);
        cell.boots[id] = boot + 1;
        cell.comeBack(id);
    }

    /// Lets passes run until the leases of the worker, which doesn't answer, have expired. What starts is broken at
    /// once.
    void passWithout(const worker_id &id, crash_sight sight)
    {
        const auto begin = cell.cell.now;
        while (cell.cell.now < begin + awayTime) {
            list_answered unanswered;
            unanswered.worker = id;
            unanswered.result = order_result::lost;
            step(cell.cell.state, unanswered, cell.cell.now, cell.cell.actions);
            if (sight == crash_sight::unlisted && cell.cell.now > begin + crashing_cell::entryLifetime) {
                step(cell.cell.state, worker_unlisted {id}, cell.cell.now, cell.cell.actions);
            }
            cell.advanceAndList(passInterval);
            cell.startPending();
            breakRest();
        }
    }

    /// Returns what the owner has stored of the job, or stores now.
    job_progress storeProgress()
    {
        cell.cell.advance(passInterval);
        cell.cell.runSchedulingPass();
        job_progress result;
        for (const auto &commit : actionsOf<commit_rows>(cell.cell.actions)) {
            for (const auto &write : commit.transaction.writes) {
                result = write.place == progressPlace("gang") ? decodeProgress(write.value) : result;
            }
        }
        cell.cell.confirmCommit();
        return result;
    }

    /// Returns the worker on which none of the members in @p hit runs, and some other one.
    std::optional<worker_id> workerWithout(const std::set<std::int32_t> &hit) const
    {
        for (const auto &[index, worker] : members) {
            const bool isClean = std::ranges::none_of(members, [&hit, id = worker](const auto &each) {
                return each.second == id && hit.contains(each.first);
            });
            if (isClean) {
                return worker;
            }
        }
        return std::nullopt;
    }

    std::size_t trialsOn(const worker_id &worker) const
    {
        return cell.cell.state.workers.at(worker).trials.size();
    }

    void addMembersOn(const worker_id &worker, std::set<std::int32_t> &hit) const
    {
        for (const auto &[index, id] : members) {
            if (id == worker) {
                hit.insert(index);
            }
        }
    }

    crashing_cell cell {};
    step_spec gang;
    std::map<std::int32_t, worker_id> members; ///< workers of the running attempt, by index
    bool isRunning = false; ///< the last call to startAll() has started it
    std::map<worker_id, std::int64_t> lastEnds; ///< in the workers' present boots
};

/// Crashes workers under members that have had no crash yet, until there are none left. Returns the crashes.
int crashUnderEachMember(gang_cell &gang, crash_time when, crash_sight sight)
{
    std::set<std::int32_t> hit;
    int crashes = 0;
    while (gang.startAll()) {
        const auto worker = gang.workerWithout(hit);
        if (!worker) {
            break;
        }
        gang.addMembersOn(*worker, hit);
        gang.crashWorker(*worker, when, sight);
        ++crashes;
    }
    return crashes;
}

/// Starts the gang until it has failed. Each start, the worker of member 0 crashes. Returns the starts.
int startsOfDeadlyMember(gang_cell &gang, crash_time when, crash_sight sight)
{
    int starts = 0;
    while (starts < 12 && gang.startAll()) {
        ++starts;
        gang.crashWorker(gang.members.at(0), when, sight);
    }
    return starts;
}

/// Stored counts of an earlier version, which tell of the whole gang.
job_progress progressOfEarlierVersion(const lost_workers &gangLost)
{
    job_progress progress;
    progress.open[0].steps[0].gangLost = gangLost;
    return progress;
}

} // namespace

// Guards against LOST: crashes under different members were taken for those of one, so a gang failed sooner the wider
// it was (review case 7).
TEST_CASE("a gang isn't given up for crashes of which each is the first one under its member")
{
    const auto count = GENERATE(2, 4, 12);
    const auto when = GENERATE(crash_time::early, crash_time::late);
    const auto sight = GENERATE(crash_sight::restarted, crash_sight::silent, crash_sight::unlisted);
    INFO("members " << count << " time " << static_cast<int>(when) << " sight " << static_cast<int>(sight));
    gang_cell gang(makeGang(count, 1), static_cast<std::size_t>(count) + 3);
    CHECK(crashUnderEachMember(gang, when, sight) == count);
    CHECK_FALSE(gang.cell.hasFailed("gang"));
    CHECK(gang.isRunning);
}

// Guards against the same where a worker runs several members.
TEST_CASE("a gang with several members a worker isn't given up for crashes of which each is the first one under them")
{
    const auto when = GENERATE(crash_time::early, crash_time::late);
    const auto sight = GENERATE(crash_sight::restarted, crash_sight::silent, crash_sight::unlisted);
    INFO("time " << static_cast<int>(when) << " sight " << static_cast<int>(sight));
    gang_cell gang(makeGang(12, 2), 9);
    CHECK(crashUnderEachMember(gang, when, sight) >= 3);
    CHECK_FALSE(gang.cell.hasFailed("gang"));
    CHECK(gang.isRunning);
}

// Guards against the same after a take-over from an earlier version, whose rows don't tell which members lost workers.
TEST_CASE("a gang isn't given up for what an earlier version has stored of it as a whole, and a crash under one member")
{
    const auto stored = GENERATE(lost_workers {2, 1, 0, 2}, lost_workers {5, 0, 0, 0}, lost_workers {0, 0, 2, 2},
                                 lost_workers {1, 1, 3, 3});
    const auto when = GENERATE(crash_time::early, crash_time::late);
    INFO("soon " << stored.soon << " later " << stored.later << " time " << static_cast<int>(when));
    gang_cell gang(makeGang(4, 1), 7, progressOfEarlierVersion(stored));
    CHECK(crashUnderEachMember(gang, when, crash_sight::restarted) == 4);
    CHECK_FALSE(gang.cell.hasFailed("gang"));
    CHECK(gang.isRunning);
}

// Guards against the same while the owner changes after each crash.
TEST_CASE("a gang isn't given up by a next owner for crashes of which each is the first one under its member")
{
    const auto when = GENERATE(crash_time::early, crash_time::late);
    const auto sight = GENERATE(crash_sight::restarted, crash_sight::silent, crash_sight::unlisted);
    INFO("time " << static_cast<int>(when) << " sight " << static_cast<int>(sight));
    job_progress progress;
    for (std::int32_t member = 0; member < 4; ++member) {
        gang_cell gang(makeGang(4, 1), 7, progress);
        REQUIRE(gang.startAll());
        gang.crashWorker(gang.members.at(member), when, sight);
        progress = gang.storeProgress();
        REQUIRE_FALSE(isEmpty(progress));
        CHECK_FALSE(gang.cell.hasFailed("gang"));
    }
    gang_cell last(makeGang(4, 1), 7, progress);
    CHECK(last.startAll());
    for (std::int32_t member = 0; member < 4; ++member) {
        CHECK(last.cell.losses("gang", member).counts.proven == 1);
    }
}

TEST_CASE("a gang is given up by a next owner once one member has crashed its workers")
{
    const auto when = GENERATE(crash_time::early, crash_time::late);
    INFO("time " << static_cast<int>(when));
    job_progress progress;
    int starts = 0;
    for (bool hasFailed = false; starts < 12 && !hasFailed; ++starts) {
        gang_cell gang(makeGang(4, 1), 7, progress);
        REQUIRE(gang.startAll());
        gang.crashWorker(gang.members.at(2), when, crash_sight::restarted);
        hasFailed = gang.cell.hasFailed("gang");
        progress = gang.storeProgress();
    }
    CHECK(starts <= 5);
}

// Guards against a row that is too long to be stored, so that the gang would never start again.
TEST_CASE("the widest gang starts again after the workers of all its members have crashed or fallen silent")
{
    const bool isCrash = GENERATE(true, false);
    auto spec = makeGang(maxTasksPerStep, 0);
    spec.size = {1, 1, 0};
    gang_cell gang(spec, 3);
    REQUIRE(gang.startAll());
    for (std::size_t number = 0; number < 3; ++number) {
        if (isCrash) {
            gang.crashWorker(workerName(number), crash_time::early, crash_sight::restarted);
        }
    }
    if (!isCrash) {
        gang.cell.silence();
        gang.breakRest();
    }
    CHECK(gang.startAll());
}

TEST_CASE("a gang is given up once one member has crashed its workers, early, late, silent or unlisted")
{
    const auto count = GENERATE(2, 4, 12);
    const auto maxPerWorker = GENERATE(1, 2);
    const auto sight = GENERATE(crash_sight::restarted, crash_sight::silent, crash_sight::unlisted);
    const auto when = GENERATE(crash_time::early, crash_time::late);
    INFO("members " << count << " a worker " << maxPerWorker << " time " << static_cast<int>(when) << " sight "
                    << static_cast<int>(sight));
    gang_cell gang(makeGang(count, maxPerWorker), static_cast<std::size_t>(count) + 3);
    // Five starts are two after the third crash.
    CHECK(startsOfDeadlyMember(gang, when, sight) <= 5);
    CHECK(gang.cell.hasFailed("gang"));
}

TEST_CASE("a gang of which an earlier version has stored losses is given up after two more crashes under one member")
{
    const auto stored = GENERATE(lost_workers {1, 0, 0, 1}, lost_workers {3, 0, 0, 3}, lost_workers {0, 0, 2, 2});
    const auto when = GENERATE(crash_time::early, crash_time::late);
    INFO("soon " << stored.soon << " later " << stored.later << " time " << static_cast<int>(when));
    gang_cell gang(makeGang(4, 1), 7, progressOfEarlierVersion(stored));
    CHECK(startsOfDeadlyMember(gang, when, crash_sight::restarted) <= 2);
    CHECK(gang.cell.hasFailed("gang"));
}

// Guards against trials that tell nothing: beside other members of its gang, or other work, a task isn't known to be
// why its worker was lost.
TEST_CASE("each suspect of a gang has its trial on a worker of its own, apart from the other members")
{
    gang_cell gang(makeGang(4, 0), 6);
    REQUIRE(gang.startAll());
    const auto packed = gang.members.at(0);
    std::set<std::int32_t> suspects;
    gang.addMembersOn(packed, suspects);
    REQUIRE(suspects.size() == 4);
    gang.crashWorker(packed, crash_time::early, crash_sight::restarted);
    REQUIRE(gang.startAll());
    std::set<worker_id> workers;
    std::ranges::copy(std::views::values(gang.members), std::inserter(workers, workers.end()));
    CHECK(workers.size() == 4);
    CHECK(std::ranges::all_of(workers, [&gang](const worker_id &id) { return gang.trialsOn(id) == 1; }));
}

// Guards against a start without a trial because the other members have waited since the gang broke.
TEST_CASE("a gang's suspect has a trial however long the other members have waited for its worker's end")
{
    const auto member = GENERATE(0, 3);
    gang_cell gang(makeGang(4, 1), 7);
    REQUIRE(gang.startAll());
    const auto silent = gang.members.at(member);
    gang.cell.boots.erase(silent);
    gang.cell.running[silent].clear();
    gang.breakRest();
    REQUIRE(gang.startAll());
    for (const auto &[index, worker] : gang.members) {
        CHECK(gang.trialsOn(worker) == (index == member ? 1 : 0));
    }
}

// Guards against a deadly member that passes its trial while it waits for the others, and is tried no more.
TEST_CASE("a gang's suspect hasn't passed its trial before all members run")
{
    gang_cell gang(makeGang(2, 1), 4);
    REQUIRE(gang.startAll());
    gang.crashWorker(gang.members.at(0), crash_time::early, crash_sight::restarted);
    auto starts = gang.cell.cell.runSchedulingPass();
    for (int pass = 0; pass < gang_cell::maxPasses && starts.empty(); ++pass) {
        gang.cell.cell.confirmCommit();
        gang.cell.advanceAndList(gang_cell::passInterval);
        starts = gang.cell.cell.runSchedulingPass();
    }
    REQUIRE(starts.size() == 2);
    const auto accept = [&gang](const send_start &start) {
        step(gang.cell.cell.state,
             start_answered {start.worker, start.boot, start.run, order_result::done, gang.cell.cell.now},
             gang.cell.cell.now, gang.cell.cell.actions);
        gang.cell.running[start.worker].push_back({start.run, "", 0, 0});
    };
    std::ranges::sort(starts, {}, [](const send_start &each) { return each.run.task.index; });
    accept(starts[0]);
    gang.cell.advanceAndList(400ms);
    CHECK(gang.trialsOn(starts[0].worker) == 1);
    accept(starts[1]);
    gang.cell.advanceAndList(50ms);
    CHECK(gang.trialsOn(starts[0].worker) == 1);
    gang.cell.advanceAndList(200ms);
    CHECK(gang.trialsOn(starts[0].worker) == 0);
}
