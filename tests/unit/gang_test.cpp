#include "owned_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <ranges>
#include <set>
#include <vector>

/// Gangs of which some members run and others don't. The workers end the members that wait for longer than the
/// platform's gang timeout, so the owner has to act before.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

constexpr resources wholeWorker {8'000, 16'000, 0};
constexpr auto shortestGangTimeout = 3'000ms; ///< of the users' deployments
constexpr auto startTimeout = 600ms;
constexpr auto passInterval = 50ms;

accepted_job makeGangJob(bool isAtMostOnce = false)
{
    step_spec gang;
    gang.count = 2;
    gang.size = wholeWorker;
    gang.estimate = 1s;
    gang.isGang = true;
    gang.isAtMostOnce = isAtMostOnce;
    return owned_cell::makeJob("gang", {gang});
}

/// How the worker of the last member treats that member's first start. The other one runs.
enum class member_fate
{
    lostBeforeWorker, ///< the worker never gets it, and the owner gets no answer
    heldUp, ///< the worker gets no order and lists nothing either
    refused,
    unreachable, ///< no connection to the worker came up
    lostWithWorker, ///< it begins, and then its worker restarts
    begins,
};

/**
 * A gang of two members on two workers of whole size, in virtual time. The workers answer lists and stops at once. What
 * they run is kept here.
 */
struct two_member_gang
{
    explicit two_member_gang(member_fate ofLast)
        : fate(ofLast)
    {
        for (const auto *id : {"a", "b"}) {
            cell.addWorker(owned_cell::makeWorker(id, std::string("r-") + id, wholeWorker));
        }
    }

    /// Places the gang and answers its starts.
    void start(bool isAtMostOnce = false)
    {
        cell.addJob(makeGangJob(isAtMostOnce));
        auto starts = cell.runSchedulingPass();
        if (isAtMostOnce) {
            cell.confirmCommit(); // its start is stored before it is sent
            cell.advance(passInterval);
            starts = cell.runSchedulingPass();
        }
        REQUIRE(starts.size() == 2);
        first = starts.front();
        last = starts.back();
        begin(first);
        switch (fate) {
        case member_fate::begins:
        case member_fate::lostWithWorker:
            begin(last);
            break;
        case member_fate::refused:
            answer(last, order_result::noCapacity);
            break;
        case member_fate::unreachable:
            answer(last, order_result::unreachable);
            break;
        case member_fate::lostBeforeWorker:
        case member_fate::heldUp:
            break;
        }
        carryOut();
    }

    void answer(const send_start &order, order_result result)
    {
        step(cell.state, start_answered {order.worker, order.boot, order.run, result, cell.now}, cell.now,
             cell.actions);
    }

    void begin(const send_start &order)
    {
        running[order.worker].push_back({order.run, "", 0, 0});
        answer(order, order_result::done);
    }

    bool isSilent(const worker_id &worker) const
    {
        return fate == member_fate::heldUp && worker == last.worker;
    }

    void restartLastWorker()
    {
        running[last.worker].clear();
        boots[last.worker] = 2;
    }

    /// Carries out the stops since it was last called.
    void carryOut()
    {
        const auto due = std::exchange(cell.actions, {});
        for (const auto &action : due) {
            const auto *stop = std::get_if<send_stop>(&action);
            if (stop == nullptr || isSilent(stop->worker)) {
                continue;
            }
            stops.push_back(stop->run);
            auto &runs = running[stop->worker];
            if (std::erase_if(runs, [&](const listed_run &each) { return each.run == stop->run; }) > 0) {
                ends[stop->worker].push_back(
                    {static_cast<std::int64_t>(ends[stop->worker].size()) + 1, stop->run, run_end::stopped, ""});
            }
            step(cell.state, stop_answered {stop->worker, stop->boot, stop->run, order_result::done, cell.now},
                 cell.now, cell.actions);
        }
    }

    /// Passes until @p isOver or for @p limit, while the workers answer. Returns the time that has passed.
    std::chrono::milliseconds runUntil(const std::function<bool()> &isOver, std::chrono::milliseconds limit)
    {
        for (auto passed = 0ms; passed < limit; passed += passInterval) {
            if (isOver()) {
                return passed;
            }
            cell.advance(passInterval);
            if (passed + passInterval == startTimeout
                && (fate == member_fate::lostBeforeWorker || fate == member_fate::heldUp)) {
                answer(last, order_result::lost);
            }
            for (const auto *id : {"a", "b"}) {
                if (!isSilent(id)) {
                    cell.answerList(id, running[id], ends[id], boots.contains(id) ? boots[id] : 1);
                }
            }
            carryOut();
            const auto started = cell.runSchedulingPass();
            std::ranges::copy(started, std::back_inserter(laterStarts));
            carryOut();
        }
        return limit;
    }

    bool isFirstStopped() const
    {
        return std::ranges::find(stops, first.run) != stops.end();
    }

    member_fate fate;
    owned_cell cell;
    send_start first;
    send_start last;
    std::map<worker_id, std::vector<listed_run>> running;
    std::map<worker_id, std::vector<listed_end>> ends;
    std::map<worker_id, worker_boot> boots; ///< of workers that have restarted
    std::vector<run_id> stops;
    std::vector<send_start> laterStarts;
};

/// Returns the cell of a next owner, to which the worker a lists @p member of the gang, and which earlier owners may
/// have let @p contacted start tasks.
owned_cell makeNextOwner(const run_id &member, const std::set<worker_id> &contacted)
{
    owned_cell cell;
    cell_take_over takeOver;
    takeOver.token = 20;
    takeOver.term = 1;
    takeOver.takenAt = cell.now;
    takeOver.contactedWorkers = contacted;
    cell.state = makeCell({}, takeOver);
    step(cell.state, clock_ticked {cell.timeOfDay, 100s, 1}, cell.now, cell.actions);
    step(cell.state, job_arrived {makeGangJob(), {}, 1, false}, cell.now, cell.actions);
    step(cell.state, worker_listed {owned_cell::makeWorker("a", "r-a", wholeWorker)}, cell.now, cell.actions);
    cell.answerList("a", {{member, "", 0, 0}});
    return cell;
}

/// Runs passes for a second, while the worker a lists the member, and returns all stops.
std::vector<run_id> stopsWithinASecond(owned_cell &cell, const run_id &member)
{
    std::vector<run_id> result;
    for (auto passed = 0ms; passed < 1s; passed += passInterval) {
        cell.advance(passInterval);
        cell.answerList("a", {{member, "", 0, 0}});
        cell.runSchedulingPass();
        std::ranges::copy(stopsIn(cell.actions), std::back_inserter(result));
    }
    return result;
}

const run_id shownMember {{"gang", 0, 0, 1}, 7};

} // namespace

TEST_CASE("GANG: the members of a gang aren't left waiting for one whose start is lost")
{
    for (const auto fate : {member_fate::lostBeforeWorker, member_fate::heldUp}) {
        two_member_gang gang(fate);
        gang.start();
        const auto took = gang.runUntil([&gang] { return gang.isFirstStopped(); }, shortestGangTimeout);
        INFO("fate " << static_cast<int>(fate));
        CHECK(took < shortestGangTimeout * 2 / 3); // the stop has to reach the worker too
    }
}

TEST_CASE("a gang is stopped at once if a worker refuses one of its members, or can't be reached")
{
    for (const auto fate : {member_fate::refused, member_fate::unreachable}) {
        two_member_gang gang(fate);
        gang.start();
        CHECK(gang.isFirstStopped());
    }
}

TEST_CASE("the members of a gang aren't left waiting for one that is lost with its worker")
{
    two_member_gang gang(member_fate::lostWithWorker);
    gang.start();
    gang.runUntil([] { return false; }, 300ms);
    gang.restartLastWorker();
    CHECK(gang.runUntil([&gang] { return gang.isFirstStopped(); }, 1s) < 1s);
}

TEST_CASE("a gang of which a start was lost starts anew, as a whole and with another attempt")
{
    two_member_gang gang(member_fate::lostBeforeWorker);
    gang.start();
    gang.runUntil([&gang] { return !gang.laterStarts.empty(); }, 5s);
    REQUIRE(gang.laterStarts.size() == 2);
    CHECK(std::ranges::all_of(
        gang.laterStarts, [&gang](const send_start &each) { return each.run.attempt == gang.first.run.attempt + 1; }));
}

TEST_CASE("a gang that has all its members is left alone")
{
    two_member_gang gang(member_fate::begins);
    gang.start();
    gang.runUntil([] { return false; }, 10s);
    CHECK(gang.stops.empty());
}

TEST_CASE("a gang that works goes on while the worker of one member is silent")
{
    two_member_gang gang(member_fate::heldUp);
    gang.start();
    gang.running[gang.first.worker].front().percent = 0;
    gang.runUntil([] { return false; }, 700ms);
    // Members only work together, so the silent one has begun.
    gang.running[gang.first.worker].front().percent = 20;
    gang.runUntil([] { return false; }, 3s);
    CHECK(gang.stops.empty());
}

TEST_CASE("an at-most-once gang isn't stopped for the silence of a worker that may have begun its member")
{
    two_member_gang gang(member_fate::heldUp);
    gang.start(true);
    gang.runUntil([] { return false; }, 2s);
    CHECK(gang.stops.empty());
    gang.fate = member_fate::begins; // the worker is heard again
    gang.running[gang.last.worker].push_back({gang.last.run, "", 0, 0});
    gang.runUntil([] { return false; }, 2s);
    CHECK(gang.stops.empty());
    CHECK_FALSE(gang.cell.state.jobs.at("gang").hasFailed);
}

TEST_CASE("the owner stops no members that their workers are about to list as broken")
{
    two_member_gang gang(member_fate::begins);
    gang.start();
    gang.runUntil([] { return false; }, 500ms);
    const auto fail = [&gang](const send_start &member, run_end how) {
        gang.running[member.worker].clear();
        gang.ends[member.worker].push_back({1, member.run, how, ""});
    };
    fail(gang.last, run_end::failed);
    gang.runUntil([] { return false; }, 100ms);
    fail(gang.first, run_end::gangBroken);
    gang.runUntil([] { return false; }, 1s);
    CHECK(gang.stops.empty());
    CHECK(gang.laterStarts.size() == 2);
}

TEST_CASE("a next owner stops what is left of a gang of which an earlier one has started a part")
{
    auto cell = makeNextOwner(shownMember, {"a"});
    CHECK(stopsWithinASecond(cell, shownMember) == std::vector<run_id> {shownMember});
}

TEST_CASE("a next owner stops no gang while workers that may run its other members haven't answered")
{
    auto cell = makeNextOwner(shownMember, {"a", "b"});
    CHECK(stopsWithinASecond(cell, shownMember).empty());
}
