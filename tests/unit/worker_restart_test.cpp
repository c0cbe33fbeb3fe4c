#include "cell/detail/cell_parts.h"
#include "started_task_cell.h"

#include <algorithm>
#include <iterator>

/// What becomes of the runs on a worker that restarts under its id. Orders name the worker and not its boot, so what
/// was sent to an earlier boot may run in the present one.
using namespace primrosecroft;
using namespace std::chrono_literals;

namespace
{

struct restarting_cell : started_task_cell
{
    /// The worker's entry in the platform's list tells of its second boot, or of another one.
    void listNextBoot(worker_boot boot = 2, const std::string &address = {})
    {
        auto worker = owned_cell::makeWorker(start.worker, "r", wholeWorker);
        worker.boot = boot;
        worker.address = address.empty() ? worker.address : address;
        step(cell.state, worker_listed {worker}, cell.now, cell.actions);
    }

    void answerListOfNextBoot(const std::vector<listed_run> &runs, const std::vector<listed_end> &ends = {})
    {
        cell.answerList(start.worker, runs, ends, 2);
    }

    /// Lets time pass in which the other worker answers its lists, and returns the starts of the passes meanwhile.
    std::vector<send_start> advance(std::chrono::milliseconds time)
    {
        std::vector<send_start> result;
        for (auto left = time; left > 0ms; left -= 50ms) {
            cell.advance(std::min<std::chrono::milliseconds>(left, 50ms));
            cell.answerList(other(), {});
            std::ranges::copy(cell.runSchedulingPass(), std::back_inserter(result));
            cell.confirmCommit();
        }
        return result;
    }

    const task_state &task()
    {
        return cell.state.jobs.at("job").occurrences.at(0).steps[0].tasks[0];
    }
};

} // namespace

// Guards against TWICE: the entry with a worker's new boot comes before the first list of that boot.
TEST_CASE("a run that no list has shown is not started elsewhere when its worker turns out to have restarted")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.listNextBoot();
    CHECK(cell.advance(500ms).empty());
    cell.answerListOfNextBoot({{cell.start.run, "", 10, 0}});
    CHECK(cell.advance(500ms).empty());
    REQUIRE(cell.task().runs.size() == 1);
    CHECK_FALSE(cell.task().runs.front().mayBeOver);
    CHECK(cell.task().losses.counts == lost_workers {});
    cell.cell.advance(50ms);
    cell.answerListOfNextBoot({}, {{1, cell.start.run, run_end::done, ""}});
    CHECK(cell.task().isDone);
}

// Guards against TWICE: a list that was requested before the start tells of the new boot.
TEST_CASE("a list from before the start of a run doesn't tell that the run is over, though it shows another boot")
{
    restarting_cell cell;
    list_answered answer;
    answer.worker = cell.start.worker;
    answer.result = order_result::done;
    answer.sentAt = cell.cell.now - 10ms;
    answer.boot = 2;
    step(cell.cell.state, answer, cell.cell.now, cell.cell.actions);
    cell.answerStart(order_result::done);
    CHECK(cell.advance(100ms).empty());
    CHECK(cell.task().runs.size() == 1);
}

TEST_CASE("a run that a later list of the new boot doesn't show is over, and its worker was lost under it")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.listNextBoot();
    cell.cell.advance(10ms);
    cell.answerListOfNextBoot({});
    CHECK(cell.task().runs.empty());
    CHECK(cell.task().losses.counts == lost_workers {1, 0, 0, 1});
    CHECK(cell.advance(300ms).size() == 1);
}

TEST_CASE("a run that a list of the earlier boot has shown is over once its worker has restarted")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}});
    cell.listNextBoot();
    CHECK(cell.task().runs.empty());
}

// Guards against TWICE: a stop bars a start only in the boot that has carried it out.
TEST_CASE("a start without an answer is barred in the new boot before its task starts elsewhere")
{
    restarting_cell cell;
    cell.answerStart(order_result::lost);
    cell.cell.advance(10ms);
    cell.cell.answerList(cell.start.worker, {}); // so a stop is sent to the first boot
    cell.listNextBoot();
    step(cell.cell.state, stop_answered {cell.start.worker, 1, cell.start.run, order_result::done, cell.cell.now},
         cell.cell.now, cell.cell.actions);
    CHECK(cell.advance(2s).empty());
    cell.answerListOfNextBoot({});
    CHECK(cell.task().runs.size() == 1);
    step(cell.cell.state, stop_answered {cell.start.worker, 2, cell.start.run, order_result::done, cell.cell.now},
         cell.cell.now, cell.cell.actions);
    CHECK(cell.advance(1'100ms).empty());
    cell.answerListOfNextBoot({});
    CHECK(cell.task().runs.empty());
}

TEST_CASE("what a silent new boot may run starts elsewhere once no order so far can have given it a lease")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.listNextBoot();
    CHECK(cell.advance(6s).empty());
    CHECK(cell.advance(1s).size() == 1);
}

// Guards against TWICE: the deadline of a start is a time of the known boot's clock, and later on that of a next one.
TEST_CASE("a run that no list has shown keeps its lease for as long as a boot that isn't known may give it")
{
    restarting_cell cell; // whose ownership was confirmed when the start was sent
    cell.cell.advance(2s);
    cell.answerStart(order_result::done);
    CHECK(cell.advance(6s).empty());
    CHECK(cell.advance(1s).size() == 1);
}

// Guards against TWICE: an end of the new boot is forgotten unseen, because it has the number of an earlier boot's.
TEST_CASE("a worker that doesn't answer is not told which ends it may forget")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {}, {{1, cell.start.run, run_end::done, ""}});
    cell.advance(200ms);
    REQUIRE(cell.cell.state.workers.at(cell.start.worker).acknowledgedEnd == 1);
    list_answered lost;
    lost.worker = cell.start.worker;
    step(cell.cell.state, lost, cell.cell.now, cell.cell.actions);
    cell.cell.advance(1s);
    cell.cell.runSchedulingPass();
    const auto lists = actionsOf<send_list>(cell.cell.actions);
    const auto list = std::ranges::find(lists, cell.start.worker, &send_list::worker);
    REQUIRE(list != lists.end());
    CHECK(list->acknowledgedEnd == 0);
}

namespace
{

constexpr worker_boot bootBefore = -1'400; ///< of a worker whose time of day has gone back since its first boot

} // namespace

// Guards against LOST: a worker whose boot is lower than the one before is ignored for good, with what ran there.
TEST_CASE("what ran on a worker starts elsewhere when the worker restarts with its time of day gone back")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}});
    SECTION("its list tells first")
    {
        cell.cell.advance(50ms);
        cell.cell.answerList(cell.start.worker, {}, {}, bootBefore);
        CHECK(cell.task().runs.empty());
        cell.listNextBoot(bootBefore);
    }
    SECTION("its entry tells first")
    {
        cell.listNextBoot(bootBefore);
        CHECK(cell.task().runs.size() == 1);
        cell.cell.advance(50ms);
        cell.cell.answerList(cell.start.worker, {}, {}, bootBefore);
        CHECK(cell.task().runs.empty());
    }
    CHECK(cell.cell.state.workers.at(cell.start.worker).isListed);
    CHECK(cell.task().losses.counts.proven == 1);
    CHECK(cell.advance(300ms).size() == 1);
}

// Guards against TWICE: the entry of an earlier boot comes late, and that boot is the higher one.
TEST_CASE("a late entry of an earlier boot doesn't end the runs of the present one, which is lower")
{
    restarting_cell cell;
    cell.cell.advance(50ms);
    cell.cell.answerList(cell.start.worker, {}, {}, bootBefore);
    cell.answerStart(order_result::done);
    cell.cell.advance(50ms);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}}, {}, bootBefore);
    const bool hasOwnEntry = GENERATE(false, true);
    if (hasOwnEntry) {
        cell.listNextBoot(bootBefore);
    }
    const auto lateBoot = GENERATE(worker_boot {1}, worker_boot {2}); // known to the owner before, and not
    cell.listNextBoot(lateBoot);
    CHECK(cell.advance(300ms).empty());
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 20, 0}}, {}, bootBefore);
    cell.listNextBoot(lateBoot);
    CHECK(cell.advance(300ms).empty());
    REQUIRE(cell.task().runs.size() == 1);
    CHECK(cell.task().runs.front().isShown);
    CHECK(cell.task().losses.counts == lost_workers {});
}

TEST_CASE("an entry of another boot asks for a list at once, and no task starts there until it has come")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {}, {{1, cell.start.run, run_end::done, ""}});
    cell.advance(200ms);
    cell.cell.answerList(cell.start.worker, {});
    cell.listNextBoot(bootBefore);
    cell.cell.runSchedulingPass();
    const auto lists = actionsOf<send_list>(cell.cell.actions);
    const auto list = std::ranges::find(lists, cell.start.worker, &send_list::worker);
    REQUIRE(list != lists.end());
    CHECK(list->wait == 0ms);
    CHECK_FALSE(list->deadline);
    REQUIRE(cell.cell.state.workers.at(cell.start.worker).acknowledgedEnd == 1);
    CHECK(list->acknowledgedEnd == 0); // another boot numbers its ends anew
    CHECK_FALSE(detail::mayStartOn(cell.cell.state, cell.cell.state.workers.at(cell.start.worker), cell.cell.now));
    cell.cell.answerList(cell.start.worker, {}); // the entry was a late one
    CHECK(detail::mayStartOn(cell.cell.state, cell.cell.state.workers.at(cell.start.worker), cell.cell.now));
}

// Guards against TWICE: a paused owner finds the entry of a new boot and the answer of the earlier one at once.
TEST_CASE("the answer of an earlier boot that is handled after the entry of the next one tells nothing")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}});
    cell.cell.advance(100ms);
    const auto requestedAt = cell.cell.now;
    cell.cell.advance(2s);
    cell.listNextBoot();
    CHECK(cell.task().runs.empty());
    list_answered answer;
    answer.worker = cell.start.worker;
    answer.result = order_result::done;
    answer.sentAt = requestedAt;
    answer.boot = 1;
    answer.running = {{cell.start.run, "", 20, 0}};
    step(cell.cell.state, answer, cell.cell.now, cell.cell.actions);
    CHECK(cell.task().runs.empty());
    CHECK(cell.cell.state.workers.at(cell.start.worker).description.boot == 2);
}

// Guards against LOST: a late entry gives an old address, at which nobody answers, and the healthy worker's leases
// lapse.
TEST_CASE("silence at the address of an entry in doubt says nothing of the known boot")
{
    restarting_cell cell;
    cell.answerStart(order_result::done);
    cell.cell.answerList(cell.start.worker, {{cell.start.run, "", 10, 0}});
    cell.listNextBoot(bootBefore, "10.9.9.9:80");
    cell.cell.runSchedulingPass();
    list_answered silent;
    silent.worker = cell.start.worker;
    silent.result = GENERATE(order_result::lost, order_result::unreachable);
    silent.sentAt = cell.cell.now;
    step(cell.cell.state, silent, cell.cell.now, cell.cell.actions);
    const auto &worker = cell.cell.state.workers.at(cell.start.worker);
    CHECK_FALSE(worker.isUnresponsive);
    CHECK(worker.refusedSince == instant {});
    CHECK(cell.task().losses.counts == lost_workers {});
    cell.cell.runSchedulingPass();
    const auto lists = actionsOf<send_list>(cell.cell.actions);
    const auto list = std::ranges::find(lists, cell.start.worker, &send_list::worker);
    REQUIRE(list != lists.end());
    CHECK(list->address == worker.description.address);
    CHECK(list->deadline);
}

TEST_CASE("a late entry of the boot that a higher entry has replaced is not in doubt")
{
    restarting_cell cell;
    cell.listNextBoot(2);
    cell.listNextBoot(1);
    CHECK_FALSE(cell.cell.state.workers.at(cell.start.worker).doubtedEntry);
}
